"""
Chooses upstreams for a request and sends it, as often as its route permits.

An upstream that rejects a request or cannot be reached did not run it, so another one
is tried. After an interrupted response, or one that wrongly promises that the request
did not run, the request is sent again only if its route permits that it runs more than
once.
"""

import asyncio
from collections.abc import Callable

from aiohttp import web

from damasksaddle.exceptions import (
    DeadlineExceeded,
    NotRun,
    OutcomeUnknown,
    Refusal,
    UpstreamUnavailable,
)
from damasksaddle.utils import (
    Counter,
    Timing,
    boottime_s,
    count,
    get_logger,
    measure,
)
from damasksaddle_gateway.calls import AttemptTimes, Call
from damasksaddle_gateway.config_watcher import ConfigWatcher
from damasksaddle_gateway.eligibility import (
    Busy,
    Eligibility,
    Eligible,
    Excluded,
    Survey,
    available_upstreams,
)
from damasksaddle_gateway.interfaces import HeaderCodec
from damasksaddle_gateway.membership import Membership
from damasksaddle_gateway.placement import REJECTED_BACKOFF_S, Placement
from damasksaddle_gateway.quarantine import Quarantine
from damasksaddle_gateway.relay import ResponseRelay
from damasksaddle_gateway.routing_config import (
    AtMostOnce,
    Idempotent,
    Streaming,
    Upstream,
    is_resumable,
    is_retryable,
)
from damasksaddle_gateway.scheduling.client import NoPlace, Place, SchedulingClient
from damasksaddle_gateway.scheduling.requests import Outcome, OutcomeKind
from damasksaddle_gateway.stream_versions import StreamVersions
from damasksaddle_gateway.upstream_limits import Limited, Permitted, UpstreamLimits
from damasksaddle_gateway.upstreams import (
    BodyInterrupted,
    ResponseInterrupted,
    RunUnknown,
    UpstreamClient,
    UpstreamRejected,
    UpstreamResponse,
    UpstreamUnreachable,
)

log = get_logger("front")

NO_UPSTREAM_RETRY_S = 0.2
# Number of upstream rejections after which a request is refused, and the number if
# upstreams are left that have not rejected it.
MAX_REJECTIONS = 6
MAX_REJECTING_UPSTREAMS = 12
# Share of the remaining time that a request may wait for upstream capacity.
PLACEMENT_WAIT_SHARE = 0.5
# The timer of a deadline may expire this long before it. A timer that expires by more
# than `MAX_TIMER_DELAY_S` later was held up by this VM, which may be the cause of the
# timeout.
DEADLINE_TOLERANCE_S = 0.005
MAX_TIMER_DELAY_S = 0.1


def timeout_refusal(call: Call) -> Refusal:
    """Returns the refusal of a request whose deadline has passed."""
    if call.may_have_run:
        return DeadlineExceeded(not_run=NotRun.UNKNOWN)
    return UpstreamUnavailable(retry_after_s=NO_UPSTREAM_RETRY_S)


def _has_timed_out(call: Call) -> bool:
    """
    Tells whether an attempt is cancelled at the deadline without any event.

    Later on, the caller may be the one who reads slowly.
    """
    is_due = -MAX_TIMER_DELAY_S <= call.time_left_s() <= DEADLINE_TOLERANCE_S
    return is_due and call.times is not None and call.times.first_event_s is None


def _is_rejected(call: Call, other_upstreams: bool) -> bool:
    """
    Tells whether so many upstreams rejected a call that it is not tried again.

    A call whose time ends before it could be rejected once more is not tried either:
    its caller would not learn that it did not run.
    """
    most = MAX_REJECTING_UPSTREAMS if other_upstreams else MAX_REJECTIONS
    return call.rejections >= most or call.time_left_s() < call.rejection_s


def _response_kind(response: web.StreamResponse) -> OutcomeKind:
    """Returns the outcome of a response; errors come quickly and are no measure."""
    if response.status >= web.HTTPInternalServerError.status_code:
        return OutcomeKind.INTERRUPTED
    return OutcomeKind.COMPLETED


