"""
Policies: the order of a pool's queue and the choice of an upstream.

The plain ones stay selectable as baselines.
"""

from collections import defaultdict
from dataclasses import dataclass, field

from damasksaddle.config import Policy
from damasksaddle.utils import rendezvous
from damasksaddle_node.pools.engines import UpstreamView
from damasksaddle_protocol import Place

# Milliseconds of prefill per token, until observations say otherwise.
PREFILL_MS_PER_TOKEN = 0.5
# Seconds of waiting that outweigh one token of attained service.
AGEING_TOKENS_PER_S = 400.0


@dataclass(slots=True)
class Queued:
    """A call that waits for an upstream."""

    place: Place
    since_s: float
    weight: float
    number: int


@dataclass(slots=True)
class Choice:
    """An upstream and the reason for it, as `explain` shows it."""

    view: UpstreamView
    reason: str


@dataclass(slots=True)
class FairShare:
    """
    Virtual time per workspace: tokens served, divided by the weight.

    A workspace that was idle does not save up credit.
    """

    served: dict[str, float] = field(default_factory=lambda: defaultdict(float))
    floor: float = 0.0

    def of(self, workspace: str) -> float:
        """Returns a workspace's virtual time."""
        return max(self.served[workspace], self.floor)

    def charge(self, workspace: str, tokens: float, weight: float) -> None:
        """Adds service to a workspace's virtual time."""
        self.served[workspace] = self.of(workspace) + tokens / weight


def next_call(
    policy: Policy, queue: list[Queued], shares: FairShare, now_s: float
) -> Queued:
    """Returns the queued call that is to be placed first."""
    match policy:
        case Policy.PROGRAM_FAIR:
            return min(queue, key=lambda call: _fair_rank(call, shares, now_s))
        case _:
            return min(queue, key=lambda call: call.number)


def _fair_rank(
    call: Queued, shares: FairShare, now_s: float
) -> tuple[float, float, int]:
    aged = (now_s - call.since_s) * AGEING_TOKENS_PER_S
    attained = call.place.attained_tokens - aged
    return shares.of(call.place.workspace), attained, call.number


def choose(
    policy: Policy, place: Place, views: list[UpstreamView], number: int
) -> Choice:
    """Returns the upstream for a call out of those that can take it."""
    match policy:
        case Policy.ROUND_ROBIN:
            return Choice(views[number % len(views)], "round robin")
        case Policy.LEAST_OUTSTANDING:
            view = min(views, key=lambda view: len(view.running))
            return Choice(view, f"fewest calls: {len(view.running)}")
        case Policy.STICKY:
            ranked = rendezvous(
                f"{place.workspace}/{place.program_id}",
                [view.upstream.name for view in views],
            )
            view = next(view for view in views if view.upstream.name == ranked[0])
            return Choice(view, "sticky by hash")
        case Policy.PROGRAM_FAIR:
            return _least_estimate(place, views)


def _least_estimate(place: Place, views: list[UpstreamView]) -> Choice:
    estimates = [(_estimate_ms(place, view), view) for view in views]
    cost_ms, view = min(estimates, key=lambda pair: pair[0])
    cached = _cached(place, view)
    reason = f"least estimate: {cost_ms:.0f} ms, {cached} tokens cached"
    return Choice(view, reason)


def session_of(place: Place) -> str:
    """Returns the name under which engines keep a program's cache."""
    return f"{place.workspace}/{place.program_id}"


def _cached(place: Place, view: UpstreamView) -> int:
    return min(view.cached_tokens.get(session_of(place), 0), place.prompt_tokens)


def _estimate_ms(place: Place, view: UpstreamView) -> float:
    prefill = (place.prompt_tokens - _cached(place, view)) * PREFILL_MS_PER_TOKEN
    crowding = 1 + len(view.running) / view.upstream.slots
    token_ms = view.token_ms or 1.0
    return prefill * crowding + place.max_tokens * token_ms * crowding
