"""What a pool's scheduler knows of its upstreams."""

from dataclasses import dataclass, field

from damasksaddle.config import Pool, Upstream
from damasksaddle_protocol import Place

# Weight of the newest observation in the moving averages.
SMOOTHING = 0.2
# After so many failures in a row an upstream rests.
FAILURES_TO_REST = 2
REST_S = 5.0
# A first token that takes this many times the pool's median marks a grey failure.
GREY_FACTOR = 6.0


@dataclass(slots=True)
class Running:
    """A call that was placed and has not finished."""

    place: Place
    since_s: float


@dataclass(slots=True)
class UpstreamView:
    """The scheduler's view of one upstream."""

    upstream: Upstream
    running: dict[str, Running] = field(default_factory=dict)
    cached_tokens: dict[str, int] = field(default_factory=dict)
    first_token_ms: float = 0.0
    token_ms: float = 0.0
    failures: int = 0
    resting_until_s: float = 0.0
    listed_leaving: bool = False

    @property
    def leaving(self) -> bool:
        """Whether it gets no new work."""
        return self.upstream.leaving or self.listed_leaving

    def free_slots(self) -> int:
        """Returns how many more calls it can run."""
        return self.upstream.slots - len(self.running)

    def usable(self, now_s: float) -> bool:
        """Tells whether a call may be placed here now."""
        return (
            not self.leaving and self.resting_until_s <= now_s and self.free_slots() > 0
        )

    def observe(self, first_token_ms: float, token_ms: float) -> None:
        """Updates the moving averages with a finished call."""
        self.failures = 0
        if not self.first_token_ms:
            self.first_token_ms, self.token_ms = first_token_ms, token_ms
            return
        self.first_token_ms += SMOOTHING * (first_token_ms - self.first_token_ms)
        self.token_ms += SMOOTHING * (token_ms - self.token_ms)

    def fail(self, now_s: float) -> None:
        """Notes a failed call; the upstream rests after several in a row."""
        self.failures += 1
        if self.failures >= FAILURES_TO_REST:
            self.resting_until_s = now_s + REST_S


class PoolView:
    """The upstreams of one pool."""

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.upstreams: dict[str, UpstreamView] = {}
        self.update(pool)

    def update(self, pool: Pool) -> None:
        """Takes over a changed document; running calls stay known."""
        self.pool = pool
        kept = self.upstreams
        self.upstreams = {}
        for upstream in pool.upstreams:
            view = kept.get(upstream.name) or UpstreamView(upstream)
            view.upstream = upstream
            self.upstreams[upstream.name] = view

    def usable(self, now_s: float, excluded: list[str]) -> list[UpstreamView]:
        """Returns the upstreams that can take a call now."""
        return [
            view
            for name, view in self.upstreams.items()
            if name not in excluded and view.usable(now_s)
        ]
