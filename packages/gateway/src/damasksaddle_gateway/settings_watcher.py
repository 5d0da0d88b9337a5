"""
Follows the settings file of a running process.

The file is read again when it changes, with or without a signal. A file that is still
being written, or that is invalid, changes nothing.
"""

import asyncio
from collections.abc import Callable
from pathlib import Path

from mode import Service

from damasksaddle.exceptions import SettingsInvalid
from damasksaddle.utils import get_logger
from damasksaddle_gateway.background import background_task
from damasksaddle_gateway.settings import GatewaySettings

log = get_logger("settings")

# A change without a signal is noticed within this time.
POLL_S = 2.0
# A file that does not change for this time has been written completely.
STABLE_S = 0.2

_Version = tuple[int, int, int]


class SettingsWatcher(Service):
    """Reads the settings file again when it changes, and passes valid settings on."""

    def __init__(
        self,
        path: Path,
        read: Callable[[Path], GatewaySettings],
        apply: Callable[[GatewaySettings], None],
    ) -> None:
        super().__init__()
        self._path = path
        self._read = read
        self._apply = apply
        self._loaded = self._version()
        self._requested = asyncio.Event()

    def reload(self) -> None:
        """Reads the file at once, even if it looks unchanged."""
        self._loaded = None
        self._requested.set()

    def _version(self) -> _Version | None:
        try:
            status = self._path.stat()
        except OSError:
            return None
        return status.st_ino, status.st_mtime_ns, status.st_size

    @background_task
    async def _follow_file(self) -> None:
        while not self.should_stop:
            try:
                async with asyncio.timeout(POLL_S):
                    await self._requested.wait()
            except TimeoutError:
                pass
            self._requested.clear()
            if self._version() != self._loaded:
                await self._load()

    async def _load(self) -> None:
        version = self._version()
        await asyncio.sleep(STABLE_S)
        if version != self._version():
            # Still being written; it is read again.
            self._requested.set()
            return
        self._loaded = version
        try:
            settings = self._read(self._path)
        except SettingsInvalid as error:
            log.error(
                "The settings file is invalid; the settings in force stay.",
                error=" ".join(str(error).split())[:500],
            )
            return
        self._apply(settings)
