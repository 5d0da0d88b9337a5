"""A caller's request on its way through the gateway."""

from dataclasses import dataclass, field

from aiohttp import web

from damasksaddle.utils import elapsed_s
from damasksaddle_gateway.events import EventSplitter
from damasksaddle_gateway.interfaces import RequestMetadata
from damasksaddle_gateway.routing_config import Route, Service, Workspace
from damasksaddle_gateway.turns import TurnReservation


@dataclass(slots=True)
class Call:
    """
    A request, what is known of it, and what became of it so far.

    `ends_s` is when its time is over. `may_have_run` is set as long as an upstream got
    the request and did not say that it left it alone. `response` is set once the
    answer has begun.
    """

    metadata: RequestMetadata
    route: Route
    service: Service
    workspace: Workspace | None
    method: str
    raw_path: str
    body: bytes
    started_s: float
    deadline_s: float
    last_event_id: str
    draining: bool = False
    attempts: int = 0
    tried_upstreams: list[str] = field(default_factory=list)
    rejections: int = 0
    may_have_run: bool = False
    tokens_used: int = 0
    reservation: TurnReservation | None = None
    events: EventSplitter = field(default_factory=EventSplitter)
    response: web.StreamResponse | None = None

    def time_left_s(self) -> float:
        return self.deadline_s - elapsed_s()
