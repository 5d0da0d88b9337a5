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

_CURRENT_NODE: ContextVar[str] = ContextVar("node", default="")


class NodePauser:
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
        context.run(_CURRENT_NODE.set, node)
        return context

    def _create_task(
        self,
        loop: asyncio.AbstractEventLoop,
        coroutine: Coroutine[Any, Any, Any] | Generator[Any, None, Any],
        context: Context | None = None,
    ) -> "asyncio.Task[Any]":
        node = (
            context.get(_CURRENT_NODE, "")
            if context is not None
            else _CURRENT_NODE.get()
        )
        if node:
            coroutine = self._run_pausable(node, coroutine)
        return asyncio.Task(coroutine, loop=loop, context=context)

    @types.coroutine
    def _run_pausable(self, node: str, coroutine: Any) -> Generator[Any, Any, Any]:
        error: BaseException | None = None
        while True:
            while (resumed := self._resumed.get(node)) is not None:
                try:
                    yield from resumed.wait().__await__()
                except asyncio.CancelledError as cancelled:
                    # Takes effect when the node runs again.
                    error = cancelled
            try:
                step = coroutine.send(None) if error is None else coroutine.throw(error)
            except StopIteration as stopped:
                return stopped.value
            error = None
            try:
                yield step
            except GeneratorExit:
                coroutine.close()
                raise
            except BaseException as raised:
                error = raised
