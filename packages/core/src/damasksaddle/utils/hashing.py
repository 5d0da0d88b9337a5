"""Hash functions for ownership; all nodes must compute the same results."""

import hashlib
from collections.abc import Iterable

import xxhash

# Must not change during the life of a fleet: all nodes and stored records depend on it.
PARTITIONS = 1024


def partition_of(workspace: str, program_id: str) -> int:
    """
    Returns the partition of a program.

    Sub-agents are named `ROOT/NAME` and share the partition of their root program.

    >>> partition_of("ngo", "digest") == partition_of("ngo", "digest/reader")
    True
    """
    root = program_id.partition("/")[0]
    return xxhash.xxh64_intdigest(f"{workspace}\0{root}".encode()) % PARTITIONS


def rendezvous(key: str, members: Iterable[str]) -> list[str]:
    """
    Sorts members by their rendezvous weight for a key; the first is the owner.

    When a member leaves, only the keys that it owned move.
    """

    def weight(member: str) -> tuple[int, str]:
        return xxhash.xxh64_intdigest(f"{member}\0{key}".encode()), member

    return sorted(members, key=weight, reverse=True)


def digest_of(data: bytes) -> str:
    """Returns the SHA-256 digest in hexadecimal."""
    return hashlib.sha256(data).hexdigest()
