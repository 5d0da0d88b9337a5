"""The list of VM addresses that a caller should use, in order of preference."""

from typing import Any

from damasksaddle.utils import partition_of, rendezvous
from damasksaddle_node.fleet.state import FleetState

MAX_ADDRESSES = 8


def caller_addresses(
    state: FleetState,
    hold_s: float,
    failure_domain: str,
    workspace: str,
    program_id: str,
) -> dict[str, Any]:
    """
    Returns the response body of `GET /v1/addresses`.

    The owner of the program comes first, then the VMs of the caller's failure
    domain. VMs that are shutting down are left out.
    """
    members = [member for member in state.members.values() if not member.leaving]
    order = rendezvous(f"{workspace}/{program_id}", [m.vm_id for m in members])
    owner = None
    if program_id:
        owner = state.owners.partition(partition_of(workspace, program_id))
    members.sort(
        key=lambda member: (
            member.vm_id != owner,
            member.failure_domain != failure_domain,
            order.index(member.vm_id),
        )
    )
    return {
        "addresses": [
            {
                "url": member.http_url,
                "vm": member.vm_id,
                "failure_domain": member.failure_domain,
            }
            for member in members[:MAX_ADDRESSES]
        ],
        "hold_s": hold_s,
        "epoch": state.epoch,
    }
