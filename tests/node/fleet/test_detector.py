"""Who watches whose lease (R20, R31)."""

from collections import Counter

from damasksaddle_node.fleet.detector import watched_by
from damasksaddle_node.fleet.state import Member


def roster(size: int, domains: int) -> dict[str, Member]:
    ids = [f"vm{n}-{n:016x}" for n in range(size)]
    return {v: Member(v, f"d{n % domains}", "", "") for n, v in enumerate(ids)}


def test_every_member_has_two_watchers_in_other_domains():
    """Guards against members that nobody watches, or only VMs that fail with them."""
    for size, domains in ((2, 1), (3, 1), (5, 2), (12, 3), (390, 7)):
        members = roster(size, domains)
        counts: Counter[str] = Counter()
        for vm_id, member in members.items():
            for watched in watched_by(vm_id, members):
                counts[watched] += 1
                far = members[watched].failure_domain != member.failure_domain
                assert watched != vm_id and (far or domains == 1)
            if size == 390:
                assert len(watched_by(vm_id, members)) <= 8
        assert counts == dict.fromkeys(members, min(2, size - 1))
