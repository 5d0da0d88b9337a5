"""Records all requests that a stand-in receives, with headers and bodies."""

from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass, field

from aiohttp import web

# Paths for tests and tools only, which nodes do not request; they are not recorded.
STANDIN_PATHS = ("/seen", "/requests", "/faults", "/counts")


@dataclass(frozen=True, slots=True)
class SeenRequest:
    """A request as it was received."""

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: str


@dataclass(slots=True)
class Recorder:
    """The requests of one stand-in in the order of arrival."""

    requests: list[SeenRequest] = field(default_factory=list)

    def text(self) -> str:
        """Returns all recorded requests as one searchable text."""
        return "\n".join(repr(request) for request in self.requests)

    def install(self, app: web.Application) -> web.Application:
        """Makes an application record its requests and serve them at `/requests`."""

        @web.middleware
        async def record(
            request: web.Request,
            handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
        ) -> web.StreamResponse:
            if request.path not in STANDIN_PATHS:
                self.requests.append(
                    SeenRequest(
                        request.method,
                        request.raw_path,
                        list(request.headers.items()),
                        (await request.read()).decode("latin-1"),
                    )
                )
            return await handler(request)

        async def list_requests(request: web.Request) -> web.Response:
            return web.json_response([asdict(seen) for seen in self.requests])

        app.middlewares.append(record)
        app.router.add_get("/requests", list_requests)
        return app
