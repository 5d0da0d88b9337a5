"""Reads the bodies of requests within the memory budget."""

import asyncio

from aiohttp import web

from damasksaddle.exceptions import (
    BodyTimeout,
    BodyTooLarge,
    MemoryExceeded,
    Refusal,
    SizeLimitExceeded,
)
from damasksaddle.utils import read_limited
from damasksaddle.utils.connections import CallerConnection, connection_of
from damasksaddle_gateway.memory.guard import ConnectionGuard

# Stalled requests are ended within about this time while memory is short.
MEMORY_RETRY_S = 1.0


async def read_body(
    request: web.BaseRequest, limit_bytes: int, timeout_s: float, workspace: str = ""
) -> bytes:
    """
    Returns the body.

    Raises `BodyTooLarge` as soon as the limit is exceeded, `BodyTimeout` if the caller
    does not send all of it in time, and `MemoryExceeded` if there is no memory for it.
    """
    connection = connection_of(request)
    if isinstance(connection.guard, ConnectionGuard):
        guard = connection.guard
        guard.assign(connection, workspace)
        _check_room(guard, connection, request.content_length, limit_bytes)
    timeout = asyncio.timeout(timeout_s)
    loop = asyncio.get_running_loop()

    def stop_reading() -> None:
        timeout.reschedule(loop.time())

    try:
        async with timeout:
            with connection.reading_body(stop_reading):
                return await read_limited(request.content, limit_bytes)
    except SizeLimitExceeded as error:
        raise BodyTooLarge from error
    except TimeoutError as error:
        raise _refusal(connection) from error


def _check_room(
    guard: ConnectionGuard,
    connection: CallerConnection,
    body_bytes: int | None,
    limit_bytes: int,
) -> None:
    """Refuses a body for which there is no room before it arrives."""
    if body_bytes is None or body_bytes > limit_bytes:
        return
    if connection.refusal is None and not guard.has_room(connection, body_bytes):
        connection.refuse_body(MemoryExceeded())


def _refusal(connection: CallerConnection) -> Refusal:
    match connection.refusal:
        case None:
            return BodyTimeout()
        case BodyTimeout() as refusal:
            # A new one: the connection would keep the traceback of one that is raised.
            return BodyTimeout(refusal.detail)
        case _:
            return MemoryExceeded(retry_after_s=MEMORY_RETRY_S)
