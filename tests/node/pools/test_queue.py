"""The order of calls in a pool's queue."""

from collections import Counter

from damasksaddle.config import Policy
from damasksaddle_node.pools.queue import CallQueue, QueuedCall
from damasksaddle_protocol import Place


def make_call(
    number: int, workspace: str = "w", since_s: float = 0.0, **fields
) -> QueuedCall:
    fields = {"prompt_tokens": 100, "max_tokens": 10, **fields}
    weight = fields.pop("weight", 1.0)
    place = Place(f"c{number}", "desk/writer", workspace, f"p{number}", **fields)
    return QueuedCall(place, since_s, weight, number)


def pop_all(queue: CallQueue, limit: int = 1000) -> list[QueuedCall]:
    order = []
    while len(order) < limit and (call := queue.pop()):
        queue.charge(call, 110)
        order.append(call)
    return order


def test_share_follows_weight():
    """Guards against a workspace that exceeds its share with a long queue."""
    queue = CallQueue()
    for number in range(300):
        queue.push(Policy.PROGRAM_FAIR, make_call(number, "flood"))
    for number in range(300, 400):
        queue.push(Policy.PROGRAM_FAIR, make_call(number, "heavy", weight=3.0))
    served = Counter(call.place.workspace for call in pop_all(queue, 100))
    assert served == {"flood": 25, "heavy": 75}


def test_idle_workspace_accumulates_no_credit():
    """Guards against a workspace that blocks others after an idle period."""
    queue = CallQueue()
    for number in range(100):
        queue.push(Policy.PROGRAM_FAIR, make_call(number, "busy"))
    pop_all(queue, 50)
    for number in range(100, 150):
        queue.push(Policy.PROGRAM_FAIR, make_call(number, "idle"))
    served = Counter(call.place.workspace for call in pop_all(queue, 20))
    assert abs(served["busy"] - served["idle"]) <= 1


def test_charge_is_corrected_to_served_tokens():
    """Guards against charged estimates that are not refunded."""
    queue = CallQueue()
    for number in range(4):
        queue.push(Policy.PROGRAM_FAIR, make_call(number, "ab"[number % 2]))
    first = queue.pop()
    queue.charge(first, 1000)
    queue.adjust_charge(first.place.workspace, -1000, 1.0)
    queue.charge(queue.pop(), 10)
    assert [call.place.workspace for call in pop_all(queue)][0] == "b"


def test_long_programs_wait_a_bounded_time():
    """Guards against starvation of a program that has attained many tokens."""
    queue = CallQueue()
    queue.push(Policy.PROGRAM_FAIR, make_call(0, attained_tokens=70_000_000))
    for number in range(1, 30):
        call = make_call(number, since_s=number, deadline_ms=3000 * (number == 20))
        queue.push(Policy.PROGRAM_FAIR, call)
    order = [call.number for call in pop_all(queue)]
    assert order.index(0) < 10
    assert order.index(20) < order.index(14)


def test_removed_calls_are_not_placed():
    """Guards against a slot that is given to a call without a caller."""
    queue = CallQueue()
    calls = [make_call(number) for number in range(3)]
    for call in calls:
        queue.push(Policy.ROUND_ROBIN, call)
    queue.remove(calls[0])
    assert len(queue) == 2
    assert [call.number for call in pop_all(queue)] == [1, 2]
    assert len(queue) == 0
