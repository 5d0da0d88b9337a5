"""
Decides which VM may grant rates and budgets while the store is unavailable.

Grants without the store are safe only if a single VM makes them for each name, and if
that VM knows of those that were made before.
"""

import math

from damasksaddle.utils import boottime_s
from damasksaddle_gateway.coordinators import Coordinators
from damasksaddle_gateway.membership import Membership
from damasksaddle_gateway.outage_detector import OutageDetector
from damasksaddle_gateway.peers import Peers
from damasksaddle_gateway.store import StoreCircuitBreaker


class OfflineRights:
    """The rights of this VM to grant without the store."""

    def __init__(
        self,
        store: StoreCircuitBreaker,
        membership: Membership,
        coordinators: Coordinators,
        peers: Peers,
        outage_detector: OutageDetector,
    ) -> None:
        self._store = store
        self._membership = membership
        self._coordinators = coordinators
        self._peers = peers
        self._outage_detector = outage_detector

    async def may_grant(self, name: str) -> bool:
        """Tells whether this VM alone may grant a name now, and waits to confirm it."""
        return (
            self._coordinators.is_offline_holder(name)
            and await self._outage_detector.confirm()
            and self._membership.is_settled(self._outage_detector.began_s)
        )

    def sole_granter_s(self, name: str) -> float:
        """
        Returns for how long no other VM can have granted a name without the store.

        Since this VM holds the right, only it can have. Before that, there was no
        outage as far back as it would have noticed one; for the first VMs of a fleet,
        this is for ever.
        """
        steady_since_s = self._membership.steady_since_s()
        held_since_s = max(steady_since_s, self._coordinators.holder_since_s(name))
        earlier_ends_s = [
            end_s for end_s in self._store.outage_ends_s if end_s <= held_since_s
        ]
        since_s = max([steady_since_s, *earlier_ends_s])
        if math.isinf(held_since_s):
            since_s = held_since_s
        if self._peers.is_founding(since_s):
            return math.inf
        return self._store.unavailable_since_s() - since_s

    def granted_elsewhere_until_s(self, name: str) -> float:
        """
        Returns until when another VM may have granted a name without the store.

        This VM knows the grants of times in which it held the right, and that there
        were none while it followed the store. Minus infinity if it knows of all times,
        as the first VMs of a fleet do.
        """
        held_since_s = self._coordinators.holder_since_s(name)
        first_s = self._store.first_success_s
        if math.isinf(first_s):
            return boottime_s()
        unknown_ends_s = [
            end_s for end_s in self._store.gap_ends_s if end_s <= held_since_s
        ]
        if self._peers.is_founding(first_s):
            unknown_ends_s = [end_s for end_s in unknown_ends_s if end_s > first_s]
        return max(unknown_ends_s, default=-math.inf)
