"""Fixtures and settings shared by the gateway's tests."""

import pytest

from damasksaddle_gateway.settings import Address, GatewaySettings
from damasksaddle_standins.versioned import VersionedRows, VersionedStandin


@pytest.fixture
def rows() -> VersionedRows:
    return VersionedRows()


@pytest.fixture
def table(rows: VersionedRows) -> VersionedStandin:
    return VersionedStandin(rows)


def make_settings(vm: str = "vm-a", **changes: object) -> GatewaySettings:
    """Returns settings with the limits of a small deployment."""
    local = Address("127.0.0.1", 0)
    values: dict[str, object] = {
        "vm": vm,
        "failure_domain": "a",
        "caller_address": local,
        "ready_address": local,
        "directory_address": local,
        "metrics_address": local,
        "peer_address": local,
        "grace_s": 8.0,
        "key_revocation_ms": 5000.0,
        "drain_ms": 2000.0,
        "address_ttl_s": 1.5,
        "rate_window_s": 5.0,
        "rate_overrun": 0.1,
        "rate_slack": 20.0,
        "settle_ms": 1000.0,
    }
    return GatewaySettings(**{**values, **changes})  # type: ignore[arg-type]


async def deny_offline_grants(name: str) -> bool:
    """Permits no grants without the store."""
    return False


async def allow_offline_grants(name: str) -> bool:
    """
    Permits grants without the store: this VM coordinates and the outage is confirmed.
    """
    return True
