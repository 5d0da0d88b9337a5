"""
Background tasks that start again after an unexpected failure.

`Service.task` alone marks a service, and the services beside it, as crashed when a task
raises an exception. All their tasks then end, while the process continues to serve.
"""

import functools
import traceback
from collections.abc import Awaitable, Callable
from typing import TypeVar

from mode import Service

from damasksaddle.utils import Counter, count, get_logger

log = get_logger("tasks")

# Limits the load of a task that fails each time.
RESTART_DELAY_S = 0.25
# Length of the end of a trace that fits a log line.
MAX_TRACE_CHARS = 3000

ServiceT = TypeVar("ServiceT", bound=Service)


def background_task(
    method: Callable[[ServiceT], Awaitable[None]],
) -> Callable[[ServiceT], Awaitable[None]]:
    """
    Runs a method while its service runs; a failure is logged, counted and retried.

    The method has to start from any state that an earlier run of it left behind.

    Example::

        class Poller(Service):
            @background_task
            async def _poll(self) -> None:
                while not self.should_stop:
                    await self._read()
    """
    name = method.__qualname__

    @functools.wraps(method)
    async def run(service: ServiceT) -> None:
        while not service.should_stop:
            try:
                await method(service)
            except Exception as error:
                count(Counter.TASK_FAILURES, name)
                trace = "".join(traceback.format_exception(error))
                log.error(
                    "A background task failed and is started again.",
                    task=name,
                    error=repr(error),
                    trace=trace[-MAX_TRACE_CHARS:],
                )
            else:
                return
            await service.sleep(RESTART_DELAY_S)

    task: Callable[[ServiceT], Awaitable[None]] = Service.task(run)
    return task
