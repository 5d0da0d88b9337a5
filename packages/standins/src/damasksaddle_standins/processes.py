"""Starts and ends child processes of demos and tests, by process id."""

import asyncio
import os
import signal
import sys
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 5.0
# Length of the output of the processes that is shown if a test fails.
MAX_SHOWN_CHARS = 20_000


def source_path(tree: Path) -> str:
    """Returns the value of PYTHONPATH with which a process runs a working tree."""
    sources = [*tree.glob("packages/*/src"), tree / "platform" / "src"]
    return os.pathsep.join(map(str, sources))


@dataclass(slots=True)
class Process:
    """A child process and the words of its `ready` line after the first."""

    process: asyncio.subprocess.Process
    ready: list[str]

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to this process only."""
        # The process may have ended without its status having been read.
        if self.process.returncode is None:
            with suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def wait(self) -> int:
        """Waits for the process to exit and returns its exit status."""
        return await self.process.wait()


@dataclass(slots=True)
class Processes:
    """The child processes of one demo or test; leaving `async with` kills them."""

    log_path: Path
    started: list[Process] = field(default_factory=list)
    _copy_tasks: list[asyncio.Task[None]] = field(default_factory=list)

    async def __aenter__(self) -> "Processes":
        return self

    async def __aexit__(self, error_type: object, *_: object) -> None:
        if error_type is not None and self.log_path.exists():
            # pytest shows what a failed test has printed.
            print(self.log_path.read_text(errors="replace")[-MAX_SHOWN_CHARS:])
        for process in self.started:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        for process in self.started:
            await process.wait()
        await asyncio.gather(*self._copy_tasks, return_exceptions=True)

    async def _ready_line(self, output: asyncio.StreamReader) -> list[str]:
        """Returns the words of the `ready` line; logs the lines before it."""
        while line := await output.readline():
            words = line.decode().split()
            if words[:1] == ["ready"]:
                return words
            self._log(line)
        return []

    async def _copy_output(self, output: asyncio.StreamReader) -> None:
        while line := await output.readline():
            self._log(line)

    def _log(self, line: bytes) -> None:
        with self.log_path.open("ab") as log_file:
            log_file.write(line)

    async def start(
        self, module: str, *arguments: str, env: dict[str, str] | None = None
    ) -> Process:
        """Runs a Python module as a process and waits for its `ready` line."""
        with self.log_path.open("ab") as errors:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                *arguments,
                stdout=asyncio.subprocess.PIPE,
                stderr=errors,
                env={**os.environ, **(env or {})},
            )
        assert process.stdout is not None
        async with asyncio.timeout(READY_TIMEOUT_S):
            line = await self._ready_line(process.stdout)
        if not line:
            raise RuntimeError(
                f"{module} exited before it was ready; see {self.log_path}"
            )
        running = Process(process, line[1:])
        self._copy_tasks.append(asyncio.create_task(self._copy_output(process.stdout)))
        self.started.append(running)
        return running
