"""Tests of the metrics that count failures."""

from damasksaddle.utils import Counter, reset_metrics
from damasksaddle.utils.metrics import counter_value
from damasksaddle_standins.fleet import LocalFleet


async def test_removals_and_table_errors_are_counted():
    """Guards against removals or table errors that the metrics do not count."""
    reset_metrics()
    async with LocalFleet(3) as fleet:
        await fleet.kill("vm2")
        await fleet.sleep(20)
        # The first committer of each of the four streams counts one takeover. The
        # killed VM had not yet loaded its streams.
        counts = {kind: counter_value(kind) for kind in Counter if counter_value(kind)}
        assert counts == {Counter.MEMBER_REMOVALS: 1, Counter.STREAM_TAKEOVERS: 4}
        fleet.table.faults.down = True
        await fleet.sleep(2)
        assert counter_value(Counter.TABLE_ERRORS) > 0
