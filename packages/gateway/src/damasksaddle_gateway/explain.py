"""
Explains where a request would go now, and why, without sending it.

The request is described by the parameters of a query on the VM's metrics address. The
explanation takes no token, permit or slot. It reads what this VM knows, asks the
scheduler of the service what it would decide, and reads the row of the rate and that
of a previous turn in the store. Parameters and messages name the options of the
command line.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field, fields
from typing import Any

from aiohttp import hdrs, web
from multidict import CIMultiDict, MultiMapping

from damasksaddle.exceptions import BadRequest, NotFresh, Refusal, RouteNotFound
from damasksaddle.utils import boottime_s
from damasksaddle_gateway.calls import Call
from damasksaddle_gateway.config_watcher import ConfigWatcher
from damasksaddle_gateway.eligibility import (
    Busy,
    Eligibility,
    Eligible,
    Excluded,
    Reason,
    Survey,
    Verdict,
)
from damasksaddle_gateway.histories.coordinator import HistoryCoordinator, TurnPlace
from damasksaddle_gateway.interfaces import ProgramMetadata, RequestMetadata
from damasksaddle_gateway.membership import Membership
from damasksaddle_gateway.placement import Placement, in_flight_limit
from damasksaddle_gateway.quarantine import Quarantine
from damasksaddle_gateway.rate_limiter import RateLimiter
from damasksaddle_gateway.request_handler import (
    RESPONSE_MARGIN_S,
    RequestHandler,
    exceeds_engine_memory,
    rate_wait_share,
)
from damasksaddle_gateway.routing_config import (
    Route,
    RoutingConfig,
    Service,
    Upstream,
    Workspace,
    is_resumable,
)
from damasksaddle_gateway.scheduling.client import SchedulerReply, SchedulingClient
from damasksaddle_gateway.scheduling.requests import Decision
from damasksaddle_gateway.settings import GatewaySettings
from damasksaddle_gateway.upstream_limits import UpstreamLimits
from damasksaddle_gateway.version_splits import VersionSplits
from damasksaddle_protocol import PlaceExplained

PATH = "/explain"
MAX_NUMBER = 2**31 - 1
# What `Reason` and the scheduler's obstacles mean.
REASONS = {
    Reason.GONE: "it is not listed any more",
    Reason.DRAINING: "the list says that it leaves",
    Reason.LEAVING: "it said in a response that it leaves",
    Reason.EVACUATED: "its failure domain is evacuated",
    Reason.TRIED: "--exclude names it",
    Reason.VERSION: "it runs another software version than the request needs",
    Reason.FULL: "it rejected a request a moment ago, or this VM uses its share of it",
    Reason.LIMITED: "its rate limit permits no request yet",
}
OBSTACLES = {
    "suspect": "it failed or was slow lately",
    "overdue": "a request there takes much longer than predicted",
    "full": "its slots or its window are in use",
    "memory": "its memory has no room for the prompt and the output",
    "start rate": "it may be cold and got as many requests as a cold one takes",
}
SLOWER = "another one is predicted to complete earlier"
NOT_PREFERRED = "another one is preferred"
REFUSED = "the request is refused"
WAITS = "requests that wait go first"


@dataclass(frozen=True, slots=True)
class Query:
    """
    A request to explain; the fields are the options of the command.

    Without a `service`, the one with the largest share of the route is explained.
    """

    host: str
    path: str
    workspace: str = ""
    service: str = ""
    program: str = ""
    previous_turn: str = ""
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    deadline_ms: int = 0
    affinity_key: str = ""
    exclude: tuple[str, ...] = ()


def option_name(field_name: str) -> str:
    """
    Returns the option that sets a field.

    >>> option_name("prompt_tokens")
    '--prompt-tokens'
    """
    return "--" + field_name.replace("_", "-")


def parse_query(parameters: MultiMapping[str]) -> Query:
    """
    Returns the request that the parameters describe.

    Raises `BadRequest`, which never repeats the value of an unknown parameter: it might
    be a key.
    """
    known = {option_name(known.name)[2:]: known for known in fields(Query)}
    values: dict[str, Any] = {}
    for name in dict.fromkeys(parameters):
        if name not in known:
            raise BadRequest(f"--{name[:40]}: no such option of this VM")
        texts = parameters.getall(name)
        attribute = known[name]
        if attribute.type == tuple[str, ...]:
            values[attribute.name] = tuple(texts)
        elif len(texts) > 1:
            raise BadRequest(f"--{name}: given {len(texts)} times")
        elif attribute.type is int:
            values[attribute.name] = _parse_number(name, texts[0])
        else:
            values[attribute.name] = texts[0]
    for name in ("host", "path"):
        if not values.get(name):
            raise BadRequest(f"--{name}: is not set")
    return Query(**values)


def _parse_number(name: str, text: str) -> int:
    if not (text.isascii() and text.isdigit() and int(text[:11]) <= MAX_NUMBER):
        raise BadRequest(f"--{name}: {text[:40]!r} is no number from 0 to {MAX_NUMBER}")
    return int(text)


def _ms(time_s: float) -> float | None:
    """Returns a time for the document; None if it is not known or has no end."""
    return round(time_s * 1000, 3) if math.isfinite(time_s) else None


@dataclass(slots=True)
class _Findings:
    """What was found for one request; `refusal` is the first reason against it."""

    call: Call
    survey: Survey
    reply: SchedulerReply | None = None
    refusal: str = ""
    constraints: dict[str, Any] = field(default_factory=dict)

    def refuse(self, reason: str) -> None:
        self.refusal = self.refusal or reason

    @property
    def schedule(self) -> PlaceExplained | None:
        """Returns what a running scheduler said, or None."""
        message = self.reply.message if self.reply is not None else None
        return message if message is not None and message.generation else None


class Explainer:
    """Answers `GET /explain` from what this VM and the schedulers know."""

    def __init__(
        self,
        config_watcher: ConfigWatcher,
        membership: Membership,
        placement: Placement,
        quarantine: Quarantine,
        rate_limiter: RateLimiter,
        upstream_limits: UpstreamLimits,
        version_splits: VersionSplits,
        history_coordinator: HistoryCoordinator,
        scheduling: SchedulingClient,
        request_handler: RequestHandler,
        settings: GatewaySettings,
    ) -> None:
        self._config_watcher = config_watcher
        self._membership = membership
        self._placement = placement
        self._quarantine = quarantine
        self._rate_limiter = rate_limiter
        self._upstream_limits = upstream_limits
        self._version_splits = version_splits
        self._history_coordinator = history_coordinator
        self._scheduling = scheduling
        self._request_handler = request_handler
        self._settings = settings
        self._eligibility = Eligibility(
            config_watcher, placement, membership, quarantine
        )

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Responds with the explanation, or with the reason why there is none."""
        if request.method != hdrs.METH_GET:
            return web.Response(status=405, headers={hdrs.ALLOW: hdrs.METH_GET})
        try:
            document = await self.explain(parse_query(request.query))
        except Refusal as error:
            problem = {"code": error.code, "detail": error.detail}
            return web.json_response(problem, status=error.status)
        return web.json_response(document)

    async def explain(self, query: Query) -> dict[str, Any]:
        """
        Returns the explanation as a JSON document; times are in milliseconds.

        Raises `BadRequest`, `RouteNotFound`, or `NotFresh` without a configuration.
        """
        config = self._config_watcher.config
        if config is None:
            raise NotFresh("this VM has not read a configuration yet")
        call = self._call(config, query)
        version = self._version(call)
        found = _Findings(call, self._eligibility.survey(call, version))
        self._check_exclusions(query, found.survey)
        await self._find_constraints(config, found)
        if self._scheduling.enabled:
            excluded = found.survey.excluded_ids()
            found.reply = await self._scheduling.explain(call, version, excluded)
        found.constraints["queue"] = self._queue(found)
        candidates = self._candidates(found)
        return {
            "vm": self._settings.vm,
            "failure_domain": self._settings.failure_domain,
            "route": _route_document(call, version),
            "decision": self._decision(found, candidates),
            "constraints": found.constraints,
            "candidates": candidates,
            "knowledge": self._knowledge(config, found),
        }

    # The request

    def _call(self, config: RoutingConfig, query: Query) -> Call:
        route = config.find_route(query.host, query.path.partition("?")[0])
        if route is None:
            raise RouteNotFound(
                f"--host, --path: no route matches {query.host!r} and {query.path!r}"
            )
        service = self._service(config, route, query)
        now_s = boottime_s()
        program = None
        if query.program:
            # With a budget, a turn without a previous one begins its program.
            program = ProgramMetadata(query.program, "", None, 0)
        time_ms = min(route.timeout_ms, query.deadline_ms or route.timeout_ms)
        metadata = RequestMetadata(
            request_id="",
            key="",
            deadline_ms=query.deadline_ms or None,
            program=program,
            prompt_tokens=query.prompt_tokens,
            max_output_tokens=query.max_output_tokens,
            prompt_parts=(),
            last_event_id="",
            forwarded=CIMultiDict(),
            previous_turn_id=query.previous_turn,
            affinity_key=query.affinity_key,
        )
        return Call(
            metadata=metadata,
            route=route,
            service=service,
            workspace=_workspace(config, route, query),
            method=hdrs.METH_POST,
            raw_path=query.path,
            body=b"",
            # The body is not known; no request has this fingerprint.
            fingerprints=("",),
            started_s=now_s,
            deadline_s=now_s + time_ms / 1000 - RESPONSE_MARGIN_S,
            last_event_id="",
            tried_upstreams=list(query.exclude),
        )

    @staticmethod
    def _service(config: RoutingConfig, route: Route, query: Query) -> Service:
        names = [target.service for target in route.targets]
        if query.service and query.service not in names:
            raise BadRequest(f"--service: the route's services are {names}")
        largest = max(route.targets, key=lambda target: target.weight)
        name = query.service or largest.service
        service = config.services.get(name)
        if service is None:
            raise BadRequest(f"--service: {name!r} is not in the configuration")
        return service

    def _version(self, call: Call) -> str | None:
        """Returns the software version that a stream needs, as far as it is known."""
        if call.metadata.program is None or not is_resumable(call.route.kind):
            return None
        splits = self._version_splits
        return splits.known_version(call.service.name, call.version_key)

    @staticmethod
    def _check_exclusions(query: Query, survey: Survey) -> None:
        listed = {upstream.id for upstream in survey.verdicts}
        unknown = sorted(set(query.exclude) - listed)
        if unknown:
            raise BadRequest(f"--exclude: {unknown} are no upstreams of the service")

    # What constrains it

    async def _find_constraints(self, config: RoutingConfig, found: _Findings) -> None:
        """Adds the constraints in the order in which a request meets them."""
        call, handler = found.call, self._request_handler
        if self._config_watcher.config_age_s() >= handler.max_config_age_s():
            found.refuse("503 not_fresh: the configuration is too old")
        if exceeds_engine_memory(call):
            found.refuse("503 upstream_unavailable: it exceeds an engine's memory")
        if found.survey.is_evacuated():
            found.refuse("503 upstream_unavailable: all upstreams are evacuated")
        limits = {
            upstream.id: limit_per_s
            for upstream in found.survey.verdicts
            if (limit_per_s := self._upstream_limits.limit_per_s(upstream)) is not None
        }
        found.constraints = {
            "draining": handler.draining,
            "rate": await self._rate(config, found),
            "history": await self._history(found),
            "evacuated": sorted(self._config_watcher.evacuated),
            # Requests are known by their bodies, which an explanation does not get.
            "quarantine": {"checked": False, "size": self._quarantine.size()},
            "upstream_limits_per_s": limits,
        }

    async def _rate(
        self, config: RoutingConfig, found: _Findings
    ) -> dict[str, Any] | None:
        call, limiter = found.call, self._rate_limiter
        workspace = call.workspace
        if workspace is None or not workspace.rate_per_s:
            return None
        starts = bool(call.metadata.startable_program_id())
        urgent = call.route.priority == config.most_urgent_priority()
        status = await limiter.bucket_status(workspace, starts, urgent)
        held = limiter.held_tokens(workspace)
        wait_s = None if status is None else status.wait_s
        if held and not starts:
            wait_s = 0.0
        allowed_s = call.time_left_s() * rate_wait_share(call.route.kind)
        if wait_s is not None and wait_s > allowed_s:
            found.refuse("429 rate_exceeded: the wait for the rate is too long")
        return {
            "limit_per_s": workspace.rate_per_s,
            "burst": workspace.burst,
            "held_here": held,
            "level": None if status is None else round(status.level, 1),
            "level_age_ms": None if status is None else _ms(status.age_s),
            "waiting": None if status is None else status.waiting,
            "wait_ms": None if wait_s is None else _ms(wait_s),
            "coordinator": limiter.coordinator(workspace),
        }

    async def _history(self, found: _Findings) -> str:
        call = found.call
        if not call.route.keeps_history:
            return "not kept"
        turn_id = call.metadata.previous_turn_id
        if not turn_id:
            return "no previous turn"
        workspace = call.workspace.name if call.workspace else ""
        place = await self._history_coordinator.locate(workspace, turn_id)
        if place is TurnPlace.UNKNOWN:
            found.refuse("404 turn_not_found: the store has no such previous turn")
        return place

    def _queue(self, found: _Findings) -> dict[str, Any] | None:
        schedule = found.schedule
        if schedule is None:
            return None
        if schedule.decision == Decision.REJECT:
            found.refuse(f"503 upstream_unavailable: scheduler: {schedule.reason}")
        return {
            "waiting": schedule.waiting,
            "ahead": schedule.ahead,
            "wait_ms": schedule.expected_wait_us / 1000,
            "longest_wait_ms": schedule.allowed_wait_ms,
        }

    # The upstreams

    def _candidates(self, found: _Findings) -> list[dict[str, Any]]:
        """Returns what is known of each upstream, the chosen one first."""
        if found.schedule is not None:
            candidates = self._scheduled_candidates(found, found.schedule)
        else:
            candidates = self._local_candidates(found)
        if found.refusal:
            for candidate in candidates:
                if candidate["verdict"] == "chosen":
                    candidate.update(verdict="possible", reason=REFUSED)
        return sorted(candidates, key=_order)

    def _local_candidates(self, found: _Findings) -> list[dict[str, Any]]:
        chosen = self._local_choice(found)
        vms = len(self._membership.live_vms())
        candidates = []
        for upstream, verdict in found.survey.verdicts.items():
            state = self._placement.known_state(upstream)
            text, reason = _local_verdict(verdict)
            if upstream is chosen:
                text, reason = "chosen", ""
            candidates.append(
                {
                    **_upstream_document(upstream, text, reason),
                    "in_flight": state.outstanding,
                    "window": in_flight_limit(upstream, found.call.service, vms),
                    "slowness": None,
                    "predicted_ms": None,
                }
            )
        return candidates

    def _local_choice(self, found: _Findings) -> Upstream | None:
        """
        Returns the upstream that this VM prefers by what it knows itself.

        For a service without engines, a request goes to the less loaded of two random
        ones; the least loaded one of all is the likeliest.
        """
        eligible, call = found.survey.eligible(), found.call
        if not eligible:
            return None
        if call.service.engine is not None and call.metadata.program is not None:
            return self._placement.choose(eligible, call.service, call.metadata)

        def load(upstream: Upstream) -> tuple[float, str]:
            outstanding = self._placement.known_state(upstream).outstanding
            return outstanding / max(1, upstream.slots), upstream.id

        return min(eligible, key=load)

    def _scheduled_candidates(
        self, found: _Findings, schedule: PlaceExplained
    ) -> list[dict[str, Any]]:
        """Joins what the scheduler knows with what this VM excludes."""
        verdicts = {
            upstream.id: (upstream, verdict)
            for upstream, verdict in found.survey.verdicts.items()
        }
        candidates = []
        for index, name in enumerate(schedule.upstreams):
            upstream, verdict = verdicts.pop(name, (None, Excluded(Reason.GONE)))
            text, reason = _scheduled_verdict(schedule, index, verdict)
            candidates.append(
                {
                    **_upstream_document(upstream, text, reason, name),
                    "in_flight": schedule.in_flight[index],
                    "window": schedule.windows[index],
                    "slowness": schedule.slowness_permille[index] / 1000,
                    "predicted_ms": _prediction(schedule, index),
                }
            )
        for upstream, verdict in verdicts.values():
            text, reason = _local_verdict(verdict)
            if not isinstance(verdict, Excluded):
                text, reason = "not known", "the scheduler does not list it"
            candidates.append(
                {
                    **_upstream_document(upstream, text, reason),
                    "in_flight": None,
                    "window": None,
                    "slowness": None,
                    "predicted_ms": None,
                }
            )
        return candidates

    # The result

    def _decision(
        self, found: _Findings, candidates: list[dict[str, Any]]
    ) -> dict[str, Any]:
        schedule, reply = found.schedule, found.reply
        chosen = candidates[0]["upstream"] if _has_choice(candidates) else None
        decided_by = reply.vm if reply is not None and schedule is not None else "local"
        outcome, reason = "send", ""
        if found.refusal:
            outcome, reason, chosen = "refuse", found.refusal, None
        elif schedule is not None and schedule.decision == Decision.WAIT:
            outcome, reason = "wait", "it waits in the queue of the scheduler"
        elif chosen is None:
            possible = found.survey.candidates()
            outcome = "wait" if possible else "refuse"
            reason = "no upstream can take it now"
            if not possible:
                reason = f"503 upstream_unavailable: {found.survey}"
        return {
            "outcome": outcome,
            "upstream": chosen,
            "reason": reason,
            "by": decided_by,
        }

    def _knowledge(self, config: RoutingConfig, found: _Findings) -> dict[str, Any]:
        """Returns how old or how sure what the explanation rests on is."""
        reply, schedule = found.reply, found.schedule
        scheduler: dict[str, Any] | None = None
        if reply is not None:
            interval_s = self._scheduling.local_interval_s(found.call.service)
            scheduler = {
                "vm": reply.vm or None,
                "generation": schedule.generation if schedule is not None else None,
                "rank": reply.message.rank if reply.message is not None else None,
                "errors": reply.errors,
                # Only without a scheduler: the interval of requests to one upstream.
                "local_interval_ms": None if schedule else _ms(interval_s),
            }
        return {
            "config_version": config.version,
            "config_age_ms": _ms(self._config_watcher.config_age_s()),
            "config_max_age_ms": _ms(self._request_handler.max_config_age_s()),
            "upstreams_age_ms": _ms(self._config_watcher.upstreams_age_s()),
            "scheduler": scheduler,
        }


