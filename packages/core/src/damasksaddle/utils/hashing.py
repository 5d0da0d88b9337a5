"""Hashes that decide ownership; every node must compute the same ones."""

import hashlib
from collections.abc import Iterable

import xxhash

# Fixed for the life of a fleet: every node and every stored record uses it.
PARTITIONS = 1024


def partition_of(workspace: str, program_id: str) -> int:
    """
    Returns the partition of a program.

    Sub-agents are named `ROOT/NAME` and share the partition of their root.

    >>> partition_of("ngo", "digest") == partition_of("ngo", "digest/reader")
    True
    """
    root = program_id.partition("/")[0]
    return xxhash.xxh64_intdigest(f"{workspace}\0{root}".encode()) % PARTITIONS


def rendezvous(key: str, members: Iterable[str]) -> list[str]:
    """
    Orders members by their rendezvous weight for a key, the owner first.

    A member that leaves moves only the keys that it was first for.
    """

    def weight(member: str) -> tuple[int, str]:
        return xxhash.xxh64_intdigest(f"{member}\0{key}".encode()), member

    return sorted(members, key=weight, reverse=True)


def digest_of(data: bytes) -> str:
    """Returns the SHA-256 of some bytes in hexadecimal."""
    return hashlib.sha256(data).hexdigest()
