"""Fixtures and settings shared by the gateway's tests."""

import pytest

from damasksaddle_standins.gateway_load import deny_offline_grants
from damasksaddle_standins.gateway_load import gateway_settings as make_settings
from damasksaddle_standins.versioned_table import MemoryVersionedTable, VersionedRows

__all__ = ["allow_offline_grants", "deny_offline_grants", "make_settings"]


@pytest.fixture
def rows() -> VersionedRows:
    return VersionedRows()


@pytest.fixture
def table(rows: VersionedRows) -> MemoryVersionedTable:
    return MemoryVersionedTable(rows)


async def allow_offline_grants(name: str) -> bool:
    """
    Permits grants without the store: this VM coordinates and the outage is confirmed.
    """
    return True
