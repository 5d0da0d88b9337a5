"""Reports of an engine stand-in: delayed load reports and lossy cache events."""

import asyncio
import random
from collections import deque
from dataclasses import dataclass, field

from damasksaddle_node.upstreams import CacheEvent, EngineLoad


@dataclass(slots=True)
class CacheEvents:
    """Numbered cache events; each is published after `lag_s` or lost."""

    lag_s: float
    loss: float
    seed: int = 1
    _next_number: int = 1
    _events: deque[tuple[float, CacheEvent]] = field(
        default_factory=lambda: deque(maxlen=4096)
    )
    _random: random.Random = field(init=False)

    def __post_init__(self) -> None:
        self._random = random.Random(self.seed)

    def publish(self, sessions: dict[str, int]) -> None:
        """Publishes the current number of cached tokens of some sessions."""
        published_at_s = asyncio.get_running_loop().time() + self.lag_s
        for session, tokens in sessions.items():
            event = CacheEvent(self._next_number, session, tokens)
            self._next_number += 1
            if self._random.random() >= self.loss:
                self._events.append((published_at_s, event))

    def after(self, number: int) -> list[CacheEvent]:
        """Returns the published events with a number above `number`."""
        now_s = asyncio.get_running_loop().time()
        return [
            event
            for published_at_s, event in self._events
            if event.number > number and published_at_s <= now_s
        ]


@dataclass(slots=True)
class LoadReports:
    """Load reports that readers see after `lag_s`."""

    lag_s: float
    _reports: deque[tuple[float, EngineLoad]] = field(default_factory=deque)

    def read(self, current: EngineLoad) -> EngineLoad:
        """Records the current load; returns the newest report at least `lag_s` old."""
        if not self.lag_s:
            return current
        now_s = asyncio.get_running_loop().time()
        self._reports.append((now_s, current))
        while len(self._reports) > 1 and self._reports[1][0] <= now_s - self.lag_s:
            self._reports.popleft()
        recorded_at_s, report = self._reports[0]
        return report if recorded_at_s <= now_s - self.lag_s else EngineLoad(0, 0, 0, 0)
