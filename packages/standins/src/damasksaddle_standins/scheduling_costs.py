"""
Measures what a scheduled request costs in bytes between VMs and in processor time.

`python -m damasksaddle_standins scheduling-costs` prints the figures that
docs/design/scheduling.md uses. Two VMs exchange real frames over TCP in one process, so
the processor time is that of both VMs together.
"""

import asyncio
import time
from collections import Counter
from typing import Any

from damasksaddle.utils import boottime_s
from damasksaddle_node.peers import Handlers, PeerPool, PeerServer, TcpNetwork
from damasksaddle_protocol import Frame, Message, encode
from damasksaddle_standins.scheduled_fleet import ScheduledFleet

UPSTREAMS = 50
SLOTS = 6
RATE_PER_S = 400.0
WORK_S = 0.1
DURATION_S = 5.0
SECRET = "secret of the measurement"


class _TcpPeers:
    """Sends the messages of one VM to another one over TCP, and counts their bytes."""

    def __init__(self, vm: str, fleet: "_TcpFleet") -> None:
        self.handlers = Handlers()
        self._fleet = fleet
        self._network = TcpNetwork()
        self.server = PeerServer(vm, SECRET, self._network, self.handlers, lambda: 0)
        self.pool = PeerPool(
            vm,
            SECRET,
            self._network,
            self.handlers,
            lambda other: fleet.addresses.get(other),
            lambda: 0,
            1.0,
        )

    def disconnect_if_silent(self, vm: str, silent_s: float) -> None:
        """Closes the connection to a VM that sent nothing for a time."""
        self.pool.disconnect_if_silent(vm, silent_s)

    async def request(self, vm: str, message: Message, timeout_s: float) -> Message:
        response = await self.pool.request(vm, message, timeout_s)
        sent = self._fleet.samples
        sent.setdefault(type(message).__name__, []).append((message, response))
        return response


class _TcpFleet(ScheduledFleet):
    """Two VMs that are connected by TCP."""

    def __init__(self) -> None:
        super().__init__(2, upstreams=UPSTREAMS, slots=SLOTS)
        self.addresses: dict[str, str] = {}
        self.samples: dict[str, list[tuple[Message, Message]]] = {}

    async def connect(self) -> list[_TcpPeers]:
        """Replaces the connections within the process."""
        peers = []
        for vm in self.vms:
            tcp = _TcpPeers(vm, self)
            self.services[vm].register_handlers(tcp.handlers)
            await tcp.server.start("127.0.0.1", 0)
            self.addresses[vm] = tcp.server.address
            client: Any = self.clients[vm]
            client._peers = tcp
            client._connected = lambda upstreams: frozenset(
                upstream.id for upstream in list(upstreams)[::2]
            )
            peers.append(tcp)
        return peers


def _bytes(message: Message) -> int:
    # The length before each frame has 4 bytes.
    return len(encode(Frame(1_000_000, message, 0, 150))) + 4


async def _run(entry_is_scheduler: bool) -> tuple[float, int, _TcpFleet]:
    fleet = _TcpFleet()
    async with fleet:
        peers = await fleet.connect()
        scheduler, other = fleet.order
        entry = scheduler if entry_is_scheduler else other
        await asyncio.sleep(1.0)
        fleet.samples.clear()
        started_s, processor_s = boottime_s(), time.process_time()
        until_s = started_s + DURATION_S
        await fleet.send_steadily(entry, 1 / RATE_PER_S, until_s, WORK_S)
        processor_s = time.process_time() - processor_s
        for tcp in peers:
            tcp.pool.close()
            await tcp.server.stop()
        requests = sum(map(len, fleet.arrivals_s.values()))
        return processor_s / requests, requests, fleet


async def _idle_s() -> float:
    """Returns the processor time of the load itself, for one request."""
    started_s, requests = time.process_time(), 0
    until_s = boottime_s() + DURATION_S
    async with asyncio.TaskGroup() as tasks:
        while boottime_s() < until_s:
            tasks.create_task(asyncio.sleep(WORK_S))
            requests += 1
            await asyncio.sleep(1 / RATE_PER_S)
    return (time.process_time() - started_s) / requests


async def measure_scheduling() -> str:
    """Returns the costs of a request as text."""
    idle_s = await _idle_s()
    local_s, _, _ = await _run(entry_is_scheduler=True)
    remote_s, requests, fleet = await _run(entry_is_scheduler=False)
    lines = [f"requests {requests}"]
    sizes: Counter[str] = Counter()
    for name, exchanges in fleet.samples.items():
        there = sum(_bytes(message) for message, _ in exchanges)
        back = sum(_bytes(response) for _, response in exchanges)
        sizes["there"] += there
        sizes["back"] += back
        lines.append(
            f"{name}: {len(exchanges)} messages, "
            f"{there / len(exchanges):.0f} bytes there, "
            f"{back / len(exchanges):.0f} bytes back"
        )
    lines += [
        f"bytes for each request: {sizes['there'] / requests:.0f} to the scheduler, "
        f"{sizes['back'] / requests:.0f} from it",
        f"processor time, both VMs: {(remote_s - idle_s) * 1e6:.0f} us",
        f"processor time without messages: {(local_s - idle_s) * 1e6:.0f} us",
    ]
    return "\n".join(lines)
