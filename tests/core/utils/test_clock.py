"""The clock that counts the time for which a VM was suspended."""

import time

import pytest

from damasksaddle.utils.clock import SuspensionClock


class Clocks:
    """The two system clocks; `preemptions_ns` are delays before successive reads."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.monotonic_ns = 1_000_000_000
        self.suspended_ns = 5_000_000_000
        self.preemptions_ns: list[int] = []
        monkeypatch.setattr(time, "monotonic_ns", self._read_monotonic)
        monkeypatch.setattr(time, "clock_gettime_ns", self._read_boottime)

    def _pass_time(self) -> None:
        self.monotonic_ns += self.preemptions_ns.pop(0) if self.preemptions_ns else 700

    def _read_monotonic(self) -> int:
        self._pass_time()
        return self.monotonic_ns

    def _read_boottime(self, clock: int) -> int:
        self._pass_time()
        return self.monotonic_ns + self.suspended_ns


def test_a_preemption_between_the_reads_is_no_suspension(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against time that jumps when a process loses the processor."""
    clocks = Clocks(monkeypatch)
    clock = SuspensionClock()
    started_s = clock.suspended_s()
    assert started_s == 0.0
    for delayed_read in range(3):
        clocks.preemptions_ns = [0, 0, 0]
        clocks.preemptions_ns[delayed_read] = 400_000_000
        assert clock.suspended_s() == started_s
    clocks.preemptions_ns = [300, 90_000, 250, 1_000, 40, 7_000]
    assert [clock.suspended_s(), clock.suspended_s()] == [started_s, started_s]


def test_a_suspension_is_counted_and_never_forgotten(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against permissions that outlive a suspension of the VM."""
    clocks = Clocks(monkeypatch)
    clock = SuspensionClock()
    started_s = clock.suspended_s()
    clocks.suspended_ns += 3_000_000_000
    assert clock.suspended_s() - started_s == pytest.approx(3.0, abs=0.001)
    clocks.preemptions_ns = [0, 0, 800_000]
    assert clock.suspended_s() - started_s == pytest.approx(3.0, abs=0.001)
    for _ in range(10):
        clocks.suspended_ns += 1_000_000
        clock.suspended_s()
    assert clock.suspended_s() - started_s == pytest.approx(3.01, abs=0.003)
