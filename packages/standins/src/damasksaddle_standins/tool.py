"""A plain service that records its calls, such as filings or payouts."""

import asyncio
import json
from dataclasses import dataclass, field

from damasksaddle.exceptions import UpstreamError
from damasksaddle_node.upstreams import PlainRequest, PlainResponse


@dataclass(slots=True)
class ToolService:
    """
    A plain service; `seen` records the calls that took effect, in order.

    `outcome_queries` holds the call ids whose outcome was queried.

    `hanging_calls` and `lose_answers` are numbers of calls. Hanging calls take effect
    and time out without an answer; calls that lose their answer take effect and fail.
    """

    name: str = "tool"
    delay_s: float = 0.02
    hanging_calls: int = 0
    lose_answers: int = 0
    refuse_connections: bool = False
    seen: list[tuple[str, str, str]] = field(default_factory=list)
    outcome_queries: list[str] = field(default_factory=list)
    _answers: dict[str, bytes] = field(default_factory=dict)

    async def call(self, request: PlainRequest) -> PlainResponse:
        """Executes a call; raises `UpstreamError` for a simulated fault."""
        if self.refuse_connections:
            raise UpstreamError("connection refused", sent=False)
        body = request.body.decode(errors="replace")
        self.seen.append((request.call_id, request.path, body))
        number = len(self.seen)
        answer = {"service": self.name, "number": number}
        self._answers[request.call_id] = json.dumps(answer).encode()
        if self.hanging_calls > 0:
            self.hanging_calls -= 1
            await asyncio.sleep(request.timeout_s)
            raise UpstreamError("the call timed out", sent=True)
        await asyncio.sleep(self.delay_s)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise UpstreamError("the answer was lost", sent=True)
        return PlainResponse(200, "application/json", self._answers[request.call_id])

    def outcome(self, call_id: str) -> PlainResponse:
        """Returns the recorded answer of a call, or status 404 for an unknown call."""
        self.outcome_queries.append(call_id)
        if call_id not in self._answers:
            return PlainResponse(404, "application/json", b"{}")
        return PlainResponse(200, "application/json", self._answers[call_id])