def _rejection_kind(call: Call, error: UpstreamRejected) -> OutcomeKind:
    if not error.misdirected:
        return OutcomeKind.FULL
    if call.service.cold_per_s > 0:
        return OutcomeKind.COLD
    # Another process than the listed one responded.
    return OutcomeKind.ABANDONED


def _outcome(call: Call, kind: OutcomeKind) -> Outcome:
    """Returns how the last attempt of a call ended, with its times if it completed."""
    times = call.times
    if times is None or kind is not OutcomeKind.COMPLETED:
        return Outcome(kind)
    return Outcome(
        kind,
        times.first_event_ms(),
        times.event_gap_ms(),
        (boottime_s() - times.sent_s) * 1000,
        times.events,
    )


class Dispatcher:
    """
    Sends the requests of this VM to upstreams.

    `check_config` raises if the configuration is too old for a call.
    """

    def __init__(
        self,
        config_watcher: ConfigWatcher,
        placement: Placement,
        membership: Membership,
        upstreams: UpstreamClient,
        upstream_limits: UpstreamLimits,
        quarantine: Quarantine,
        stream_versions: StreamVersions,
        codec: HeaderCodec,
        relay: ResponseRelay,
        check_config: Callable[[Call], None],
        scheduling: SchedulingClient | None = None,
    ) -> None:
        self._config_watcher = config_watcher
        self._placement = placement
        self._membership = membership
        self._upstreams = upstreams
        self._upstream_limits = upstream_limits
        self._quarantine = quarantine
        self._stream_versions = stream_versions
        self._codec = codec
        self._relay = relay
        self._check_config = check_config
        self._scheduling = scheduling
        self._eligibility = Eligibility(
            config_watcher, placement, membership, quarantine
        )
        self._known_upstreams: dict[str, Upstream] = {}

    def check_evacuation(self, call: Call) -> None:
        """
        Raises if all upstreams are evacuated.

        Such a request neither takes a token of its workspace's rate nor waits for one.
        """
        if self._config_watcher.evacuated:
            survey = self._eligibility.survey(call, None)
            if survey.is_evacuated():
                raise self._no_upstream_refusal(call, survey)

    async def serve(self, request: web.BaseRequest, call: Call) -> web.StreamResponse:
        """Tries upstreams until one responds, as far as the route permits retries."""
        while True:
            upstream, place = await self._choose(call)
            outcome = OutcomeKind.ABANDONED
            self._placement.start_request(upstream)
            try:
                response = await self._try_upstream(request, call, upstream)
                outcome = _response_kind(response)
                return response
            except UpstreamUnreachable as error:
                outcome = OutcomeKind.NOT_REACHED
                self._placement.record_failure(upstream)
                self._log_try(call, upstream, "not_reached", error)
            except UpstreamRejected as error:
                outcome = _rejection_kind(call, error)
                self._placement.record_rejection(upstream)
                call.rejections += 1
                if call.times is not None:
                    call.rejection_s = boottime_s() - call.times.sent_s
                call.rejected_by.add(upstream.id)
                if not error.misdirected:
                    # The upstream may have capacity again shortly.
                    call.tried_upstreams.remove(upstream.id)
                self._log_try(call, upstream, "not_taken", error)
            except BodyInterrupted as error:
                # The upstream is not at fault.
                call.tried_upstreams.remove(upstream.id)
                self._log_try(call, upstream, "not_sent", error)
                self._check_retry_allowed(call)
            except ResponseInterrupted as error:
                outcome = OutcomeKind.INTERRUPTED
                self._placement.record_failure(upstream)
                self._log_try(call, upstream, "broken_off", error)
                self._quarantine.record_interruption(call.fingerprints, upstream)
                self._check_retry_allowed(call)
            except RunUnknown as error:
                outcome = OutcomeKind.INTERRUPTED
                self._log_try(call, upstream, "run_unknown", error)
                self._check_retry_allowed(call)
            except asyncio.CancelledError:
                if _has_timed_out(call):
                    outcome = OutcomeKind.TIMED_OUT
                    self._log_try(call, upstream, "timed_out", None)
                raise
            finally:
                self._placement.finish_request(upstream)
                if self._scheduling is not None and place is not None:
                    self._scheduling.release(place, _outcome(call, outcome))

    async def _choose(self, call: Call) -> tuple[Upstream, Place | None]:
        """
        Returns the upstream to try next, with its slot if a scheduler counts them.

        If no scheduler responds, this VM chooses by what it knows itself.
        """
        started_s = boottime_s()
        deadline_s = started_s + call.time_left_s() * PLACEMENT_WAIT_SHARE
        scheduling = self._scheduling
        if scheduling is None or not scheduling.enabled:
            upstream = await self._next_upstream(call, deadline_s, None)
            assert upstream is not None
            self._start_attempt(call, upstream, started_s)
            return upstream, None
        while True:
            place = await self._scheduled_place(scheduling, call, deadline_s)
            if place is None:
                upstream = await self._next_upstream(call, deadline_s, scheduling)
                if upstream is None:
                    continue
                place = scheduling.place_locally(call, upstream)
            call.scheduler = place.scheduler or "local"
            try:
                self._start_attempt(call, place.upstream, started_s)
            except Refusal:
                scheduling.release(place, Outcome(OutcomeKind.ABANDONED))
                raise
            return place.upstream, place

    def _start_attempt(self, call: Call, upstream: Upstream, started_s: float) -> None:
        """Raises a refusal if the call may not be sent any more."""
        if call.time_left_s() <= 0:
            # This VM may have been suspended; its timers do not count that time.
            raise timeout_refusal(call)
        self._check_config(call)
        call.tried_upstreams.append(upstream.id)
        measure(Timing.PLACEMENT_WAIT, (boottime_s() - started_s) * 1000)

    def _retain_upstreams(self) -> None:
        if self._known_upstreams is not self._config_watcher.upstreams:
            self._known_upstreams = self._config_watcher.upstreams
            self._placement.retain(list(self._known_upstreams.values()))

    async def _scheduled_place(
        self, scheduling: SchedulingClient, call: Call, deadline_s: float
    ) -> Place | None:
        """
        Returns a slot that the scheduler of the service granted.

        Returns None if no scheduler responds. A granted upstream that this VM excludes
        is given back and excluded from the next request to the scheduler.
        """
        given_back: set[str] = set()
        while True:
            self._retain_upstreams()
            version = await self._version(call)
            survey = self._eligibility.survey(call, version)
            candidates = {upstream.id for upstream in survey.candidates()}
            if not candidates and await self._reassign(call, version):
                continue
            if not candidates - given_back or _is_rejected(call, False):
                raise self._no_upstream_refusal(call, survey)
            excluded = survey.excluded_ids() | given_back
            if candidates - excluded - call.rejected_by:
                excluded |= call.rejected_by
            elif candidates & call.rejected_by:
                # One of them may have room again when one of its requests has ended.
                await asyncio.sleep(REJECTED_BACKOFF_S)
            max_wait_s = 0.0
            limited = survey.first_permit()
            if limited is not None:
                # All of them are limited: wait for the one with the first permit.
                excluded = {upstream.id for upstream in survey.verdicts} - {limited.id}
                max_wait_s = max(0.0, deadline_s - boottime_s())
            match await scheduling.acquire(call, version, excluded):
                case None:
                    return None
                case NoPlace() as rejected:
                    raise self._rejection_refusal(call, survey, rejected)
                case Place() as place:
                    pass
            used = False
            try:
                used = await self._may_use(call, version, place, max_wait_s)
            finally:
                if not used:
                    scheduling.give_back(call, place)
            if used:
                return place
            if max_wait_s:
                raise self._no_upstream_refusal(call, survey)
            given_back.add(place.upstream.id)

    async def _may_use(
        self, call: Call, version: str | None, place: Place, max_wait_s: float
    ) -> bool:
        """Tells whether this VM may send a call to the upstream that was granted."""
        if not await self._take_permit(call, place.upstream, max_wait_s):
            return False
        version = self._known_version(call, version)
        # The scheduler knows how full the upstream is; what this VM counts is only its
        # own part.
        match self._eligibility.verdict(call, version, place.upstream):
            case Eligible() | Busy():
                return True
            case Excluded():
                return False

    def _rejection_refusal(
        self, call: Call, survey: Survey, rejected: NoPlace
    ) -> Refusal:
        if call.may_have_run:
            return OutcomeUnknown()
        return UpstreamUnavailable(
            f"scheduler: {rejected.reason}, tried {len(call.tried_upstreams)}, "
            f"{call.rejections} rejections as full, {survey}",
            retry_after_s=rejected.retry_after_s,
        )

    async def _next_upstream(
        self, call: Call, deadline_s: float, scheduling: SchedulingClient | None
    ) -> Upstream | None:
        """
        Returns an upstream chosen by what this VM knows itself.

        Returns None if meanwhile a scheduler of `scheduling` may respond.
        """
        while True:
            self._retain_upstreams()
            version = await self._version(call)
            survey = self._eligibility.survey(call, version)
            candidates = survey.candidates()
            if not candidates and await self._reassign(call, version):
                continue
            max_wait_s = 0.0
            eligible = survey.eligible()
            if scheduling is not None:
                eligible = scheduling.within_local_rate(call.service, eligible)
            others = [
                upstream for upstream in eligible if upstream.id not in call.rejected_by
            ]
            if _is_rejected(call, bool(others)):
                raise self._no_upstream_refusal(call, survey)
            upstream = self._placement.choose(
                others or eligible, call.service, call.metadata
            )
            if upstream is None:
                upstream = survey.first_permit()
                max_wait_s = deadline_s - boottime_s()
            if upstream is not None:
                if await self._take_permit(call, upstream, max_wait_s):
                    version = self._known_version(call, version)
                    # Room that others took during the wait does not void a permit.
                    match self._eligibility.verdict(call, version, upstream):
                        case Eligible() | Busy():
                            return upstream
                        case Excluded():
                            continue
                if max_wait_s:
                    raise self._no_upstream_refusal(call, survey)
                continue
            vms = len(self._membership.live_vms())
            if not candidates or not await self._placement.wait_for_capacity(
                candidates, call.service, vms, deadline_s
            ):
                raise self._no_upstream_refusal(call, survey)
            if scheduling is not None and scheduling.has_scheduler(call.service.name):
                return None

    async def _version(self, call: Call) -> str | None:
        """Returns the upstream version that a call needs, or None if any will do."""
        if call.version is not None or not is_resumable(call.route.kind):
            return call.version
        return await self._stream_versions.splits.assigned_version(
            call.service.name, call.version_key
        )

    def _known_version(self, call: Call, version: str | None) -> str | None:
        """Returns the version that a call needs after a wait, when it was `version`."""
        if version is None or call.version is not None:
            return version
        splits = self._stream_versions.splits
        return splits.known_version(call.service.name, call.version_key) or version

    async def _reassign(self, call: Call, version: str | None) -> bool:
        """
        Moves a stream that has not begun to another version if its own has no upstream.

        Returns whether that was possible.
        """
        if version is None or call.version is not None:
            return False
        others = self._eligibility.survey(call, None).candidates(healthy=True)
        upstream = self._placement.choose(others, call.service, call.metadata)
        if upstream is None:
            return False
        splits, service = self._stream_versions.splits, call.service.name
        available = available_upstreams(self._config_watcher, service)
        if any(listed.software_version == version for listed in available):
            await splits.move_shard(
                service, call.version_key, upstream.software_version
            )
        else:
            await splits.rebalance(service)
        return await self._version(call) != version

    async def _take_permit(
        self, call: Call, upstream: Upstream, max_wait_s: float
    ) -> bool:
        """Returns whether the rate limit of an upstream permits the call."""
        match await self._upstream_limits.take_permit(upstream, max_wait_s):
            case Permitted():
                return True
            case Limited(retry_after_s):
                self._placement.record_limited(upstream, retry_after_s)
                call.permit_retry_s = retry_after_s
                return False

    def _no_upstream_refusal(self, call: Call, survey: Survey) -> Refusal:
        if call.may_have_run:
            return OutcomeUnknown()
        retry_after_s = max(NO_UPSTREAM_RETRY_S, call.permit_retry_s)
        if survey.all_leave():
            # Only the list, or the end of an evacuation, can bring another upstream.
            retry_after_s = self._config_watcher.upstream_poll_s()
        return UpstreamUnavailable(
            f"tried {len(call.tried_upstreams)}, {call.rejections} rejections as full, "
            f"{survey}",
            retry_after_s=retry_after_s,
        )

    def _check_retry_allowed(self, call: Call) -> None:
        """Raises unless the request may be retried after an interrupted response."""
        if not is_retryable(call.route.kind):
            raise OutcomeUnknown
        if call.attempts >= call.route.max_attempts:
            raise OutcomeUnknown

    async def _try_upstream(
        self, request: web.BaseRequest, call: Call, upstream: Upstream
    ) -> web.StreamResponse:
        headers = self._codec.upstream_headers(
            call.metadata,
            upstream,
            call.workspace,
            call.time_left_s() * 1000,
            call.last_event_id,
            self._engine_priority(call),
        )
        attempt = self._upstreams.send(
            upstream,
            call.method,
            call.raw_path,
            headers,
            call.chain or call.body,
            call.metadata.request_id,
            fresh_connection=upstream.id in call.rejected_by,
        )
        call.times = AttemptTimes(boottime_s())
        tracked = self._quarantine.attempts.start(
            upstream, call.fingerprints, call.deadline_s
        )
        answered = False
        may_have_run_before = call.may_have_run
        call.may_have_run = True
        call.attempts += 1
        try:
            async with attempt as upstream_response:
                if upstream_response.status < web.HTTPMultipleChoices.status_code:
                    self._check_signature(upstream_response)
                match call.route.kind:
                    case Streaming() if (
                        upstream_response.status == web.HTTPOk.status_code
                    ):
                        response = await self._relay.stream_events(
                            request, call, upstream_response
                        )
                    case Streaming() | Idempotent() | AtMostOnce():
                        response = await self._relay.send_buffered(
                            call, upstream_response
                        )
            answered = True
        except (UpstreamUnreachable, UpstreamRejected):
            answered = True
            call.may_have_run = may_have_run_before
            call.attempts -= 1
            raise
        except BodyInterrupted:
            answered = True
            raise
        except RunUnknown:
            answered = True
            self._quarantine.record_completed(call.fingerprints)
            raise
        finally:
            self._quarantine.attempts.finish(tracked, answered, boottime_s())
        self._placement.record_success(upstream)
        self._quarantine.record_completed(call.fingerprints)
        self._log_try(call, upstream, str(response.status), None)
        return response

    @staticmethod
    def _check_signature(upstream_response: UpstreamResponse) -> None:
        """Raises if a successful response lacks the upstream's signature."""
        if not upstream_response.metadata.signed:
            raise ResponseInterrupted("a successful response has no signature")

    @staticmethod
    def _engine_priority(call: Call) -> int | None:
        """
        Returns the priority that an engine gives to a request; 0 is the most urgent.
        """
        if call.service.engine is None:
            return None
        if call.workspace is not None and call.workspace.priority is not None:
            return call.workspace.priority
        return call.route.priority

    def _log_try(
        self, call: Call, upstream: Upstream, outcome: str, error: Exception | None
    ) -> None:
        count(Counter.UPSTREAM_ATTEMPTS, outcome)
        log.info(
            "Tried an upstream.",
            request=call.metadata.request_id,
            program=call.metadata.program.id if call.metadata.program else "",
            workspace=call.workspace.name if call.workspace else "",
            route=call.route.name,
            upstream=upstream.id,
            version=upstream.software_version,
            stream=call.metadata.stream_id,
            after_event=call.metadata.last_event_id,
            outcome=outcome,
            error=error,
            fingerprint=None if outcome.isdigit() else call.fingerprints[-1],
            attempt=call.attempts,
            scheduler=call.scheduler,
            events=call.events.count,
            outstanding=self._placement.upstream_state(upstream).outstanding,
            upstreams_age_s=round(self._config_watcher.upstreams_age_s(), 3),
            after_ms=round((boottime_s() - call.started_s) * 1000),
            left_ms=round(call.time_left_s() * 1000),
        )
