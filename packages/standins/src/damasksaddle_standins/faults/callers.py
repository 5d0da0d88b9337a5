"""Callers that run programs over persistent connections and retry refused requests."""

import asyncio
import itertools
import random
from dataclasses import dataclass, field
from http import HTTPStatus

import aiohttp

from damasksaddle.utils import boottime_s
from damasksaddle_standins.faults.fleet import DIRECTORY_PORT, Fleet, Vm
from damasksaddle_standins.faults.invariants import (
    Attempt,
    InvariantChecker,
    ReceivedResponse,
)
from damasksaddle_standins.faults.traffic import (
    BUDGET_TOKENS,
    DEADLINE_MS,
    HISTORY_TURN,
    HOST,
    NON_RESUMABLE_TURN,
    PLAIN_KINDS,
    RESUMABLE_TURN,
    TURN_TOKENS,
    TURNS_IN_BUDGET,
    RequestKind,
)

ADDRESS_CACHE_S = 1.5
MAX_ATTEMPTS = 3
MAX_RETRY_DELAY_S = 0.5
# How long a caller waits for a response after the deadline has passed.
RESPONSE_MARGIN_S = 1.0
# The share of programs that continue after their budget is spent, and by how many
# turns.
OVER_BUDGET_SHARE = 0.1
EXTRA_TURNS = 4
# The share of programs whose turns cannot be resumed.
NON_RESUMABLE_SHARE = 0.2
# The share of programs whose turns name the turn that they continue from; of these, the
# shares that begin at any turn of the workspace, and that at last try one of another
# workspace; and the share of their turns that may branch off at an earlier turn.
CHAIN_SHARE = 0.5
SHARED_START_SHARE = 0.3
BRANCH_SHARE = 0.2
FOREIGN_TURN_SHARE = 0.1
MAX_INPUT_BYTES = 300
DISCONNECT_SHARE = 0.03
# The share of requests that still use a withdrawn key.
WITHDRAWN_KEY_SHARE = 0.1
REFUSAL_STATUSES = (429, 503)
_request_ids = itertools.count(1)


