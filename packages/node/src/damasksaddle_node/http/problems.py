"""Refusals as RFC 9457 problem details."""

import math
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

from damasksaddle.exceptions import BadRequest, NotRun, Refusal
from damasksaddle.utils import Counter, count, get_log

log = get_log("http")

CONTENT_TYPE = "application/problem+json"


def problem(error: Refusal) -> dict[str, Any]:
    """Returns the body of a refusal; `not_run` is true, false or "unknown"."""
    count(Counter.REFUSALS, error.code)
    values = {NotRun.YES: True, NotRun.NO: False, NotRun.UNKNOWN: "unknown"}
    body: dict[str, Any] = {
        "type": f"urn:damasksaddle:problem:{error.code}",
        "title": error.title,
        "status": error.status,
        "detail": error.detail,
        "code": error.code,
        "not_run": values[error.not_run],
    }
    if error.call_id:
        # By these the caller can look up what became of the call.
        body["call_id"] = error.call_id
        body["program_id"] = error.program_id
    # Stock OpenAI-compatible clients read the message from `error`.
    body["error"] = {"message": error.detail, "type": error.code, "code": error.code}
    return body


def problem_response(error: Refusal) -> web.Response:
    """Returns the HTTP response of a refusal."""
    response = web.json_response(
        problem(error), status=error.status, content_type=CONTENT_TYPE
    )
    if error.retry_after_s is not None:
        response.headers["Retry-After"] = str(max(1, math.ceil(error.retry_after_s)))
    if error.status == 401:
        response.headers["WWW-Authenticate"] = "Bearer"
    return response


@web.middleware
async def refusals_as_problems(
    request: web.Request,
    handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
) -> web.StreamResponse:
    """Turns every failure of a handler into a problem response."""
    try:
        return await handler(request)
    except Refusal as error:
        return problem_response(error)
    except web.HTTPException as error:
        refusal = BadRequest(error.reason)
        refusal.status = error.status
        return problem_response(refusal)
