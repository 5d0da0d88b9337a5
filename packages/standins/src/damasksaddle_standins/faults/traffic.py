"""The requests of callers and the expected responses of upstreams."""

from dataclasses import dataclass

HOST = "desk.example"
EVENTS_PER_TURN = 6
TOKENS_PER_EVENT = 4
TURN_TOKENS = EVENTS_PER_TURN * TOKENS_PER_EVENT
TURNS_IN_BUDGET = 5
# A program with more than `TURNS_IN_BUDGET` turns spends its budget before its last
# turn.
BUDGET_TOKENS = TURNS_IN_BUDGET * TURN_TOKENS
DEADLINE_MS = 4000
# How long a turn can be continued after its end, on a route that keeps histories.
RETENTION_S = 20.0


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A route, and how its requests may be resumed and repeated."""

    name: str
    prefix: str
    service: str
    route_type: str
    resumable: bool = False
    max_attempts: int = 1
    keeps_history: bool = False

    def is_stream(self) -> bool:
        """Returns whether responses are event streams."""
        return self.route_type == "streaming"

    def may_rerun(self) -> bool:
        """Returns whether a request may run more than once."""
        return self.resumable or self.route_type == "idempotent"

    def make_route(self) -> dict[str, object]:
        """Returns the route as an entry of the operator's configuration."""
        return {
            "Name": self.name,
            "Host": HOST,
            "Prefix": self.prefix,
            "Type": self.route_type,
            "TimeoutMs": DEADLINE_MS,
            "Service": self.service,
            "Resumable": self.resumable,
            "MaxAttempts": self.max_attempts,
            "KeepsHistory": self.keeps_history,
            "RetentionS": RETENTION_S,
        }


RESUMABLE_TURN = RequestKind(
    "turn", "/turn/", "llm", "streaming", resumable=True, max_attempts=2
)
NON_RESUMABLE_TURN = RequestKind("talk", "/talk/", "llm", "streaming")
HISTORY_TURN = RequestKind(
    "keep",
    "/keep/",
    "llm",
    "streaming",
    resumable=True,
    max_attempts=2,
    keeps_history=True,
)
LOOKUP = RequestKind("look", "/look/", "desk", "idempotent", max_attempts=2)
PAYMENT = RequestKind("pay", "/pay/", "desk", "non_idempotent")
REQUEST_KINDS = (RESUMABLE_TURN, NON_RESUMABLE_TURN, LOOKUP, PAYMENT)
# With a route that keeps histories, services have schedulers.
SCHEDULED_KINDS = (*REQUEST_KINDS, HISTORY_TURN)
PLAIN_KINDS = (LOOKUP, PAYMENT)


def find_kind(path: str) -> RequestKind | None:
    """Returns the request kind whose prefix matches a path."""
    return next(
        (kind for kind in SCHEDULED_KINDS if path.startswith(kind.prefix)), None
    )


def make_event(path: str, number: int) -> bytes:
    """Returns one event of a stream, with its id."""
    return f"id: {number}\ndata: {path}.{number}\n\n".encode()


def make_output(path: str) -> bytes:
    """Returns what a whole stream adds to the history of its program."""
    return b"".join(f"{path}.{n}\n".encode() for n in range(EVENTS_PER_TURN))


def make_plain_body(path: str, request_id: str) -> bytes:
    """Returns the response body of a plain service."""
    return f"{path}|{request_id}|{'x' * 200}".encode()