def _workspace(config: RoutingConfig, route: Route, query: Query) -> Workspace | None:
    if route.public:
        # Such requests carry no key, so no workspace is known.
        return None
    if not query.workspace:
        raise BadRequest(f"--workspace: route {_route_name(route)!r} needs one")
    workspace = config.workspaces.get(query.workspace)
    if workspace is None:
        raise BadRequest("--workspace: no workspace of this name is configured")
    return workspace


def _route_name(route: Route) -> str:
    """Returns the name of a route, or what it matches if it has none."""
    return route.name or f"{route.host}{route.prefix}"


def _route_document(call: Call, version: str | None) -> dict[str, Any]:
    return {
        "name": _route_name(call.route),
        "kind": type(call.route.kind).__name__,
        "service": call.service.name,
        "services": {target.service: target.weight for target in call.route.targets},
        "time_left_ms": _ms(call.time_left_s() + RESPONSE_MARGIN_S),
        "software_version": version,
    }


def _upstream_document(
    upstream: Upstream | None, verdict: str, reason: str, name: str = ""
) -> dict[str, Any]:
    return {
        "upstream": upstream.id if upstream is not None else name,
        "failure_domain": upstream.failure_domain if upstream is not None else None,
        "verdict": verdict,
        "reason": reason,
    }


