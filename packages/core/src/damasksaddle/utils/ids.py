"""Identifiers that are unique without coordination."""

import random
import secrets

ID_BITS = 64

_random: random.Random = secrets.SystemRandom()


def new_id(prefix: str) -> str:
    """Returns a fresh identifier, such as `call-3f9c0a1b2c3d4e5f`."""
    return f"{prefix}-{_random.getrandbits(ID_BITS):016x}"


def seed_ids(seed: int | None) -> None:
    """
    Makes identifiers repeatable in tests; None makes them random again.

    Keys and nonces that protect something never come from here.
    """
    global _random
    _random = secrets.SystemRandom() if seed is None else random.Random(seed)
