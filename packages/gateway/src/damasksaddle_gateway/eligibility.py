"""
Decides which upstreams may serve a request now.

Each listed upstream of the request's service gets a verdict. The handler asks before it
chooses an upstream, and again after each wait, because the list, the upstream's own
word, its load or the quarantine of the request may have changed meanwhile.
"""

import math
from collections import Counter
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from damasksaddle.exceptions import StreamVersionUnknown
from damasksaddle.utils import boottime_s
from damasksaddle_gateway.calls import Call
from damasksaddle_gateway.membership import Membership
from damasksaddle_gateway.placement import Placement, in_flight_limit
from damasksaddle_gateway.quarantine import Quarantine
from damasksaddle_gateway.routing_config import Upstream


class Reason(StrEnum):
    """Why an upstream does not get a request now."""

    # It is no longer listed, or listed with other properties.
    GONE = "gone"
    # The list says that it leaves.
    DRAINING = "draining"
    # It said in a response that it leaves.
    LEAVING = "leaving"
    # The operator evacuates its failure domain.
    EVACUATED = "evacuated"
    # The request was tried there.
    TRIED = "tried"
    # It runs another software version than the one that the request needs.
    VERSION = "version"
    # It rejected a request a moment ago, or this VM uses its share of it.
    FULL = "full"
    # Its rate limit permits no request yet.
    LIMITED = "limited"


@dataclass(frozen=True, slots=True)
class Eligible:
    """The upstream may get the request; `healthy` unless it failed recently."""

    healthy: bool = True


@dataclass(frozen=True, slots=True)
class Busy:
    """The upstream may get the request later, at `until_s` if that is known."""

    reason: Reason
    until_s: float = math.inf
    healthy: bool = True


@dataclass(frozen=True, slots=True)
class Excluded:
    """The upstream may not get the request."""

    reason: Reason


Verdict = Eligible | Busy | Excluded


class UpstreamList(Protocol):
    """What is known of the upstreams, by id."""

    upstreams: dict[str, Upstream]
    evacuated: frozenset[str]
    drain_ms: float

    def is_leaving(self, upstream: Upstream) -> bool:
        """Tells whether an upstream said in a response that it leaves."""
        ...

    def upstreams_age_s(self) -> float:
        """Returns the time since the list was last read."""
        ...


def available_upstreams(listed: UpstreamList, service: str) -> list[Upstream]:
    """Returns the upstreams of a service that take new requests."""
    return [
        upstream
        for upstream in listed.upstreams.values()
        if upstream.service == service and _departure(listed, upstream) is None
    ]


def _departure(listed: UpstreamList, upstream: Upstream) -> Reason | None:
    """Returns why an upstream takes no new requests at all, or None if it does."""
    if listed.upstreams.get(upstream.id) != upstream:
        return Reason.GONE
    if upstream.draining:
        return Reason.DRAINING
    if listed.is_leaving(upstream):
        return Reason.LEAVING
    if upstream.failure_domain in listed.evacuated:
        return Reason.EVACUATED
    return None


# The reasons for which no request at all may be sent to a listed upstream.
DEPARTURES = frozenset((Reason.DRAINING, Reason.LEAVING, Reason.EVACUATED))


