"""Assignment of watchers to members (R20, R31)."""

from collections import Counter

from damasksaddle_node.fleet.detector import members_watched_by
from damasksaddle_node.fleet.state import Member


def make_roster(size: int, domains: int) -> dict[str, Member]:
    ids = [f"vm{index}-{index:016x}" for index in range(size)]
    return {
        vm_id: Member(vm_id, f"d{index % domains}", "", "")
        for index, vm_id in enumerate(ids)
    }


def test_every_member_has_two_watchers_in_other_domains():
    """Guards against members without watchers outside their failure domain."""
    for size, domains in ((2, 1), (3, 1), (5, 2), (12, 3), (390, 7)):
        members = make_roster(size, domains)
        watcher_counts: Counter[str] = Counter()
        for vm_id, member in members.items():
            for watched in members_watched_by(vm_id, members):
                watcher_counts[watched] += 1
                in_other_domain = (
                    members[watched].failure_domain != member.failure_domain
                )
                assert watched != vm_id and (in_other_domain or domains == 1)
            if size == 390:
                assert len(members_watched_by(vm_id, members)) <= 8
        assert watcher_counts == dict.fromkeys(members, min(2, size - 1))
