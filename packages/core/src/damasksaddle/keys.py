"""
Workspace keys.

A key has the form `dsk_{key_id}_{secret}`. The secret has 256 random bits, so its
plain SHA-256 is safe to store. A key is shown only once, when it is given.
"""

import hmac
import secrets
from dataclasses import dataclass

from damasksaddle.utils.hashing import digest_of

PREFIX = "dsk"


@dataclass(frozen=True, slots=True)
class NewKey:
    """A new key: its full text for the operator, and the id and digest to store."""

    text: str
    key_id: str
    digest: str


def make_key() -> NewKey:
    """Generates a key."""
    key_id = secrets.token_hex(6)
    secret = secrets.token_hex(32)
    return NewKey(f"{PREFIX}_{key_id}_{secret}", key_id, digest_of(secret.encode()))


def parse_key(text: str) -> tuple[str, str] | None:
    """Returns the id and secret of a key, or None if the text has another format."""
    parts = text.split("_")
    if len(parts) != 3 or parts[0] != PREFIX or not parts[1] or not parts[2]:
        return None
    return parts[1], parts[2]


def secret_matches(secret: str, digest: str) -> bool:
    """Compares a secret with a stored digest in constant time."""
    return hmac.compare_digest(digest_of(secret.encode()), digest)
