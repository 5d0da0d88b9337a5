"""Gateway processes, each with its own store server and proxies on its connections."""

import asyncio
import itertools
import json
import os
import signal
import socket
import sys
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
from aiohttp import web

from damasksaddle_standins.faults.invariants import (
    DRAIN_S,
    EVACUATE_S,
    GRACE_S,
    REVOKE_S,
    InvariantChecker,
)
from damasksaddle_standins.faults.proxy import Proxy
from damasksaddle_standins.processes import Process, source_path
from damasksaddle_standins.rows_server import RowsServer
from damasksaddle_standins.versioned_table import VersionedRows

# All of 127.0.0.0/8 is loopback, so each VM has its own address and uses the same
# ports. Concurrent runs use different networks.
FRONTEND_PORT, READY_PORT, DIRECTORY_PORT = 8360, 8361, 8362
INTERNAL_PORTS = (8370, 8371)
# Host number of the address that reserves a network; VMs have smaller ones.
RESERVED_HOST = 254
READY_TIMEOUT_S = 30.0
READY_POLL_INTERVAL_S = 0.1
SIGNAL_POLL_S = 0.005
_run_numbers = itertools.count()


@dataclass(slots=True, eq=False)
class Vm:
    """A VM: its process, its store server and the proxies on its connections."""

    name: str
    host: str
    settings_path: Path
    log_path: Path
    store: RowsServer
    store_runner: web.AppRunner
    store_proxy: Proxy
    caller_proxy: Proxy
    grace_s: float
    # Working tree of another build that the process runs, or None for this one.
    source_tree: Path | None = None
    process: Process | None = None
    # Held by a fault that controls the process; a restart waits for the lock.
    process_lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    def is_running(self) -> bool:
        """Returns whether the process was started and has not exited."""
        return self.process is not None and self.process.process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to this VM's process."""
        if self.process is not None:
            self.process.signal(number)

    async def start(self) -> None:
        """Starts the process without waiting until it is ready."""
        with self.log_path.open("ab") as log_file:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "damasksaddle_platform",
                "--settings",
                str(self.settings_path),
                stdout=log_file,
                stderr=log_file,
                env=self._environment(),
            )
        self.process = Process(process, [])

    def _environment(self) -> dict[str, str]:
        environment = dict(os.environ)
        if self.source_tree is not None:
            environment["PYTHONPATH"] = source_path(self.source_tree)
        return environment

    async def wait_takes_hangup(self) -> None:
        """Waits until SIGHUP would not end the process, which Python's start takes."""
        while self.is_running() and not self._takes_hangup():
            await asyncio.sleep(SIGNAL_POLL_S)

    def _takes_hangup(self) -> bool:
        """Tells whether the process ignores SIGHUP or has a handler for it."""
        assert self.process is not None
        status = Path(f"/proc/{self.process.process.pid}/status").read_text()
        fields = dict(line.split(":", 1) for line in status.splitlines())
        masks = (int(fields[name], 16) for name in ("SigIgn", "SigCgt"))
        return any(mask & 1 << (signal.SIGHUP - 1) for mask in masks)

    async def kill(self) -> None:
        """Kills the process and waits until it exits."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def write_settings(self, comment: str = "") -> None:
        """Writes the settings file; `comment` makes its content differ."""
        settings = {
            "NodeName": self.name,
            "Ip": self.host,
            "Zone": "a",
            "Listen": {
                "Frontend": f"{self.host}:{FRONTEND_PORT}",
                "Ready": f"{self.host}:{READY_PORT}",
                "Directory": f"{self.host}:{DIRECTORY_PORT}",
            },
            "InternalPorts": list(INTERNAL_PORTS),
            "Bounds": {
                "GraceS": self.grace_s,
                "RevokeMs": REVOKE_S * 1000,
                "DrainMs": DRAIN_S * 1000,
                "EvacuateMs": EVACUATE_S * 1000,
            },
            "Platform": {"Address": "{}:{}".format(*self.store_proxy.address)},
            "Comment": comment,
        }
        self.settings_path.write_text(json.dumps(settings))


@dataclass(slots=True)
class Fleet:
    """All VMs of a run, and the store rows that they share."""

    log_directory: Path
    checker: InvariantChecker
    rows: VersionedRows = field(default_factory=VersionedRows)
    vms: list[Vm] = field(default_factory=list)
    grace_s: float = GRACE_S
    source_tree: Path | None = None
    # Held while the run uses its network.
    _reservation: socket.socket | None = None

    async def start(self, size: int) -> None:
        """Starts all VMs and waits until each one is ready to serve callers."""
        network = self._reserve_network()
        for number in range(1, size + 1):
            await self._add_vm(f"vm-{number}", f"{network}.{number}")
        for vm in self.vms:
            await vm.start()
        async with asyncio.timeout(READY_TIMEOUT_S):
            for vm in self.vms:
                await self.wait_ready(vm)

    def _reserve_network(self) -> str:
        """Returns a network of loopback addresses that no other run uses."""
        while True:
            number = os.getpid() + next(_run_numbers)
            network = f"127.{1 + number % 250}.{number // 250 % 250}"
            self._reservation = socket.socket()
            try:
                self._reservation.bind((f"{network}.{RESERVED_HOST}", FRONTEND_PORT))
            except OSError:
                self._reservation.close()
            else:
                return network

    async def _add_vm(self, name: str, host: str) -> None:
        store = RowsServer(self.rows)
        runner = web.AppRunner(store.app(), access_log=None)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        store_proxy = Proxy(runner.addresses[0][:2])
        await store_proxy.start()
        caller_proxy = Proxy((host, FRONTEND_PORT))
        await caller_proxy.start()
        vm = Vm(
            name,
            host,
            self.log_directory / f"{name}.yaml",
            self.log_directory / f"{name}.log",
            store,
            runner,
            store_proxy,
            caller_proxy,
            self.grace_s,
            self.source_tree,
        )
        vm.write_settings()
        self.vms.append(vm)

    @staticmethod
    async def wait_ready(vm: Vm) -> None:
        """Waits until a VM is ready to serve callers."""
        url = f"http://{vm.host}:{READY_PORT}/readyz"
        async with aiohttp.ClientSession() as session:
            while True:
                try:
                    async with session.get(url) as response:
                        if response.status == web.HTTPOk.status_code:
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(READY_POLL_INTERVAL_S)

    async def stop(self) -> None:
        """Kills all processes and stops their proxies and store servers."""
        for vm in self.vms:
            await vm.kill()
            await vm.caller_proxy.stop()
            await vm.store_proxy.stop()
            await vm.store_runner.cleanup()
        if self._reservation is not None:
            self._reservation.close()
