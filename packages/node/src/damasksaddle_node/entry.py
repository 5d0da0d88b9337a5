"""
Call handling on the entry VM, independent of HTTP.

The entry VM checks that its copy of the fleet log is fresh, authenticates the key,
looks up the route, and forwards the call to the owner of its program. A call keeps
its id through all attempts, so that a new owner recognises a call that an earlier
owner ran or was about to run.
"""

import asyncio
from collections.abc import AsyncGenerator
from contextlib import aclosing
from dataclasses import dataclass

from damasksaddle.config import OPEN_WORKSPACE, Route, RouteKind
from damasksaddle.exceptions import (
    BadRequest,
    KeyRejected,
    LeaseLapsed,
    NotFresh,
    NotOwner,
    NotRun,
    OutcomeUnknown,
    OwnerUnreachable,
    PeerError,
    PeerUnreachable,
    Refusal,
    RouteForbidden,
    RouteNotFound,
    Stopping,
)
from damasksaddle.keys import parse_key, secret_matches
from damasksaddle.utils import (
    Counter,
    count,
    digest_of,
    get_logger,
    new_id,
    partition_of,
)
from damasksaddle_node.fleet.lease import Freshness
from damasksaddle_node.fleet.log import FleetLog
from damasksaddle_node.fleet.state import WorkspaceKey
from damasksaddle_node.peers import PeerPool
from damasksaddle_node.settings import Timing
from damasksaddle_protocol import (
    CallChunk,
    CallEnd,
    CallRequest,
    ProgramAnswer,
    ProgramQuery,
)

log = get_logger("entry")

RETRY_INTERVAL_S = 0.2
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A call as parsed from the caller's HTTP request."""

    key: str
    service: str
    route: str
    body: bytes
    content_type: str = "application/json"
    program_id: str = ""
    idempotency_key: str = ""
    budget_micros: int = -1
    timeout_ms: int = 0
    stream: bool = False
    sealed: str = ""
    history_mode: str = "append"
    call_id: str = ""


@dataclass(slots=True)
class _AttemptState:
    """Whether an earlier attempt of a call may have reached an owner."""

    maybe_sent: bool = False


