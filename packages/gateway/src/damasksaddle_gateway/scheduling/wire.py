"""Converts between the messages of the scheduler and its data classes."""

from collections.abc import Iterable
from dataclasses import replace

import xxhash

from damasksaddle_gateway.routing_config import Upstream
from damasksaddle_gateway.scheduling.requests import (
    Candidate,
    Granted,
    Outcome,
    OutcomeKind,
    Outlook,
    PlaceRequest,
    Rejected,
)
from damasksaddle_protocol import (
    PlaceExplained,
    PlaceGranted,
    ReleasePlace,
    RequestPlace,
)

# Codes of outcomes in messages: the position in this tuple. New ones are appended.
KINDS = (
    OutcomeKind.COMPLETED,
    OutcomeKind.FULL,
    OutcomeKind.COLD,
    OutcomeKind.NOT_REACHED,
    OutcomeKind.INTERRUPTED,
    OutcomeKind.ABANDONED,
    OutcomeKind.TIMED_OUT,
)
# Largest values of fields in messages.
MAX_UINT32 = 2**32 - 1
DIGEST_BYTES = 4


def to_uint32(value: float) -> int:
    """Returns the nearest value that fits a field of a message."""
    return int(min(max(0.0, value), MAX_UINT32))


def list_digest(ids: list[str]) -> bytes:
    """Identifies a sorted list of upstream ids."""
    return xxhash.xxh32_digest("\0".join(ids).encode())


def pack_connected(ids: list[str], digest: bytes, connected: frozenset[str]) -> bytes:
    """
    Returns a bit for each of the ids, behind the digest of the list.

    Names of 50 upstreams would be most of a request's bytes.
    """
    if not connected:
        return b""
    bits = sum(1 << place for place, name in enumerate(ids) if name in connected)
    return digest + bits.to_bytes((len(ids) + 7) // 8, "little")


def unpack_connected(data: bytes, ids: list[str], digest: bytes) -> frozenset[str]:
    """Returns the ids whose bits are set; none if the lists of the VMs differ."""
    if data[:DIGEST_BYTES] != digest:
        return frozenset()
    bits = int.from_bytes(data[DIGEST_BYTES:], "little")
    return frozenset(name for place, name in enumerate(ids) if bits >> place & 1)


def to_request(
    message: RequestPlace,
    key: str,
    vm: str,
    failure_domain: str,
    connected: frozenset[str],
) -> PlaceRequest:
    """Returns the request of a VM; `key` is unique among all VMs."""
    program_time_left_s = None
    if message.program_time_left_ms >= 0:
        program_time_left_s = message.program_time_left_ms / 1000
    affinity = message.affinity
    if message.sticks_to_program:
        affinity = message.program
    return PlaceRequest(
        id=key,
        vm=vm,
        failure_domain=failure_domain,
        workspace=message.workspace,
        program=message.program,
        in_progress=message.in_progress,
        priority=message.priority,
        time_left_s=message.time_left_ms / 1000,
        program_time_left_s=program_time_left_s,
        prompt_tokens=message.prompt_tokens,
        max_output_tokens=message.max_output_tokens,
        body_bytes=message.body_bytes,
        affinity=affinity,
        connected=connected,
        excluded=frozenset(message.excluded),
        software_version=message.software_version if message.needs_version else None,
        route=message.route,
        retryable=message.retryable,
    )


def to_response(decision: Granted | Rejected | None, generation: int) -> PlaceGranted:
    """Returns the response for a decision; None if the request waits."""
    match decision:
        case Granted(upstream=upstream):
            return PlaceGranted(generation, upstream.id, upstream.started_at_ms)
        case Rejected(retry_after_s, reason):
            retry_after_ms = to_uint32(retry_after_s * 1000)
            return PlaceGranted(
                generation, reason=reason, retry_after_ms=retry_after_ms
            )
        case None:
            return PlaceGranted(generation)


def pack_explanation(
    generation: int, rank: int, outlook: Outlook, candidates: list[Candidate]
) -> PlaceExplained:
    """Returns the message that explains a decision."""

    def times_us(name: str) -> list[int]:
        return [to_uint32(getattr(known, name) * 1e6) for known in candidates]

    return PlaceExplained(
        generation=generation,
        rank=rank,
        decision=outlook.decision,
        reason=outlook.reason or "",
        waiting=outlook.waiting,
        ahead=outlook.ahead,
        expected_wait_us=to_uint32(outlook.wait_s * 1e6),
        allowed_wait_ms=to_uint32(outlook.allowed_s * 1000),
        chosen=next((known.upstream.id for known in candidates if known.chosen), ""),
        upstreams=[known.upstream.id for known in candidates],
        obstacles=[known.obstacle for known in candidates],
        completion_us=times_us("completion_s"),
        wait_us=times_us("wait_s"),
        transit_us=times_us("transit_s"),
        prefill_us=times_us("prefill_s"),
        decode_us=times_us("decode_s"),
        penalty_us=times_us("penalty_s"),
        slowness_permille=[to_uint32(known.slowness * 1000) for known in candidates],
        in_flight=[known.in_flight for known in candidates],
        windows=[known.window for known in candidates],
    )


def matching_upstream(
    listed: dict[str, Upstream], message: PlaceGranted
) -> Upstream | None:
    """Returns the granted upstream, or None if this VM lists another process of it."""
    upstream = listed.get(message.upstream)
    if upstream is None or upstream.started_at_ms != message.started_at_ms:
        return None
    return upstream


def _to_us(time_ms: float | None) -> int:
    return 0 if time_ms is None else max(1, to_uint32(time_ms * 1000))


def _to_ms(time_us: int) -> float | None:
    return time_us / 1000 if time_us else None


def pack_outcomes(
    service: str, outcomes: Iterable[tuple[str, Outcome]]
) -> ReleasePlace:
    """Returns the message that reports how requests ended."""
    message = ReleasePlace(service, [], [], [], [], [], [])
    for place_id, outcome in outcomes:
        message.ids.append(place_id)
        message.kinds.append(KINDS.index(outcome.kind))
        message.first_event_us.append(_to_us(outcome.first_event_ms))
        message.event_gap_us.append(_to_us(outcome.event_gap_ms))
        message.total_us.append(_to_us(outcome.total_ms))
        message.events.append(to_uint32(outcome.events))
    return message


def unpack_outcomes(message: ReleasePlace) -> list[tuple[str, Outcome]]:
    """Returns how requests ended; codes that are not known say nothing of upstreams."""
    outcomes = []
    for place_id, kind, first_us, gap_us, total_us, events in zip(
        message.ids,
        message.kinds,
        message.first_event_us,
        message.event_gap_us,
        message.total_us,
        message.events,
        strict=True,
    ):
        known = KINDS[kind] if kind < len(KINDS) else OutcomeKind.ABANDONED
        outcome = Outcome(known, _to_ms(first_us), _to_ms(gap_us), _to_ms(total_us))
        outcomes.append((place_id, replace(outcome, events=events)))
    return outcomes
