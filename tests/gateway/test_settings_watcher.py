"""Settings that change while a process runs."""

import asyncio
from pathlib import Path

import pytest

from damasksaddle_gateway.gateway import Gateway
from damasksaddle_gateway.settings_watcher import POLL_S, SettingsWatcher
from damasksaddle_platform.headers import PlatformHeaderCodec
from damasksaddle_platform.records import RecordDecoder
from damasksaddle_platform.settings import read_settings
from damasksaddle_standins.versioned_table import MemoryVersionedTable
from tests.platform.test_settings import SETTINGS_TEXT

pytestmark = pytest.mark.looptime


def _gateway(table: MemoryVersionedTable, path: Path) -> Gateway:
    settings, _ = read_settings(path)
    return Gateway(settings, table, RecordDecoder(), PlatformHeaderCodec())


def _write(path: Path, text: str) -> None:
    path.write_text(text)


@pytest.fixture
def path(tmp_path: Path) -> Path:
    path = tmp_path / "local.yaml"
    _write(path, SETTINGS_TEXT)
    return path


@pytest.mark.parametrize("signal", [True, False])
async def test_changed_limits_are_applied(
    table: MemoryVersionedTable, path: Path, signal: bool
) -> None:
    """Guards against limits that take effect only after a restart."""
    gateway = _gateway(table, path)
    watcher = SettingsWatcher(
        path, lambda path: read_settings(path)[0], gateway.apply_settings
    )
    async with watcher:
        changed = SETTINGS_TEXT.replace(
            "RevokeMs: 4000", "RevokeMs: 3000\n  DrainMs: 900"
        )
        _write(path, changed.replace("10.1.0.11:8368", "10.1.0.99:8368"))
        if signal:
            watcher.reload()
        await asyncio.sleep(0.5 if signal else POLL_S + 0.5)
        assert gateway.settings.key_revocation_ms == 3000
        assert gateway.request_handler.key_revocation_ms == 3000
        assert gateway.config_watcher.drain_ms == 900
        # The address needs a restart.
        assert str(gateway.settings.caller_address) == "10.1.0.11:8368"


@pytest.mark.parametrize(
    "text",
    [
        SETTINGS_TEXT[: SETTINGS_TEXT.index("Platform")],
        SETTINGS_TEXT.replace("GraceS: 8", "GraceS: 0"),
        SETTINGS_TEXT.replace("GraceS: 8", "GraceS: 2").replace("4000", "soon"),
        "",
    ],
)
async def test_invalid_settings_change_nothing(
    table: MemoryVersionedTable, path: Path, text: str
) -> None:
    """Guards against applying one field of a file that is invalid as a whole."""
    gateway = _gateway(table, path)
    before = gateway.settings
    watcher = SettingsWatcher(
        path, lambda path: read_settings(path)[0], gateway.apply_settings
    )
    async with watcher:
        _write(path, text)
        watcher.reload()
        await asyncio.sleep(1.0)
        assert gateway.settings == before


async def test_a_file_that_is_being_written_is_not_applied(
    table: MemoryVersionedTable, path: Path
) -> None:
    """Guards against applying the first part of a file."""
    gateway = _gateway(table, path)
    applied: list[float] = []
    watcher = SettingsWatcher(
        path,
        lambda path: read_settings(path)[0],
        lambda settings: applied.append(settings.key_revocation_ms),
    )
    async with watcher:
        complete = SETTINGS_TEXT.replace("4000", "2500")
        _write(path, SETTINGS_TEXT.replace("4000", "25"))
        watcher.reload()
        await asyncio.sleep(0.1)
        _write(path, complete)
        await asyncio.sleep(1.0)
        assert applied == [2500]
    assert gateway.settings.key_revocation_ms == 4000