@dataclass(slots=True, eq=False)
class Caller:
    """A caller with its own connections, which runs programs one after another."""

    number: int
    workspace: str
    # The current key of each workspace, and the key that was withdrawn last.
    keys: dict[str, str]
    withdrawn_keys: dict[str, str]
    fleet: Fleet
    checker: InvariantChecker
    rng: random.Random
    exceeds_rate: bool = False
    pause_s: float = 0.05
    started_programs: int = 0
    completed_programs: int = 0
    _resolved_vms: list[Vm] = field(default_factory=list)
    _resolved_until_s: float = 0.0
    _session: aiohttp.ClientSession | None = None

    async def run(self, until_s: float) -> None:
        """Runs programs until `until_s`."""
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=30.0)
        self._session = aiohttp.ClientSession(connector=connector)
        # aiohttp must not resend requests: a repeated request needs a new id.
        self._session._retry_connection = False
        try:
            while boottime_s() < until_s:
                self.started_programs += 1
                self.completed_programs += await self._run_program()
        finally:
            await self._session.close()

    async def _run_program(self) -> bool:
        program_id = f"p{self.number}-{self.started_programs}"
        if self.rng.random() < CHAIN_SHARE:
            return await self._run_chain(program_id)
        kind = (
            NON_RESUMABLE_TURN
            if self.rng.random() < NON_RESUMABLE_SHARE
            else RESUMABLE_TURN
        )
        exceeds_budget = self.rng.random() < OVER_BUDGET_SHARE
        turns = TURNS_IN_BUDGET + EXTRA_TURNS if exceeds_budget else TURNS_IN_BUDGET - 1
        for turn in range(turns):
            if not await self._request(kind, program_id, f"{program_id}-{turn}"):
                return False
            plain_kind = self.rng.choice(PLAIN_KINDS)
            if not await self._request(plain_kind, program_id, f"{program_id}-{turn}"):
                return False
            await asyncio.sleep(self.pause_s)
        return True

    async def _run_chain(self, program_id: str) -> bool:
        """Runs turns that carry only their new input and name a previous turn."""
        recent = self.checker.continuable_turns(self.workspace)
        shares_start = recent and self.rng.random() < SHARED_START_SHARE
        turns = [self.rng.choice(recent) if shares_start else ""]
        for number in range(TURNS_IN_BUDGET - 1):
            branches = self.rng.random() < BRANCH_SHARE
            previous_id = self.rng.choice(turns) if branches else turns[-1]
            turn = await self._request_turn(
                program_id, f"{program_id}-{number}", previous_id
            )
            if turn is None:
                return False
            turns.append(turn.id)
            await asyncio.sleep(self.pause_s)
        foreign = self.checker.continuable_turns(self.workspace, own=False)
        if foreign and self.rng.random() < FOREIGN_TURN_SHARE:
            name = f"{program_id}-foreign"
            await self._request_turn(name, name, self.rng.choice(foreign))
        return True

    async def _request_turn(
        self, program_id: str, request_name: str, previous_id: str
    ) -> Attempt | None:
        new_input = self.rng.randbytes(self.rng.randrange(MAX_INPUT_BYTES))
        return await self._request(
            HISTORY_TURN, program_id, request_name, new_input, previous_id
        )

    async def _request(
        self,
        kind: RequestKind,
        program_id: str,
        request_name: str,
        new_input: bytes = b"",
        previous_id: str = "",
    ) -> Attempt | None:
        """Sends a request, with retries; returns the attempt that succeeded."""
        received, stream_id = b"", ""
        for _ in range(MAX_ATTEMPTS):
            vm = await self._choose_vm()
            first_event = received.count(b"\n\n") if kind.resumable else 0
            attempt = self._new_attempt(kind, vm, program_id, request_name, first_event)
            attempt.new_input, attempt.previous_id = new_input, previous_id
            attempt.stream_id = stream_id if first_event else ""
            response, retry_delay_s = await self._send_attempt(vm, attempt)
            self.checker.check_response(attempt, response)
            if response.complete and response.status == HTTPStatus.OK:
                return attempt
            if response.status == HTTPStatus.OK:
                received += response.body
                stream_id = stream_id or attempt.id
            elif response.complete and response.status not in (
                *REFUSAL_STATUSES,
                502,
                504,
            ):
                return None
            if not self._may_retry(kind, response):
                return None
            await asyncio.sleep(retry_delay_s)
        return None

    @staticmethod
    def _may_retry(kind: RequestKind, response: ReceivedResponse) -> bool:
        if response.complete and response.status in REFUSAL_STATUSES:
            return True
        return kind.may_rerun()

    def _new_attempt(
        self,
        kind: RequestKind,
        vm: Vm,
        program_id: str,
        request_name: str,
        first_event: int,
    ) -> Attempt:
        request_id = f"{next(_request_ids):016x}"
        attempt = Attempt(
            request_id,
            kind,
            f"{kind.prefix}{request_name}",
            self.workspace,
            self._choose_key(),
            vm.name,
            boottime_s(),
            program_id,
            first_event,
            must_succeed=not self.exceeds_rate,
        )
        self.checker.attempts[request_id] = attempt
        return attempt

    def _choose_key(self) -> str:
        withdrawn_key = self.withdrawn_keys.get(self.workspace)
        if withdrawn_key and self.rng.random() < WITHDRAWN_KEY_SHARE:
            return withdrawn_key
        return self.keys[self.workspace]

    def _headers(self, attempt: Attempt) -> dict[str, str]:
        headers = {
            "Host": HOST,
            "Authorization": f"Token {attempt.key}",
            "X-Request-Id": attempt.id,
            "X-Tenant": "forged",
            "X-Deadline-Ms": str(DEADLINE_MS),
            "X-Program-Id": attempt.program_id,
            "X-Session-Id": attempt.program_id,
        }
        if attempt.kind.is_stream():
            headers["X-Token-Count"] = f"10,{TURN_TOKENS}"
            headers["X-Token-Budget"] = str(BUDGET_TOKENS)
        if attempt.first_event:
            headers["Last-Event-Id"] = str(attempt.first_event - 1)
            if attempt.kind.keeps_history:
                headers["Resumes"] = attempt.stream_id
        if attempt.previous_id:
            headers["X-Previous-Turn"] = attempt.previous_id
        return headers

    async def _send_attempt(
        self, vm: Vm, attempt: Attempt
    ) -> tuple[ReceivedResponse, float]:
        """Returns the response and the delay before a retry."""
        assert self._session is not None
        host, port = vm.caller_proxy.address
        disconnects = self.rng.random() < DISCONNECT_SHARE
        timeout_s = 0.05 if disconnects else DEADLINE_MS / 1000 + RESPONSE_MARGIN_S
        status, body, retry_delay_s = 0, b"", self.rng.uniform(0.1, 0.4)
        try:
            async with (
                asyncio.timeout(timeout_s),
                self._session.request(
                    "GET" if attempt.kind.route_type == "idempotent" else "POST",
                    f"http://{host}:{port}{attempt.path}",
                    headers=self._headers(attempt),
                    data=attempt.new_input or None,
                ) as response,
            ):
                status = response.status
                retry_delay_s = float(
                    response.headers.get("Retry-After", retry_delay_s)
                )
                async for chunk in response.content.iter_any():
                    body += chunk
            return ReceivedResponse(status, body, True), min(
                retry_delay_s, MAX_RETRY_DELAY_S
            )
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            if disconnects and isinstance(error, TimeoutError):
                # The outcome is unknown, because the caller disconnected early.
                attempt.must_succeed = False
            self._resolved_until_s = 0.0
            return ReceivedResponse(status, body, False), retry_delay_s

    async def _choose_vm(self) -> Vm:
        """Returns a random VM from the addresses that the directory lists."""
        while boottime_s() >= self._resolved_until_s:
            for vm in self.rng.sample(self.fleet.vms, len(self.fleet.vms)):
                if await self._resolve(vm):
                    break
            else:
                await asyncio.sleep(MAX_RETRY_DELAY_S)
        return self.rng.choice(self._resolved_vms)

    async def _resolve(self, vm: Vm) -> bool:
        assert self._session is not None
        url = f"http://{vm.host}:{DIRECTORY_PORT}/resolve?Name={HOST}&Zone=a"
        try:
            async with asyncio.timeout(1.0), self._session.get(url) as response:
                if response.status != HTTPStatus.OK:
                    return False
                addresses = (await response.json())["Addresses"]
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False
        hosts = {address.rpartition(":")[0] for address in addresses}
        self._resolved_vms = [
            candidate for candidate in self.fleet.vms if candidate.host in hosts
        ]
        self._resolved_until_s = boottime_s() + ADDRESS_CACHE_S
        return bool(self._resolved_vms)
