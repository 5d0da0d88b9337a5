"""Stand-in upstreams in the same process, by URL."""

from collections.abc import AsyncGenerator

from damasksaddle.exceptions import UpstreamError
from damasksaddle_node.upstreams import (
    CacheEvent,
    EngineEvent,
    EngineHoldings,
    EngineLoad,
    EngineOrder,
    EngineRequest,
    PlainRequest,
    PlainResponse,
)
from damasksaddle_standins.engine import ModelEngine
from damasksaddle_standins.tool import ToolService


class LocalUpstreams:
    """Calls stand-ins directly; `down` holds URLs that cannot be reached."""

    def __init__(self) -> None:
        self.engines: dict[str, ModelEngine] = {}
        self.tools: dict[str, ToolService] = {}
        self.down: set[str] = set()

    def _engine(self, url: str) -> ModelEngine:
        if url in self.down or url not in self.engines:
            raise UpstreamError("connection refused", sent=False)
        return self.engines[url]

    async def generate(
        self, url: str, request: EngineRequest
    ) -> AsyncGenerator[EngineEvent, None]:
        async for event in self._engine(url).generate(request):
            if url in self.down:
                raise UpstreamError("connection lost", sent=True)
            yield event

    async def call(self, url: str, request: PlainRequest) -> PlainResponse:
        if url in self.down or url not in self.tools:
            raise UpstreamError("connection refused", sent=False)
        return await self.tools[url].call(request)

    async def outcome(self, url: str, path: str) -> PlainResponse:
        if url in self.down or url not in self.tools:
            raise UpstreamError("connection refused", sent=False)
        return self.tools[url].outcome(path.rpartition("/")[2])

    async def release(self, url: str, session: str) -> None:
        self._engine(url).release(session)

    async def load(self, url: str, sessions: bool = False) -> EngineLoad:
        return self._engine(url).load(sessions)

    async def cache_events(self, url: str, after: int) -> list[CacheEvent]:
        return self._engine(url).cache_events(after)

    async def order(self, url: str, order: EngineOrder) -> None:
        await self._engine(url).order(order)

    async def holdings(self, url: str) -> EngineHoldings:
        return self._engine(url).holdings()
