"""Identifiers that are unique without coordination."""

import secrets


def new_id(prefix: str) -> str:
    """Returns a fresh identifier, such as `call-3f9c0a1b2c3d4e5f`."""
    return f"{prefix}-{secrets.token_hex(8)}"
