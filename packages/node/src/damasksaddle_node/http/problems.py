"""Refusals as RFC 9457 problem details."""

import math
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any

from aiohttp import hdrs, web
from aiohttp.web_protocol import RequestHandler

from damasksaddle.exceptions import BadRequest, NotRun, Refusal
from damasksaddle.utils import Counter, count, get_logger

log = get_logger("http")

CONTENT_TYPE = "application/problem+json"
# Statuses of a state that passes by itself; a refusal may know the time better.
PASSING = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
RETRY_AFTER_S = 1.0

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class InternalError(Refusal):
    """A fault of this system; nothing is known of the call."""

    code = "internal_error"
    status = 500
    title = "The request failed because of a fault in this system."
    not_run = NotRun.UNKNOWN


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
    retry_after_s = error.retry_after_s
    if retry_after_s is None and error.status in PASSING:
        retry_after_s = RETRY_AFTER_S
    if retry_after_s is not None:
        response.headers["Retry-After"] = str(max(1, math.ceil(retry_after_s)))
    if error.status == HTTPStatus.UNAUTHORIZED:
        response.headers[hdrs.WWW_AUTHENTICATE] = "Bearer"
    return response


def _http_refusal(status: int, detail: str = "") -> Refusal:
    """Returns the refusal of a request that reached no handler."""
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = "Refused"
    refusal = BadRequest(detail or phrase)
    refusal.status = status
    refusal.title = phrase
    if status != BadRequest.status:
        refusal.code = phrase.lower().replace(" ", "_").replace("-", "_")
    return refusal


@web.middleware
async def refusals_as_problems(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    """Turns every failure of a handler into a problem response."""
    try:
        return await handler(request)
    except Refusal as error:
        return problem_response(error)
    except web.HTTPException as error:
        response = problem_response(_http_refusal(error.status))
        if hdrs.ALLOW in error.headers:
            response.headers[hdrs.ALLOW] = error.headers[hdrs.ALLOW]
        return response
    except (OSError, web.RequestPayloadError):
        # The caller has gone; nobody reads an answer.
        raise
    except Exception as error:
        # Its text may quote the request, so only its type is logged.
        log.error("A request failed in the node.", error=type(error).__name__)
        return problem_response(InternalError())


async def expect_continue(request: web.Request) -> web.StreamResponse | None:
    """Asks for the body of a request that waits for `100 Continue`."""
    if request.headers.get(hdrs.EXPECT, "").lower() != "100-continue":
        return problem_response(_http_refusal(HTTPStatus.EXPECTATION_FAILED))
    await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    # The interim response does not count as the start of the real one.
    request.writer.output_size = 0
    return None


class _ProblemHandler(RequestHandler):
    """Answers requests that cannot be parsed with a problem."""

    __slots__ = ()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        # The exception quotes the request, which may hold a key.
        log.debug("A request was refused.", status=status, error=type(exc).__name__)
        if request.writer.output_size > 0:
            raise ConnectionError("a part of the response was sent already")
        refusal: Refusal = InternalError()
        if status < HTTPStatus.INTERNAL_SERVER_ERROR:
            refusal = _http_refusal(status, "the request is not valid HTTP")
        response = problem_response(refusal)
        response.force_close()
        return response

    def log_exception(self, *args: Any, **kw: Any) -> None:
        log.error("A connection failed.", reason=args[0] if args else "")


class ProblemRunner(web.AppRunner):
    """Runs an application whose every refusal is a problem."""

    async def _make_server(self) -> web.Server:
        made = await super()._make_server()

        class Server(web.Server):
            def __call__(self) -> RequestHandler:
                return _ProblemHandler(self, loop=self._loop, **self._kwargs)

        return Server(
            made.request_handler,
            request_factory=made.request_factory,
            handler_cancellation=made.handler_cancellation,
            **made._kwargs,
        )