class Entry:
    """Authenticates callers' requests and forwards them to the owners of programs."""

    def __init__(
        self, fleet: FleetLog, freshness: Freshness, peers: PeerPool, timing: Timing
    ) -> None:
        self.open_calls = 0
        self._fleet = fleet
        self._freshness = freshness
        self._peers = peers
        self._timing = timing

    def authenticate(self, key_text: str) -> WorkspaceKey:
        """Returns the key that a caller presented; raises `KeyRejected` if invalid."""
        self._freshness.check()
        parts = parse_key(key_text)
        if parts is None:
            raise KeyRejected
        key = self._fleet.state.keys.get(parts[0])
        if key is None or not secret_matches(parts[1], key.digest):
            raise KeyRejected
        if key.withdrawn_at_unix_s is not None:
            raise KeyRejected("the key was withdrawn")
        return key

    def route(self, service: str, name: str) -> tuple[Route, RouteKind]:
        """Returns a route and its kind; raises `RouteNotFound` if there is none."""
        self._freshness.check()
        document = self._fleet.state.document(service)
        route = document.routes.get(name) if document else None
        if document is None or route is None:
            raise RouteNotFound(f"there is no route {service}/{name}")
        return route, document.pools[route.pool].kind

    async def call(
        self, request: CallerRequest
    ) -> AsyncGenerator[CallChunk | CallEnd, None]:
        """Yields the answer to a call; raises `Refusal` if the call is refused."""
        route, _ = self.route(request.service, request.route)
        call = self._build_call_request(request, route)
        self.open_calls += 1
        count(Counter.REQUESTS)
        try:
            async with aclosing(self._forward(call)) as answers:
                async for answer in answers:
                    yield answer
        finally:
            self.open_calls -= 1

    def _build_call_request(self, request: CallerRequest, route: Route) -> CallRequest:
        workspace, key_id = OPEN_WORKSPACE, ""
        if not route.open:
            key = self.authenticate(request.key)
            workspace, key_id = key.workspace, key.key_id
            if route.workspaces is not None and workspace not in route.workspaces:
                raise RouteForbidden
        program_id = request.program_id
        if program_id:
            check_program_id(program_id)
        elif request.idempotency_key:
            # Retries of a call without a program id must reach the same program, where
            # the idempotency key is recognised.
            program_id = single_call_program_id(
                request.service, request.route, request.idempotency_key
            )
        else:
            program_id = new_id("single")
        return CallRequest(
            call_id=request.call_id or new_id("call"),
            workspace=workspace,
            key_id=key_id,
            service=request.service,
            route=request.route,
            program_id=program_id,
            body=request.body,
            idempotency_key=request.idempotency_key,
            budget_micros=request.budget_micros,
            stream=request.stream,
            end_program=not request.program_id,
            sealed=request.sealed,
            content_type=request.content_type,
            entry_vm=self._peers.vm_id,
            history_mode=request.history_mode,
            timeout_ms=request.timeout_ms,
        )

    async def _forward(
        self, call: CallRequest
    ) -> AsyncGenerator[CallChunk | CallEnd, None]:
        # A refusal describes only the last attempt. If an earlier attempt may have
        # reached an owner, the call is no longer known not to have run.
        attempts = _AttemptState()
        try:
            async with aclosing(self._forward_with_retries(call, attempts)) as answers:
                async for answer in answers:
                    yield answer
        except Refusal as error:
            if attempts.maybe_sent and error.not_run is NotRun.YES:
                error.not_run = NotRun.UNKNOWN
            error.call_id, error.program_id = call.call_id, call.program_id
            raise

    async def _forward_with_retries(
        self, call: CallRequest, attempts: "_AttemptState"
    ) -> AsyncGenerator[CallChunk | CallEnd, None]:
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + self._timing.failover_timeout_s
        while True:
            answer_started = False
            try:
                owner = self._owner_of(call.workspace, call.program_id)
                async with aclosing(self._peers.stream(owner, call)) as answers:
                    async for answer in answers:
                        answer_started = True
                        yield answer  # type: ignore[misc]
                return
            except (NotOwner, LeaseLapsed, NotFresh, Stopping) as error:
                attempts.maybe_sent |= error.not_run is not NotRun.YES
                failure: Exception = error
            except PeerUnreachable as error:
                attempts.maybe_sent |= error.sent
                failure = error
            except PeerError as error:
                attempts.maybe_sent = True
                failure = error
            if answer_started:
                raise OutcomeUnknown("a VM failed before the answer was complete")
            if loop.time() + RETRY_INTERVAL_S >= deadline_s:
                raise OwnerUnreachable(str(failure), retry_after_s=1.0)
            self._freshness.check()
            await asyncio.sleep(RETRY_INTERVAL_S)

    def _owner_of(self, workspace: str, program_id: str) -> str:
        owner = self._fleet.state.owners.partition(partition_of(workspace, program_id))
        if owner is None:
            raise NotOwner("the fleet has no members")
        return owner

    async def start_program(
        self, key: str, program_id: str, service: str, budget_micros: int
    ) -> bytes:
        """
        Starts a program and returns it as JSON.

        A budget of -1 means the budget that the service document sets. Without a
        service, the program uses the document that declares the workspace.
        """
        workspace = self.authenticate(key).workspace
        check_program_id(program_id)
        state = self._fleet.state
        if not service:
            declaring_services = (
                name
                for name, version in state.documents.items()
                if workspace in version.document.workspaces
            )
            service = next(declaring_services, "")
        if state.document(service) is None:
            raise RouteNotFound(f"there is no service {service}")
        owner = self._owner_of(workspace, program_id)
        message = ProgramQuery(workspace, program_id, "start", service, budget_micros)
        return await self._query(owner, message)

    async def query(self, key: str, program_id: str, action: str) -> bytes:
        """Sends a query to the owner of a program and returns its JSON response."""
        workspace = self.authenticate(key).workspace
        check_program_id(program_id)
        return await self.query_as_operator(workspace, program_id, action)

    async def query_as_operator(
        self, workspace: str, program_id: str, action: str
    ) -> bytes:
        """Sends a query about a program of any workspace to its owner."""
        owner = self._owner_of(workspace, program_id)
        message = ProgramQuery(workspace, program_id, action)
        return await self._query(owner, message)

    async def list_programs(self, workspace: str) -> list[bytes]:
        """Returns the JSON lists of programs of all VMs that can be reached."""
        message = ProgramQuery(workspace, "", "list")
        members = list(self._fleet.state.members)
        answers = await asyncio.gather(
            *(self._query(vm_id, message) for vm_id in members),
            return_exceptions=True,
        )
        return [answer for answer in answers if isinstance(answer, bytes)]

    async def _query(self, vm_id: str, message: ProgramQuery) -> bytes:
        try:
            answer = await self._peers.request(
                vm_id, message, self._timing.peer_timeout_s
            )
        except PeerError as error:
            raise OwnerUnreachable(str(error), retry_after_s=1.0) from error
        assert isinstance(answer, ProgramAnswer)
        return answer.body


MAX_PROGRAM_ID_LENGTH = 128


def single_call_program_id(service: str, route: str, idempotency_key: str) -> str:
    """
    Returns the program id for a call that has an idempotency key but no program.

    The id is derived from the route and the key, so that retries of the call reach
    the same program.
    """
    name = f"{service}\0{route}\0{idempotency_key}"
    return f"single-{digest_of(name.encode())[:32]}"


def check_program_id(program_id: str) -> None:
    """Raises `BadRequest` unless the program id has the form `ROOT[/NAME]...`."""
    segments = program_id.split("/")
    valid = len(program_id) <= MAX_PROGRAM_ID_LENGTH and all(
        segment.strip(".")
        and all(c.isascii() and (c.isalnum() or c in "-_.") for c in segment)
        for segment in segments
    )
    if not valid:
        raise BadRequest(
            "a program id has letters, digits, '-', '_' and '.' in parts that are "
            f"separated by '/', and at most {MAX_PROGRAM_ID_LENGTH} characters"
        )
