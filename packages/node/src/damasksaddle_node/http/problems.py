"""Rendering of refusals as RFC 9457 problem details."""

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
# Temporary conditions. The response gets a default Retry-After unless the refusal sets
# one.
TRANSIENT_STATUSES = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
DEFAULT_RETRY_AFTER_S = 1.0

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class InternalError(Refusal):
    """An unexpected error in the node; it is not known whether the call ran."""

    code = "internal_error"
    status = 500
    title = "The request failed because of a fault in this system."
    not_run = NotRun.UNKNOWN


def problem_body(error: Refusal) -> dict[str, Any]:
    """Returns the response body; its `not_run` is true, false or "unknown"."""
    count(Counter.REFUSALS, error.code)
    not_run_values = {NotRun.YES: True, NotRun.NO: False, NotRun.UNKNOWN: "unknown"}
    body: dict[str, Any] = {
        "type": f"urn:damasksaddle:problem:{error.code}",
        "title": error.title,
        "status": error.status,
        "detail": error.detail,
        "code": error.code,
        "not_run": not_run_values[error.not_run],
    }
    if error.call_id:
        # With these ids the caller can look up the outcome of the call.
        body["call_id"] = error.call_id
        body["program_id"] = error.program_id
    # OpenAI-compatible clients read the message from `error`.
    body["error"] = {"message": error.detail, "type": error.code, "code": error.code}
    return body


def problem_response(error: Refusal) -> web.Response:
    """Returns the HTTP response for a refusal."""
    response = web.json_response(
        problem_body(error), status=error.status, content_type=CONTENT_TYPE
    )
    retry_after_s = error.retry_after_s
    if retry_after_s is None and error.status in TRANSIENT_STATUSES:
        retry_after_s = DEFAULT_RETRY_AFTER_S
    if retry_after_s is not None:
        response.headers["Retry-After"] = str(max(1, math.ceil(retry_after_s)))
    if error.status == HTTPStatus.UNAUTHORIZED:
        response.headers[hdrs.WWW_AUTHENTICATE] = "Bearer"
    return response


def _refusal_for_status(status: int, detail: str = "") -> Refusal:
    """Returns the refusal of a request that no handler processed."""
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
async def problem_middleware(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    """Converts exceptions of a handler to problem responses."""
    try:
        return await handler(request)
    except Refusal as error:
        return problem_response(error)
    except web.HTTPException as error:
        response = problem_response(_refusal_for_status(error.status))
        if hdrs.ALLOW in error.headers:
            response.headers[hdrs.ALLOW] = error.headers[hdrs.ALLOW]
        return response
    except (OSError, web.RequestPayloadError):
        # The caller has disconnected, so no response can be sent.
        raise
    except Exception as error:
        # Logs only the type, because the message may quote the request.
        log.error("Unhandled exception in a handler.", error=type(error).__name__)
        return problem_response(InternalError())


async def handle_expect(request: web.Request) -> web.StreamResponse | None:
    """Sends `100 Continue`; refuses any other expectation."""
    if request.headers.get(hdrs.EXPECT, "").lower() != "100-continue":
        return problem_response(_refusal_for_status(HTTPStatus.EXPECTATION_FAILED))
    await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    # The interim response must not count as the start of the final one.
    request.writer.output_size = 0
    return None


class _ProblemRequestHandler(RequestHandler):
    """Sends a problem response to requests that cannot be parsed."""

    __slots__ = ()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        # Logs only the type, because the message quotes the request, which may contain
        # a key.
        log.debug("HTTP request failed.", status=status, error=type(exc).__name__)
        if request.writer.output_size > 0:
            raise ConnectionError("part of the response has already been sent")
        refusal: Refusal = InternalError()
        if status < HTTPStatus.INTERNAL_SERVER_ERROR:
            refusal = _refusal_for_status(status, "the request is not valid HTTP")
        response = problem_response(refusal)
        response.force_close()
        return response

    def log_exception(self, *args: Any, **kw: Any) -> None:
        log.error(
            "Unhandled exception on an HTTP connection.", reason=args[0] if args else ""
        )


class ProblemRunner(web.AppRunner):
    """Runs an application whose error responses are all problem details."""

    async def _make_server(self) -> web.Server:
        server = await super()._make_server()

        class Server(web.Server):
            def __call__(self) -> RequestHandler:
                return _ProblemRequestHandler(self, loop=self._loop, **self._kwargs)

        return Server(
            server.request_handler,
            request_factory=server.request_factory,
            handler_cancellation=server.handler_cancellation,
            **server._kwargs,
        )
