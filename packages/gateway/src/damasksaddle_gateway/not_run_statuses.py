"""
Tells which statuses promise a caller that its request has not run.

An upstream may use one of them for a request that it did run. Only its statement that
it did not run the request makes the promise true.
"""

from aiohttp import web

from damasksaddle_gateway.calls import Call
from damasksaddle_gateway.routing_config import Streaming

NOT_RUN_STATUSES = frozenset(
    (
        web.HTTPRequestTimeout.status_code,
        web.HTTPMisdirectedRequest.status_code,
        web.HTTPTooManyRequests.status_code,
        web.HTTPServiceUnavailable.status_code,
    )
)


def promises_not_run(call: Call, status: int) -> bool:
    """
    Tells whether a caller takes a status as the promise that its request has not run.

    402 is one for turns of programs only; any other service may use it as it likes.
    """
    if status == web.HTTPPaymentRequired.status_code:
        is_turn = call.metadata.program is not None
        return is_turn and isinstance(call.route.kind, Streaming)
    return status in NOT_RUN_STATUSES
