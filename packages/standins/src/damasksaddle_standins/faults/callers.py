"""Callers that run programs, keep their connections and come back after a refusal."""

import asyncio
import itertools
import random
from dataclasses import dataclass, field
from http import HTTPStatus

import aiohttp

from damasksaddle.utils import boottime_s
from damasksaddle_standins.faults.fleet import DIRECTORY_PORT, Fleet, Vm
from damasksaddle_standins.faults.promises import Answered, Promises, Sent
from damasksaddle_standins.faults.traffic import (
    BUDGET_TOKENS,
    CALLS,
    DEADLINE_MS,
    HOST,
    TALK,
    TURN,
    TURN_TOKENS,
    TURNS,
    Kind,
)

ADDRESSES_KEPT_S = 1.5
TRIES = 3
LONGEST_PAUSE_S = 0.5
# Beyond the deadline, a caller waits so long for an answer.
PATIENCE_S = 1.0
# Programs that go on for so many turns beyond their budget.
ENDLESS_SHARE = 0.1
ENDLESS_TURNS = 4
# The share of programs whose turns may not be resumed.
TALK_SHARE = 0.2
LEAVE_SHARE = 0.03
# The share of requests that go on with a withdrawn key.
OLD_KEY_SHARE = 0.1
HTTP_REFUSED = (429, 503)
_ids = itertools.count(1)


@dataclass(slots=True, eq=False)
class Caller:
    """One caller with its connections; it runs one program after another."""

    number: int
    workspace: str
    # The key of each workspace, and one that was withdrawn lately.
    keys: dict[str, str]
    withdrawn: dict[str, str]
    fleet: Fleet
    promises: Promises
    random: random.Random
    beyond_rate: bool = False
    pause_s: float = 0.05
    programs: int = 0
    whole: int = 0
    _listed: list[Vm] = field(default_factory=list)
    _listed_until_s: float = 0.0
    _session: aiohttp.ClientSession | None = None

    async def run(self, until_s: float) -> None:
        """Runs programs until a time."""
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=30.0)
        self._session = aiohttp.ClientSession(connector=connector)
        # Callers that send a request again give it a new id.
        self._session._retry_connection = False
        try:
            while boottime_s() < until_s:
                self.programs += 1
                self.whole += await self._program()
        finally:
            await self._session.close()

    async def _program(self) -> bool:
        program = f"p{self.number}-{self.programs}"
        kind = TALK if self.random.random() < TALK_SHARE else TURN
        endless = self.random.random() < ENDLESS_SHARE
        turns = TURNS + ENDLESS_TURNS if endless else TURNS - 1
        for turn in range(turns):
            if not await self._ask(kind, program, f"{program}-{turn}"):
                return False
            call = self.random.choice(CALLS)
            if not await self._ask(call, program, f"{program}-{turn}"):
                return False
            await asyncio.sleep(self.pause_s)
        return True

    async def _ask(self, kind: Kind, program: str, name: str) -> bool:
        """Sends one request until it is served; False if it failed."""
        answered = b""
        for _ in range(TRIES):
            vm = await self._choose()
            first = answered.count(b"\n\n") if kind.resumable else 0
            sent = self._sent(kind, vm, program, name, first)
            answer, retry_s = await self._send(vm, sent)
            self.promises.on_answer(sent, answer)
            if answer.complete and answer.status == HTTPStatus.OK:
                return True
            if answer.status == HTTPStatus.OK:
                answered += answer.body
            elif answer.complete and answer.status not in (*HTTP_REFUSED, 502, 504):
                return False
            if not self._may_repeat(kind, answer):
                return False
            await asyncio.sleep(retry_s)
        return False

    @staticmethod
    def _may_repeat(kind: Kind, answer: Answered) -> bool:
        if answer.complete and answer.status in HTTP_REFUSED:
            return True
        return kind.may_run_again()

    def _sent(
        self, kind: Kind, vm: Vm, program: str, name: str, first_event: int
    ) -> Sent:
        request_id = f"{next(_ids):016x}"
        sent = Sent(
            request_id,
            kind,
            f"{kind.prefix}{name}",
            self.workspace,
            self._key(),
            vm.name,
            boottime_s(),
            program,
            first_event,
            judged=not self.beyond_rate,
        )
        self.promises.sent[request_id] = sent
        return sent

    def _key(self) -> str:
        withdrawn = self.withdrawn.get(self.workspace)
        if withdrawn and self.random.random() < OLD_KEY_SHARE:
            return withdrawn
        return self.keys[self.workspace]

    def _headers(self, sent: Sent) -> dict[str, str]:
        headers = {
            "Host": HOST,
            "Authorization": f"Token {sent.key}",
            "X-Request-Id": sent.id,
            "X-Tenant": "forged",
            "X-Deadline-Ms": str(DEADLINE_MS),
            "X-Program-Id": sent.program,
            "X-Session-Id": sent.program,
        }
        if sent.kind.is_stream():
            headers["X-Token-Count"] = f"10,{TURN_TOKENS}"
            headers["X-Token-Budget"] = str(BUDGET_TOKENS)
        if sent.first_event:
            headers["Last-Event-Id"] = str(sent.first_event - 1)
        return headers

    async def _send(self, vm: Vm, sent: Sent) -> tuple[Answered, float]:
        """Returns the answer and how long to wait before coming back."""
        assert self._session is not None
        host, port = vm.caller_link.address
        leaves = self.random.random() < LEAVE_SHARE
        patience_s = 0.05 if leaves else DEADLINE_MS / 1000 + PATIENCE_S
        status, body, retry_s = 0, b"", self.random.uniform(0.1, 0.4)
        try:
            async with (
                asyncio.timeout(patience_s),
                self._session.request(
                    "GET" if sent.kind.route_type == "idempotent" else "POST",
                    f"http://{host}:{port}{sent.path}",
                    headers=self._headers(sent),
                ) as answer,
            ):
                status = answer.status
                retry_s = float(answer.headers.get("Retry-After", retry_s))
                async for chunk in answer.content.iter_any():
                    body += chunk
            return Answered(status, body, True), min(retry_s, LONGEST_PAUSE_S)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            if leaves and isinstance(error, TimeoutError):
                # Whoever leaves early cannot tell how the request would have ended.
                sent.judged = False
            self._listed_until_s = 0.0
            return Answered(status, body, False), retry_s

    async def _choose(self) -> Vm:
        """Returns a VM of those that the directory names."""
        while boottime_s() >= self._listed_until_s:
            for vm in self.random.sample(self.fleet.vms, len(self.fleet.vms)):
                if await self._resolve(vm):
                    break
            else:
                await asyncio.sleep(LONGEST_PAUSE_S)
        return self.random.choice(self._listed)

    async def _resolve(self, vm: Vm) -> bool:
        assert self._session is not None
        url = f"http://{vm.host}:{DIRECTORY_PORT}/resolve?Name={HOST}&Zone=a"
        try:
            async with asyncio.timeout(1.0), self._session.get(url) as answer:
                if answer.status != HTTPStatus.OK:
                    return False
                addresses = (await answer.json())["Addresses"]
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False
        hosts = {address.rpartition(":")[0] for address in addresses}
        self._listed = [found for found in self.fleet.vms if found.host in hosts]
        self._listed_until_s = boottime_s() + ADDRESSES_KEPT_S
        return bool(self._listed)
