"""
Workspace keys.

A key is `dsk_{key_id}_{secret}`. The secret has 256 random bits, so a plain
SHA-256 of it is safe to store; a key is shown once, when it is given.
"""

import hmac
import secrets
from dataclasses import dataclass

from damasksaddle.utils.hashing import digest_of

PREFIX = "dsk"


@dataclass(frozen=True, slots=True)
class NewKey:
    """A key as it is shown to the operator, and what is stored of it."""

    text: str
    key_id: str
    digest: str


def make_key() -> NewKey:
    """Returns a new key."""
    key_id = secrets.token_hex(6)
    secret = secrets.token_hex(32)
    return NewKey(f"{PREFIX}_{key_id}_{secret}", key_id, digest_of(secret.encode()))


def parse_key(text: str) -> tuple[str, str] | None:
    """Returns the id and secret of a key, or None if it is not shaped like one."""
    parts = text.split("_")
    if len(parts) != 3 or parts[0] != PREFIX or not parts[1] or not parts[2]:
        return None
    return parts[1], parts[2]


def secret_matches(secret: str, digest: str) -> bool:
    """Compares a secret with a stored digest in constant time."""
    return hmac.compare_digest(digest_of(secret.encode()), digest)
