"""Records every request that a stand-in receives, in full."""

from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass, field

from aiohttp import web

# Paths of the stand-ins themselves, which no node asks for.
STANDIN_PATHS = ("/seen", "/requests", "/faults", "/counts")


@dataclass(frozen=True, slots=True)
class SeenRequest:
    """One request as it arrived."""

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: str


@dataclass(slots=True)
class Recorder:
    """The requests of one stand-in in the order of their arrival."""

    requests: list[SeenRequest] = field(default_factory=list)

    def text(self) -> str:
        """Returns all that was seen as one text to search in."""
        return "\n".join(repr(request) for request in self.requests)

    def install(self, app: web.Application) -> web.Application:
        """Makes an application record its requests and show them at `/requests`."""

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
