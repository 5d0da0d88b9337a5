"""Metrics of what goes wrong."""

from damasksaddle.utils import Counter, reset_metrics
from damasksaddle.utils.metrics import counter_value
from damasksaddle_standins.fleet import LocalFleet


async def test_failures_are_counted():
    """Guards against an alarm on removals or table errors that never rings."""
    reset_metrics()
    async with LocalFleet(3) as fleet:
        await fleet.kill("vm2")
        await fleet.sleep(20)
        # Each of the four streams is loaded once by its first committer; those of
        # the killed VM had not been loaded yet when it died.
        seen = {kind: counter_value(kind) for kind in Counter if counter_value(kind)}
        assert seen == {Counter.MEMBER_REMOVALS: 1, Counter.STREAM_TAKEOVERS: 4}
        fleet.table.faults.down = True
        await fleet.sleep(2)
        assert counter_value(Counter.TABLE_ERRORS) > 0
