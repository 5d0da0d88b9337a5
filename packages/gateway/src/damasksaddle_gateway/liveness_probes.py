"""
Asks the VMs of the address directory whether they run, if heartbeats do not tell.

Heartbeats prove it as long as the store answers and the fleet is small enough for
frequent ones. Directly after a start, in an outage, in a slow store or in a large fleet
they do not, and a VM whose last proof is getting old is asked itself.
"""

import asyncio

from mode import Service

from damasksaddle.exceptions import PeerError, Refusal
from damasksaddle.utils import boottime_s, get_logger
from damasksaddle_gateway.background import background_task
from damasksaddle_gateway.membership import MAX_PROOF_AGE_S, Membership
from damasksaddle_gateway.peers import Peers
from damasksaddle_protocol import StoreReach

log = get_logger("probes")

# A VM is asked when its last proof is older than this. Heartbeats of a small fleet
# prove it more often, and an answer may be lost twice before the proof expires.
PROBE_AGE_S = MAX_PROOF_AGE_S - 2.0
POLL_S = 0.5
# Interval at which a change of the settings is noticed while no VM is probed.
DISABLED_POLL_S = 5.0
# A round trip between failure domains takes about 11 ms; a busy VM takes longer.
PROBE_TIMEOUT_S = 0.4
# Only VMs that the directory lists are asked: those for callers of this VM's failure
# domain, and of others from which callers asked within this time.
QUERY_RETENTION_S = 10.0


class LivenessProbes(Service):
    """Keeps the proofs of the VMs that the directory lists young."""

    def __init__(self, vm: str, membership: Membership, peers: Peers) -> None:
        super().__init__()
        self._vm = vm
        self._membership = membership
        self._peers = peers

    @background_task
    async def _probe(self) -> None:
        while not self.should_stop:
            if not self._membership.settings.verified_directory:
                await asyncio.sleep(DISABLED_POLL_S)
                continue
            await asyncio.gather(*(self._probe_vm(vm) for vm in self._unproven_vms()))
            await asyncio.sleep(POLL_S)

    def _unproven_vms(self) -> list[str]:
        """Returns the VMs whose proofs are about to expire, or have expired."""
        oldest_s = boottime_s() - PROBE_AGE_S
        candidates = self._membership.directory_candidates(QUERY_RETENTION_S)
        return sorted(
            vm
            for vm in candidates - {self._vm}
            if self._membership.last_proof_s(vm) < oldest_s
        )

    async def _probe_vm(self, vm: str) -> None:
        sent_s = boottime_s()
        try:
            await self._peers.request(vm, StoreReach(), PROBE_TIMEOUT_S)
        except (PeerError, Refusal) as error:
            log.debug("A VM did not answer a probe.", peer=vm, error=repr(error))
            return
        self._membership.record_proof(vm, sent_s)