def _local_verdict(verdict: Verdict) -> tuple[str, str]:
    """Returns the verdict of this VM, and why the upstream was not chosen."""
    match verdict:
        case Eligible(healthy=True):
            return "possible", NOT_PREFERRED
        case Eligible():
            return "possible", "it failed lately"
        case Busy(reason=reason):
            return f"busy: {reason}", REASONS[reason]
        case Excluded(reason):
            return f"excluded: {reason}", REASONS[reason]


def _scheduled_verdict(
    schedule: PlaceExplained, index: int, verdict: Verdict
) -> tuple[str, str]:
    """Returns the verdict of the scheduler, or of this VM if it excludes more."""
    match verdict:
        case Excluded() | Busy(reason=Reason.LIMITED):
            return _local_verdict(verdict)
        case Eligible() | Busy():
            pass
    obstacle = schedule.obstacles[index]
    if schedule.upstreams[index] == schedule.chosen:
        if schedule.decision == Decision.GRANT:
            return "chosen", ""
        rejected = schedule.decision == Decision.REJECT
        return "possible", REFUSED if rejected else WAITS
    if obstacle:
        return f"busy: {obstacle}", OBSTACLES.get(obstacle, obstacle)
    return "possible", SLOWER


def _prediction(schedule: PlaceExplained, index: int) -> Mapping[str, float]:
    times_us = {
        "completion": schedule.completion_us,
        "wait": schedule.wait_us,
        "transit": schedule.transit_us,
        "prefill": schedule.prefill_us,
        "decode": schedule.decode_us,
        "failure": schedule.penalty_us,
    }
    return {name: values[index] / 1000 for name, values in times_us.items()}


def _order(candidate: dict[str, Any]) -> tuple[int, float, str]:
    """Returns the sort key: the chosen upstream first, those that are excluded last."""
    verdict = candidate["verdict"].partition(":")[0]
    rank = {"chosen": 0, "possible": 1, "busy": 2}.get(verdict, 3)
    predicted = candidate["predicted_ms"]
    completion_ms = predicted["completion"] if predicted else 0.0
    return rank, completion_ms, candidate["upstream"]


def _has_choice(candidates: list[dict[str, Any]]) -> bool:
    return bool(candidates) and candidates[0]["verdict"] == "chosen"
