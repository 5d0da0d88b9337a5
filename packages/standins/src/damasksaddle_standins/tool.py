"""A plain service that records its calls: filings, payouts, messages."""

import asyncio
import json
from dataclasses import dataclass, field

from damasksaddle.exceptions import UpstreamError
from damasksaddle_node.upstreams import PlainRequest, PlainResponse


@dataclass(slots=True)
class ToolService:
    """
    One service; `seen` holds the calls that took effect, in order.

    `asked` holds the call ids whose outcome was asked for.

    `hang` calls take effect and never answer; `lose_answers` calls take effect and
    end in an error.
    """

    name: str = "tool"
    delay_s: float = 0.02
    hang: int = 0
    lose_answers: int = 0
    refuse_connections: bool = False
    seen: list[tuple[str, str, str]] = field(default_factory=list)
    asked: list[str] = field(default_factory=list)
    _answers: dict[str, bytes] = field(default_factory=dict)

    async def call(self, request: PlainRequest) -> PlainResponse:
        """Carries out a call; raises `UpstreamError`."""
        if self.refuse_connections:
            raise UpstreamError("connection refused", sent=False)
        body = request.body.decode(errors="replace")
        self.seen.append((request.call_id, request.path, body))
        number = len(self.seen)
        answer = {"service": self.name, "number": number}
        self._answers[request.call_id] = json.dumps(answer).encode()
        if self.hang > 0:
            self.hang -= 1
            await asyncio.sleep(request.timeout_s)
            raise UpstreamError("timeout", sent=True)
        await asyncio.sleep(self.delay_s)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise UpstreamError("the answer was lost", sent=True)
        return PlainResponse(200, "application/json", self._answers[request.call_id])

    def outcome(self, call_id: str) -> PlainResponse:
        """Tells what a call answered, or that it was not seen."""
        self.asked.append(call_id)
        if call_id not in self._answers:
            return PlainResponse(404, "application/json", b"{}")
        return PlainResponse(200, "application/json", self._answers[call_id])
