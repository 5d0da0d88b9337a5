"""How far a request has come, for the log lines of requests that get no response."""

from dataclasses import dataclass
from enum import StrEnum

from damasksaddle.utils import Counter, boottime_s, count, get_logger
from damasksaddle_gateway.calls import Call

log = get_logger("front")


class Phase(StrEnum):
    """How far a request has come."""

    ADMISSION = "admission"
    QUEUED = "queued"
    UPSTREAM = "upstream"
    RESPONSE = "response"


@dataclass(slots=True, eq=False)
class Progress:
    """
    The progress of the last request on a connection.

    `call` is set once the request has a route, until its response is ready. `is_cut` is
    set if the process ends before.
    """

    request_id: str
    started_s: float
    workspace: str = ""
    route: str = ""
    call: Call | None = None
    has_response: bool = False
    is_cut: bool = False

    def admit(self, call: Call) -> None:
        """Records that the request has a route."""
        self.call = call
        self.workspace = call.workspace.name if call.workspace else ""
        self.route = call.route.name

    def finish(self) -> None:
        """Records that the response is ready, and releases the call."""
        self.call = None
        self.has_response = True

    @property
    def phase(self) -> Phase:
        if self.has_response:
            return Phase.RESPONSE
        if self.call is None:
            return Phase.ADMISSION
        if self.call.response is not None:
            return Phase.RESPONSE
        return Phase.UPSTREAM if self.call.may_have_run else Phase.QUEUED

    def log_fields(self) -> dict[str, object]:
        """Returns what explains why the caller has no whole response yet."""
        call = self.call
        return {
            "request": self.request_id,
            "phase": self.phase,
            "workspace": self.workspace,
            "route": self.route,
            "tried": ",".join(call.tried_upstreams) if call else "",
            "after_ms": round((boottime_s() - self.started_s) * 1000),
            "left_ms": round(call.time_left_s() * 1000) if call else None,
        }

    def log_cut(self) -> None:
        """Logs that the end of the process cuts the request."""
        count(Counter.REQUESTS_CUT, self.phase)
        log.warning("The end of the process cut a request.", **self.log_fields())
