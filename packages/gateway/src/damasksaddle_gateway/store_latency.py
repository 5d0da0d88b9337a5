"""
Estimates how long the store takes to answer, from the answers that it gives.

A slow store is not an unavailable one: its answers come, but later than a fixed timeout
allows. The estimate follows every answer, also one that arrives after its caller gave
up, as a TCP sender estimates round-trip times (RFC 6298). It does no I/O and takes all
times as arguments.
"""

import math

# Duration of a write in a store without load, and of a read.
INITIAL_WRITE_S = 0.015
INITIAL_READ_S = 0.006
# Weight of a new sample in the mean, if it is above or below it, and in the mean
# deviation. A store that becomes slow has to be noticed within a few calls.
RISE_WEIGHT = 0.5
FALL_WEIGHT = 0.4
DEVIATION_WEIGHT = 0.25
# A timeout is the mean plus this many mean deviations.
DEVIATIONS = 4.0
MIN_TIMEOUT_S = 0.075
MAX_TIMEOUT_S = 2.0
# A write takes about as long as two reads, so a slow read announces slow writes.
READS_PER_WRITE = 2.0
# Writes that are expected to take longer than this make a store slow.
SLOW_WRITE_S = 0.1


class LatencyEstimator:
    """
    The mean duration of one kind of call, and a timeout for the next one.

    >>> estimator = LatencyEstimator(0.015)
    >>> estimator.record(0.415)
    >>> round(estimator.mean_s, 3)
    0.215
    """

    def __init__(self, initial_s: float) -> None:
        self.mean_s = initial_s
        self._deviation_s = initial_s
        self._backoff = 1.0
        self._backed_off_s = -math.inf

    def record(self, duration_s: float) -> None:
        """Adds the duration of an answered call, however late the answer was."""
        error_s = duration_s - self.mean_s
        self.mean_s += (RISE_WEIGHT if error_s > 0 else FALL_WEIGHT) * error_s
        self._deviation_s += DEVIATION_WEIGHT * (abs(error_s) - self._deviation_s)
        self._backoff = 1.0

    def record_timeout(self, started_s: float, now_s: float) -> None:
        """Doubles the timeout, once for all calls that were under way together."""
        if started_s >= self._backed_off_s:
            self._backoff = min(self._backoff * 2, MAX_TIMEOUT_S / MIN_TIMEOUT_S)
            self._backed_off_s = now_s

    def timeout_s(self) -> float:
        """Returns after which time an answer counts as lost."""
        timeout_s = (self.mean_s + DEVIATIONS * self._deviation_s) * self._backoff
        return min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, timeout_s))


class StoreLatency:
    """The latency of the store's reads and writes."""

    def __init__(self) -> None:
        self.reads = LatencyEstimator(INITIAL_READ_S)
        self.writes = LatencyEstimator(INITIAL_WRITE_S)

    def write_s(self) -> float:
        """Returns how long the next write is expected to take."""
        return max(self.writes.mean_s, READS_PER_WRITE * self.reads.mean_s)

    def write_timeout_s(self) -> float:
        """Returns after which time the answer to a write counts as lost."""
        by_reads_s = READS_PER_WRITE * self.reads.timeout_s()
        # An idle VM writes rarely and learns from its reads; a fast read says nothing.
        if self.reads.mean_s <= SLOW_WRITE_S / READS_PER_WRITE:
            by_reads_s = 0.0
        return min(MAX_TIMEOUT_S, max(self.writes.timeout_s(), by_reads_s))

    def extra_write_s(self) -> float:
        """Returns how much longer than usual a write is expected to take."""
        return max(0.0, self.write_s() - INITIAL_WRITE_S)

    def is_slow(self) -> bool:
        """Tells whether writes take much longer than usual."""
        return self.write_s() > SLOW_WRITE_S
