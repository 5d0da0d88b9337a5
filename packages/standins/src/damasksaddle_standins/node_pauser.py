"""
Pauses single nodes of an in-process fleet while the clock advances.

A paused node simulates a suspended VM: its tasks do not run, data from its peers stays
unread, and timers that expire during the pause take effect when the node resumes.
"""

import asyncio
import types
from collections.abc import Coroutine, Generator
from contextvars import Context, ContextVar, copy_context
from typing import Any

_CURRENT_NODE: ContextVar[str] = ContextVar("node", default="")


class NodePauser:
    """Suspends the tasks of paused nodes; a task's context identifies its node."""

    def __init__(self) -> None:
        self._resumed: dict[str, asyncio.Event] = {}

    def install(self) -> None:
        """Installs a task factory for pausable tasks on the running loop."""
        asyncio.get_running_loop().set_task_factory(self._create_task)

    def uninstall(self) -> None:
        """Removes the task factory from the running loop."""
        asyncio.get_running_loop().set_task_factory(None)

    def pause(self, node: str) -> None:
        """Suspends all tasks of a node at their next step."""
        self._resumed[node] = asyncio.Event()

    def resume(self, node: str) -> None:
        """Resumes the tasks of a node."""
        self._resumed.pop(node).set()

    @staticmethod
    def context(node: str) -> Context:
        """Returns a context for tasks that belong to a node."""
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
                    # The cancellation takes effect when the node resumes.
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
