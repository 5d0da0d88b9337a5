"""
Pauses one node of an in-process fleet while the clock goes on.

A paused node stands for a stopped VM: its tasks do not run, what peers send it waits
unread, and timers that expire meanwhile take effect when it resumes.
"""

import asyncio
import types
from collections.abc import Coroutine, Generator
from contextvars import Context, ContextVar, copy_context
from typing import Any

_NODE: ContextVar[str] = ContextVar("node", default="")


class Pauses:
    """Holds back the tasks of paused nodes, which are known by their context."""

    def __init__(self) -> None:
        self._resumed: dict[str, asyncio.Event] = {}

    def install(self) -> None:
        """Makes the running loop create tasks that can be paused."""
        asyncio.get_running_loop().set_task_factory(self._create_task)

    def uninstall(self) -> None:
        """Makes the running loop create plain tasks again."""
        asyncio.get_running_loop().set_task_factory(None)

    def pause(self, node: str) -> None:
        """Stops all tasks of a node at their next step."""
        self._resumed[node] = asyncio.Event()

    def resume(self, node: str) -> None:
        """Lets a node's tasks run on."""
        self._resumed.pop(node).set()

    @staticmethod
    def context(node: str) -> Context:
        """Returns a context whose tasks belong to a node."""
        context = copy_context()
        context.run(_NODE.set, node)
        return context

    def _create_task(
        self,
        loop: asyncio.AbstractEventLoop,
        coro: Coroutine[Any, Any, Any] | Generator[Any, None, Any],
        context: Context | None = None,
    ) -> "asyncio.Task[Any]":
        node = context.get(_NODE, "") if context is not None else _NODE.get()
        if node:
            coro = self._held_back(node, coro)
        return asyncio.Task(coro, loop=loop, context=context)

    @types.coroutine
    def _held_back(self, node: str, coro: Any) -> Generator[Any, Any, Any]:
        error: BaseException | None = None
        while True:
            while (resumed := self._resumed.get(node)) is not None:
                try:
                    yield from resumed.wait().__await__()
                except asyncio.CancelledError as cancelled:
                    # Takes effect when the node runs again.
                    error = cancelled
            try:
                step = coro.send(None) if error is None else coro.throw(error)
            except StopIteration as stop:
                return stop.value
            error = None
            try:
                yield step
            except GeneratorExit:
                coro.close()
                raise
            except BaseException as thrown:
                error = thrown
