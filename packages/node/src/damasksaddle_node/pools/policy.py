"""
Placement policies: the choice of an upstream for a call.

The simple policies remain available as baselines.
"""

from dataclasses import dataclass

from damasksaddle.config import Policy
from damasksaddle.utils import rendezvous
from damasksaddle_node.pools.views import UpstreamView
from damasksaddle_protocol import Place

# Time per output token of an upstream before any sample.
INITIAL_TOKEN_MS = 10.0
# Cost of a connection between failure domains.
CROSS_DOMAIN_COST_MS = 20.0


@dataclass(slots=True)
class Placement:
    """The chosen upstream, and the reason that `explain` shows."""

    view: UpstreamView
    reason: str
    expected_ms: float = 0.0


def choose_upstream(
    policy: Policy,
    place: Place,
    views: list[UpstreamView],
    call_number: int,
    failure_domain: str = "",
) -> Placement:
    """
    Chooses the upstream for a call from those that can take it.

    `failure_domain` is the failure domain of the VM that will send the call.
    """
    match policy:
        case Policy.ROUND_ROBIN:
            return Placement(views[call_number % len(views)], "round robin")
        case Policy.LEAST_OUTSTANDING:
            view = min(views, key=lambda view: len(view.running))
            return Placement(view, f"fewest calls: {len(view.running)}")
        case Policy.STICKY:
            ranked = rendezvous(
                f"{place.workspace}/{place.program_id}",
                [view.upstream.name for view in views],
            )
            view = next(view for view in views if view.upstream.name == ranked[0])
            return Placement(view, "sticky by hash")
        case Policy.PROGRAM_FAIR:
            return _choose_by_estimate(place, views, failure_domain)


def session_key(place: Place) -> str:
    """Returns the key of a program's KV cache on engines."""
    return f"{place.workspace}/{place.program_id}"


def _choose_by_estimate(
    place: Place, views: list[UpstreamView], failure_domain: str
) -> Placement:
    # A slow upstream is in the list only if its probe is due.
    probes = [view for view in views if view.slow]
    if probes:
        return Placement(probes[0], "probe of a slow upstream")
    costs = [(estimate_ms(place, view, failure_domain), view) for view in views]
    cost_ms, view = min(costs, key=lambda pair: pair[0])
    cached_tokens = view.cached_tokens(session_key(place))
    reason = f"least estimate: {cost_ms:.0f} ms, {cached_tokens} tokens cached"
    return Placement(view, reason, cost_ms)


def prefill_ms(place: Place, view: UpstreamView) -> float:
    """Returns the estimated prefill time of the tokens that are not cached."""
    return view.tokens_to_compute(place) * view.prefill_ms_per_token


def estimate_ms(place: Place, view: UpstreamView, failure_domain: str = "") -> float:
    """
    Returns the estimated duration of a call on an upstream.

    The call shares each batch step with the calls that already run there.
    """
    load_factor = 1 + len(view.running) / view.upstream.slots
    decode_ms = place.max_tokens * (view.token_ms or INITIAL_TOKEN_MS)
    cross_domain_ms = (
        CROSS_DOMAIN_COST_MS
        if failure_domain not in ("", view.upstream.failure_domain)
        else 0
    )
    return (prefill_ms(place, view) + decode_ms) * load_factor + cross_domain_ms
