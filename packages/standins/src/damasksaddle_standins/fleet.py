"""A small fleet in one process, on stand-ins, for tests and the bench."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import Any

from damasksaddle.keys import make_key
from damasksaddle.platform import ListedVm
from damasksaddle_node.entry import CallerRequest
from damasksaddle_node.fleet.records import DocumentApplied, FleetRecord, KeyGiven
from damasksaddle_node.fleet.state import FleetState
from damasksaddle_node.node import Node
from damasksaddle_node.programs.records import CALL_OUTCOME_ADAPTER, CallOutcome
from damasksaddle_node.settings import Settings, Timing
from damasksaddle_protocol import CallChunk, CallEnd
from damasksaddle_standins.network import MemoryNetwork
from damasksaddle_standins.pause import Pauses
from damasksaddle_standins.platform import (
    MemoryObjects,
    MemoryTable,
    MemoryVmList,
    TableView,
)
from damasksaddle_standins.upstreams import LocalUpstreams

SECRET = "fleet secret of the tests"


class LocalFleet:
    """
    Nodes in one process, connected in memory.

    Use it as `async with LocalFleet(3) as fleet`. `kill` ends a node without any
    farewell, as SIGKILL would; `pause` stops its tasks until `resume`.
    """

    def __init__(
        self,
        size: int,
        timing: Timing | None = None,
        failure_domains: tuple[str, ...] = ("a", "b", "c"),
        delay_s: float = 0.005,
    ) -> None:
        self.table = MemoryTable()
        self.objects = MemoryObjects()
        self.vm_list = MemoryVmList()
        self.network = MemoryNetwork(delay_s)
        self.upstreams = LocalUpstreams()
        self.nodes: dict[str, Node] = {}
        self._tables: dict[str, TableView] = {}
        self.pauses = Pauses()
        self._size = size
        self._timing = timing or Timing()
        self._failure_domains = failure_domains

    async def __aenter__(self) -> "LocalFleet":
        self.pauses.install()
        for number in range(self._size):
            await self.start(f"vm{number}")
        await self.settle()
        return self

    async def __aexit__(self, *_: object) -> None:
        for node in list(self.nodes.values()):
            await node.stop()
        self.pauses.uninstall()

    def spawn(
        self, name: str, coroutine: Coroutine[Any, Any, Any]
    ) -> "asyncio.Task[Any]":
        """Runs a coroutine as a task of a node, which is paused with it."""
        return asyncio.create_task(coroutine, context=self.pauses.context(name))

    def pause(self, name: str) -> None:
        """Stops a node's tasks while the clock goes on."""
        self.pauses.pause(name)

    def resume(self, name: str) -> None:
        """Lets a paused node run on."""
        self.pauses.resume(name)

    async def start(self, name: str, **changes: Any) -> Node:
        """Starts a node and returns it once it has joined."""
        number = len(self.nodes)
        settings = Settings(
            name=name,
            failure_domain=self._failure_domains[number % len(self._failure_domains)],
            fleet_secret=SECRET,
            operator_token="operator",
            timing=self._timing,
        )
        table = self.table.view(name)
        node = Node(
            replace(settings, **changes),
            table,
            self.objects,
            self.vm_list,
            self.upstreams,
            self.network.as_node(name),
            http=False,
        )
        self.nodes[name] = node
        self._tables[name] = table
        self.vm_list.set([ListedVm(vm, vm, False) for vm in self.nodes])
        await self.spawn(name, _started(node))
        return node

    async def kill(self, name: str) -> None:
        """Ends a node at once; its streams break and nothing is handed over."""
        node = self.nodes.pop(name)
        # First nothing more gets out of the node, then its tasks end.
        self.network.kill(name)
        self._tables[name].dead = True
        for run in list(node.owner.runs):
            run.task.cancel()
        await node.stop()

    async def leave(self, name: str) -> None:
        """Stops a node in a planned way."""
        node = self.nodes.pop(name)
        await node.leave()
        await node.stop()

    async def settle(self) -> None:
        """Waits until all nodes have applied the same log."""
        last = max(node.fleet.state.cursor for node in self.nodes.values())
        for node in self.nodes.values():
            await node.fleet.wait_for(last, 10.0)

    def any(self) -> Node:
        """Returns one of the nodes."""
        return next(iter(self.nodes.values()))

    def owner_of(self, find: Callable[[FleetState], str | None]) -> str:
        """Returns the name of the node that owns something."""
        vm_id = find(self.any().fleet.state)
        return next(name for name, node in self.nodes.items() if node.vm_id == vm_id)

    async def _append(self, record: FleetRecord) -> None:
        await self.any().fleet.append(lambda state: record)
        await self.any().fleet.catch_up()
        for node in self.nodes.values():
            await node.fleet.wait_for(self.any().fleet.state.cursor, 10.0)

    async def apply(self, service: str, text: str) -> None:
        """Applies a document on all nodes."""
        known = self.any().fleet.state.documents.get(service)
        version = known.version + 1 if known else 1
        await self._append(DocumentApplied(service, version, text, "test", 0))

    async def give_key(self, workspace: str) -> str:
        """Gives a workspace key and returns its text."""
        key = make_key()
        await self._append(KeyGiven(key.key_id, workspace, key.digest, "test", 0))
        return key.text

    async def call(self, name: str, request: CallerRequest) -> tuple[str, CallOutcome]:
        """Makes a call at a node; returns the streamed text and the outcome."""
        text = ""
        async for answer in self.nodes[name].entry.call(request):
            match answer:
                case CallChunk(piece):
                    text += piece
                case CallEnd(outcome):
                    return text, CALL_OUTCOME_ADAPTER.validate_json(outcome)
        raise AssertionError("the call had no end")

    async def sleep(self, seconds: float) -> None:
        """Lets time pass."""
        await asyncio.sleep(seconds)


async def _started(node: Node) -> None:
    await node.start()
