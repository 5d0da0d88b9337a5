"""Ownership of resources, computed from the roster by rendezvous hashing."""

from collections.abc import Iterable

from damasksaddle.utils import rendezvous


class Owners:
    """
    The owners of resources under one roster.

    Results are cached until the roster changes: with 390 members one costs about
    0.2 ms, and a node looks up few of the possible keys.
    """

    def __init__(self, members: Iterable[str] = ()) -> None:
        self._members = sorted(members)
        self._cache: dict[str, str | None] = {}

    def _owner(self, key: str) -> str | None:
        if key not in self._cache:
            ranked = rendezvous(key, self._members)
            self._cache[key] = ranked[0] if ranked else None
        return self._cache[key]

    def partition(self, partition: int) -> str | None:
        """Returns the VM that owns the programs of a partition."""
        return self._owner(f"partition/{partition}")

    def workspace(self, workspace: str) -> str | None:
        """Returns the VM that owns the token bucket of a workspace."""
        return self._owner(f"workspace/{workspace}")

    def stream(self, stream: int) -> str | None:
        """Returns the VM that is the committer of a stream."""
        return self._owner(f"stream/{stream}")

    def fleet_snapshot(self) -> str | None:
        """Returns the VM that writes snapshots of the fleet log."""
        return self._owner("fleet-snapshot")

    def pool(self, pool: str) -> str | None:
        """Returns the VM that schedules a pool, named `SERVICE/POOL`."""
        return self._owner(f"pool/{pool}")
