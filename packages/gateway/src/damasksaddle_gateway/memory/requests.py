"""Accounts for the memory that a request takes beside its own head and body."""

from collections import Counter

from damasksaddle.utils.connections import CallerConnection, Memory


class RequestMemory:
    """What a request holds of the VM's memory budget until it ends."""

    def __init__(self, connection: CallerConnection | None = None) -> None:
        self._connection = connection
        self._held_bytes: Counter[Memory] = Counter()

    def hold(self, kind: Memory, size_bytes: int) -> bool:
        """Reserves more bytes and returns whether there was room for them."""
        if self._connection is None:
            return True
        if not self._connection.reserve(kind, size_bytes):
            return False
        self._held_bytes[kind] += size_bytes
        return True

    def release(self) -> None:
        """Releases all that is held."""
        if self._connection is not None:
            for kind, size_bytes in self._held_bytes.items():
                self._connection.release(kind, size_bytes)
        self._held_bytes.clear()
