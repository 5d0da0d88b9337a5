"""
Counts the upstreams that crashed under each request.

Requests that ran beside the one that causes a crash are counted too, but each caller
sends those only a few times, and they succeed at another upstream. The code only
decides: it neither sends nor waits.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

# A request is quarantined after this number of crashes.
MAX_CRASHES = 3
# An upstream that crashed needs at least this time to start again, so reports within it
# are of the same crash.
SAME_CRASH_S = 1.0
# The last of the crashes that another process has counted may be reported here for this
# time, because VMs notice a silent crash at different times. Shorter than a quarantine.
SAME_RESTORED_CRASH_S = 30.0
# Crashes count for this time.
REMEMBERED_S = 1800.0
# Those of a request that was quarantined count for longer than its longest quarantine,
# after which a single further crash is enough for the next one.
QUARANTINED_REMEMBERED_S = 2 * 86_400.0
# The upstream of a crash that another process has counted.
UNNAMED = ""
# The start of an upstream that does not name it.
UNKNOWN_START_MS = 0
# Bounds the memory to about 2 MB; the least recently reported requests are dropped.
MAX_FINGERPRINTS = 4096


@dataclass(frozen=True, slots=True)
class _Crash:
    """A crash of an upstream process, reported at `at_s`."""

    upstream: str
    started_at_ms: int
    at_s: float

    def is_same(self, upstream: str, started_at_ms: int, now_s: float) -> bool:
        """Tells whether a report that arrives now is of this crash."""
        if self.upstream == UNNAMED:
            return now_s - self.at_s < SAME_RESTORED_CRASH_S
        if self.upstream != upstream:
            return False
        if UNKNOWN_START_MS not in (self.started_at_ms, started_at_ms):
            # A process crashes only once.
            return self.started_at_ms == started_at_ms
        return now_s - self.at_s < SAME_CRASH_S


@dataclass(slots=True)
class CrashCounts:
    """
    The crashes under each request, by its fingerprint.

    Two reports of one crash count once:

        counts = CrashCounts()
        counts.record("f1", "upstream-a", now_s=10.0)  # 1
        counts.record("f1", "upstream-a", now_s=10.1)  # 1
        counts.record("f1", "upstream-b", now_s=10.2)  # 2
    """

    _crashes: OrderedDict[str, list[_Crash]] = field(default_factory=OrderedDict)

    def record(
        self,
        fingerprint: str,
        upstream: str,
        now_s: float,
        started_at_ms: int = UNKNOWN_START_MS,
    ) -> int:
        """
        Records a crash and returns the number of crashes under the request.

        `started_at_ms` tells processes apart that had the same id.
        """
        known = self._crashes.pop(fingerprint, [])
        is_quarantined = len(known) >= MAX_CRASHES
        remembered_s = QUARANTINED_REMEMBERED_S if is_quarantined else REMEMBERED_S
        crashes = [crash for crash in known if now_s - crash.at_s < remembered_s]
        if not any(crash.is_same(upstream, started_at_ms, now_s) for crash in crashes):
            crashes.append(_Crash(upstream, started_at_ms, now_s))
        self._keep(fingerprint, crashes)
        return len(crashes)

    def restore(self, fingerprint: str, crashes: int, now_s: float) -> None:
        """
        Takes over the number of crashes that another process has counted.

        The last of them may be reported here a moment later, and counts once.
        """
        known = self._crashes.pop(fingerprint, [])
        missing = crashes - len(known)
        unnamed = _Crash(UNNAMED, UNKNOWN_START_MS, now_s)
        self._keep(fingerprint, known + [unnamed] * missing)

    def forget(self, fingerprint: str) -> None:
        """Removes the crashes under a request that did not cause them."""
        self._crashes.pop(fingerprint, None)

    def count(self, fingerprint: str) -> int:
        """Returns the number of crashes that were recorded under a request."""
        return len(self._crashes.get(fingerprint, ()))

    def _keep(self, fingerprint: str, crashes: list[_Crash]) -> None:
        self._crashes[fingerprint] = crashes
        while len(self._crashes) > MAX_FINGERPRINTS:
            self._crashes.popitem(last=False)