@dataclass(frozen=True, slots=True)
class Survey:
    """The verdicts on all listed upstreams of a service, for one request."""

    verdicts: dict[Upstream, Verdict]

    def eligible(self) -> list[Upstream]:
        """Returns the eligible upstreams, without unhealthy ones if any is healthy."""
        eligible = [
            (upstream, verdict.healthy)
            for upstream, verdict in self.verdicts.items()
            if isinstance(verdict, Eligible)
        ]
        healthy = [upstream for upstream, is_healthy in eligible if is_healthy]
        return healthy or [upstream for upstream, _ in eligible]

    def candidates(self, healthy: bool = False) -> list[Upstream]:
        """Returns the upstreams that may get the request now or later."""
        return [
            upstream
            for upstream, verdict in self.verdicts.items()
            if not isinstance(verdict, Excluded) and (verdict.healthy or not healthy)
        ]

    def excluded_ids(self) -> set[str]:
        """
        Returns the upstreams that a scheduler must not grant.

        What the list of upstreams or the operator excludes, a scheduler knows itself.
        """
        return {
            upstream.id
            for upstream, verdict in self.verdicts.items()
            if verdict in (Excluded(Reason.LEAVING), Excluded(Reason.TRIED))
            or (isinstance(verdict, Busy) and verdict.reason is Reason.LIMITED)
        }

    def all_leave(self) -> bool:
        """Tells whether no upstream of the service takes new requests."""
        return all(
            isinstance(verdict, Excluded) and verdict.reason in DEPARTURES
            for verdict in self.verdicts.values()
        )

    def is_evacuated(self) -> bool:
        """Tells whether an evacuation leaves no upstream that takes new requests."""
        return Excluded(Reason.EVACUATED) in self.verdicts.values() and self.all_leave()

    def first_permit(self) -> Upstream | None:
        """
        Returns the upstream whose rate limit permits a request first.

        Returns None unless all candidates are limited: another one may have room
        earlier.
        """
        until_s = {}
        for upstream, verdict in self.verdicts.items():
            match verdict:
                case Busy(Reason.LIMITED, limited_until_s):
                    until_s[upstream] = limited_until_s
                case Eligible() | Busy():
                    return None
                case Excluded():
                    pass
        first = min(until_s, key=until_s.__getitem__, default=None)
        return None if first is None or until_s[first] == math.inf else first

    def __str__(self) -> str:
        counts = Counter(
            verdict.reason
            for verdict in self.verdicts.values()
            if not isinstance(verdict, Eligible)
        )
        reasons = ",".join(f"{reason}:{number}" for reason, number in counts.items())
        return f"excluded={reasons or 'none'}"


class Eligibility:
    """Gives the verdicts, from what this VM knows of upstreams and requests."""

    def __init__(
        self,
        listed: UpstreamList,
        placement: Placement,
        membership: Membership,
        quarantine: Quarantine,
    ) -> None:
        self._listed = listed
        self._placement = placement
        self._membership = membership
        self._quarantine = quarantine

    def survey(self, call: Call, version: str | None) -> Survey:
        """
        Returns the verdicts on all upstreams, for a software version if one is needed.

        Raises `RequestQuarantined` or `StreamVersionUnknown` if no upstream may get the
        request whatever its state.
        """
        self._check_call(call)
        vms = len(self._membership.live_vms())
        return Survey(
            {
                upstream: self._verdict(call, version, upstream, vms)
                for upstream in self._listed.upstreams.values()
                if upstream.service == call.service.name
            }
        )

    def verdict(self, call: Call, version: str | None, upstream: Upstream) -> Verdict:
        """Returns the verdict on one upstream; raises as `survey` does."""
        self._check_call(call)
        vms = len(self._membership.live_vms())
        return self._verdict(call, version, upstream, vms)

    def _check_call(self, call: Call) -> None:
        """
        Raises if no upstream may get a request.

        That is so for a stream that would continue on an outdated list: an upstream may
        have started again under its id with another version, and does not check which
        version began a stream.
        """
        self._quarantine.check(call.fingerprints)
        age_s = self._listed.upstreams_age_s()
        if call.version is not None and age_s > self._listed.drain_ms / 1000:
            raise StreamVersionUnknown(f"the list of upstreams is {age_s:.1f} s old")

    def _verdict(
        self, call: Call, version: str | None, upstream: Upstream, vms: int
    ) -> Verdict:
        departure = _departure(self._listed, upstream)
        if departure is not None:
            return Excluded(departure)
        if upstream.id in call.tried_upstreams:
            return Excluded(Reason.TRIED)
        if version is not None and upstream.software_version != version:
            return Excluded(Reason.VERSION)
        state = self._placement.known_state(upstream)
        now_s = boottime_s()
        healthy = state.avoid_until_s <= now_s
        has_room = state.outstanding < in_flight_limit(upstream, call.service, vms)
        if state.limited_until_s > now_s:
            until_s = state.limited_until_s if has_room else math.inf
            return Busy(Reason.LIMITED, until_s, healthy)
        if state.rejected_until_s > now_s:
            return Busy(Reason.FULL, state.rejected_until_s, healthy)
        if not has_room:
            return Busy(Reason.FULL, healthy=healthy)
        return Eligible(healthy)
