"""
Stops requests that crash the upstreams which run them.

A VM whose request was unanswered when its upstream crashed reports it to the request's
coordinator and to the VM that would take its place. After some crashes, either of them
asks all VMs whether an upstream has completed the request lately. If not, it
quarantines the request, announces that to all VMs and has it stored, so that it is
known after the loss of all VMs too. A crash costs two messages per request that ran
there, and a request that is in order none.
"""

import asyncio
import math
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from typing import Any

from damasksaddle.exceptions import NotFresh, PeerError, Refusal, RequestQuarantined
from damasksaddle.utils import Counter, boottime_s, count, get_logger
from damasksaddle_gateway.announcements import Announcements, MessageFactory
from damasksaddle_gateway.coordinators import Coordinators
from damasksaddle_gateway.crash_counts import MAX_CRASHES, CrashCounts
from damasksaddle_gateway.peers import Peers
from damasksaddle_gateway.quarantine_rows import QuarantineRows
from damasksaddle_gateway.routing_config import Upstream
from damasksaddle_gateway.unanswered import UnansweredRequests
from damasksaddle_node.peers import Handlers, Sender
from damasksaddle_protocol import (
    AnnounceQuarantine,
    CompletionFound,
    FindCompletion,
    Message,
    Ok,
    ReportCrash,
)

log = get_logger("quarantine")

# After this time a request is tried once more, because its upstreams may have been
# repaired, or another request may have caused the crashes. It doubles with each further
# crash; a request that crashed upstreams in so many of these tries gets none for long.
INITIAL_QUARANTINE_S = 60.0
MAX_TRIES_AFTER = 3
FINAL_QUARANTINE_S = 86_400.0
# A coordinator and the VM that would take its place count independently.
REPORT_COPIES = 2
# VMs that are tried for these copies.
MAX_REPORT_TRIES = 4
PEER_TIMEOUT_S = 0.3
# Time in which other VMs may say that they completed a request, and how many are asked
# at once.
COMPLETION_TIMEOUT_S = 1.0
MAX_ASKED_AT_ONCE = 16
# A request that an upstream completed within this time is not the cause of a crash. One
# that was completed earlier may have become one, for example by a new upstream version.
COMPLETED_S = 60.0
# Bounds the memory to about 1 MB.
MAX_COMPLETED = 4096
# Retry-After while a process that has just started reads the quarantines.
NOT_READ_RETRY_S = 0.5


def quarantine_s(crashes: int) -> float:
    """
    Returns for how long a request is quarantined after a number of crashes.

    >>> [quarantine_s(crashes) for crashes in (3, 4, 5, 6)]
    [60.0, 120.0, 240.0, 86400.0]
    """
    if crashes >= MAX_CRASHES + MAX_TRIES_AFTER:
        return FINAL_QUARANTINE_S
    return INITIAL_QUARANTINE_S * 2.0 ** (crashes - MAX_CRASHES)


class Quarantine:
    """Knows the requests that no upstream may get for a time."""

    def __init__(
        self,
        coordinators: Coordinators,
        peers: Peers,
        announcements: Announcements,
        has_crashed: Callable[[Upstream], Awaitable[bool]],
        rows: QuarantineRows,
    ) -> None:
        self._coordinators = coordinators
        self._peers = peers
        self._announcements = announcements
        self._has_crashed = has_crashed
        self._rows = rows
        rows.on_read = self._restore
        self.attempts = UnansweredRequests()
        self._counts = CrashCounts()
        self._until_s: dict[str, float] = {}
        self._completed_s: OrderedDict[str, float] = OrderedDict()
        # Requests on which this VM is deciding.
        self._undecided: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def register_handlers(self, handlers: Handlers) -> None:
        """Registers the handlers for messages of other VMs."""
        handlers.add(ReportCrash, self._on_report)
        handlers.add(AnnounceQuarantine, self._on_announcement)
        handlers.add(FindCompletion, self._on_find_completion)

    def is_loaded(self) -> bool:
        """Tells whether the quarantines of earlier processes are known."""
        return self._rows.is_loaded

    def check(self, fingerprints: Iterable[str]) -> None:
        """
        Raises `RequestQuarantined` if no upstream may get the request, and `NotFresh`
        if that is not known yet.
        """
        if not self.is_loaded():
            raise NotFresh(
                "the quarantines have not been read yet", retry_after_s=NOT_READ_RETRY_S
            )
        left_s = max(map(self._left_s, fingerprints))
        if left_s > 0:
            raise RequestQuarantined(retry_after_s=left_s)

    def size(self) -> int:
        """Returns the number of fingerprints in quarantine, as this VM knows."""
        now_s = boottime_s()
        return sum(until_s > now_s for until_s in self._until_s.values())

    def record_completed(self, fingerprints: Iterable[str]) -> None:
        """Records that an upstream answered a request completely."""
        for fingerprint in fingerprints:
            self._completed_s[fingerprint] = boottime_s()
            self._completed_s.move_to_end(fingerprint)
        while len(self._completed_s) > MAX_COMPLETED:
            self._completed_s.popitem(last=False)

    def record_interruption(
        self, fingerprints: Iterable[str], upstream: Upstream
    ) -> None:
        """
        Records that the response to a request was interrupted.

        Finds out in the background whether the upstream has crashed.
        """
        suspects = frozenset(fingerprints)
        if not all(map(self._is_completed, suspects)):
            self._start(self._examine(suspects, upstream))

    def record_crash(self, fingerprints: Iterable[str], upstream: Upstream) -> None:
        """Records that an upstream crashed and left requests unanswered."""
        suspects = [name for name in fingerprints if not self._is_completed(name)]
        for fingerprint in suspects:
            self._start(self._report_crash(fingerprint, upstream))

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _is_completed(self, fingerprint: str) -> bool:
        """Tells whether an upstream has completed a request of this VM lately."""
        oldest_s = boottime_s() - COMPLETED_S
        return self._completed_s.get(fingerprint, -math.inf) >= oldest_s

    async def _examine(self, fingerprints: frozenset[str], upstream: Upstream) -> None:
        if await self._has_crashed(upstream):
            # Its other requests may have no answer either.
            self.record_crash(fingerprints | self.attempts.take(upstream), upstream)

    async def _report_crash(self, fingerprint: str, upstream: Upstream) -> None:
        message = ReportCrash(fingerprint, upstream.id, upstream.started_at_ms)
        reported = 0
        for vm in self._coordinators.order(fingerprint)[:MAX_REPORT_TRIES]:
            if vm == self._coordinators.vm:
                self._count(message)
                reported += 1
            else:
                reported += await self._send(vm, message)
            if reported == REPORT_COPIES:
                break

    async def _send(self, vm: str, message: Message) -> bool:
        try:
            await self._peers.request(vm, message, PEER_TIMEOUT_S)
        except (PeerError, Refusal) as error:
            log.info("Could not report a crash to a VM.", peer=vm, error=repr(error))
            return False
        return True

    def _count(self, message: ReportCrash) -> None:
        fingerprint = message.fingerprint
        crashes = self._counts.record(
            fingerprint, message.upstream, boottime_s(), message.started_at_ms
        )
        log.info(
            "An upstream crashed under a request.",
            fingerprint=fingerprint,
            upstream=message.upstream,
            crashes=crashes,
        )
        is_known = self._left_s(fingerprint) > 0 or fingerprint in self._undecided
        if crashes >= MAX_CRASHES and not is_known:
            self._undecided.add(fingerprint)
            self._start(self._decide(fingerprint))

    async def _decide(self, fingerprint: str) -> None:
        """Quarantines a request unless an upstream has completed it lately."""
        try:
            is_completed = await self._is_completed_anywhere(fingerprint)
        finally:
            self._undecided.discard(fingerprint)
        if is_completed:
            log.info(
                "Upstreams crashed beside a request that others complete.",
                fingerprint=fingerprint,
            )
            self._counts.forget(fingerprint)
        elif self._left_s(fingerprint) <= 0:
            crashes = self._counts.count(fingerprint)
            left_s = quarantine_s(crashes)
            self._add(fingerprint, left_s)
            self._rows.keep(fingerprint, crashes, left_s)
            self._announcements.publish(*self._announcement(fingerprint))

    async def _is_completed_anywhere(self, fingerprint: str) -> bool:
        """
        Tells whether any VM knows that an upstream has completed a request lately.

        VMs that do not answer in time count as not knowing it.
        """
        if self._is_completed(fingerprint):
            return True
        in_flight = asyncio.Semaphore(MAX_ASKED_AT_ONCE)

        async def ask(vm: str) -> bool:
            async with in_flight:
                try:
                    answer = await self._peers.request(
                        vm, FindCompletion(fingerprint), PEER_TIMEOUT_S
                    )
                except (PeerError, Refusal) as error:
                    log.debug("A VM did not reply.", peer=vm, error=repr(error))
                    return False
            return isinstance(answer, CompletionFound) and answer.found

        questions = [
            asyncio.create_task(ask(vm))
            for vm in self._coordinators.order(fingerprint)
            if vm != self._coordinators.vm
        ]
        try:
            for answer in asyncio.as_completed(questions, timeout=COMPLETION_TIMEOUT_S):
                if await answer:
                    return True
        except TimeoutError:
            log.info("Some VMs were not asked in time.", fingerprint=fingerprint)
        finally:
            for question in questions:
                question.cancel()
        return False

    def _restore(self, fingerprint: str, crashes: int, left_s: float) -> None:
        """Takes over what other processes know of a request."""
        self._counts.restore(fingerprint, crashes, boottime_s())
        if left_s > self._left_s(fingerprint):
            self._add(fingerprint, left_s)

    def _left_s(self, fingerprint: str) -> float:
        return self._until_s.get(fingerprint, 0.0) - boottime_s()

    def _add(self, fingerprint: str, left_s: float) -> None:
        now_s = boottime_s()
        for expired in [key for key, end_s in self._until_s.items() if end_s < now_s]:
            del self._until_s[expired]
        if fingerprint not in self._until_s:
            count(Counter.QUARANTINES)
            log.warning(
                "A request is quarantined because upstreams crashed under it.",
                fingerprint=fingerprint,
                left_s=round(left_s),
            )
        self._until_s[fingerprint] = now_s + left_s

    def _announcement(self, fingerprint: str) -> tuple[str, MessageFactory]:
        """Returns the subject and the message of a quarantine while it lasts."""

        def make_message() -> Message | None:
            left_s = self._left_s(fingerprint)
            if left_s <= 0:
                return None
            crashes = self._counts.count(fingerprint)
            return AnnounceQuarantine(fingerprint, int(left_s * 1000), crashes)

        return f"quarantine {fingerprint}", make_message

    async def _on_report(self, message: ReportCrash, sender: Sender) -> Ok:
        if self._left_s(message.fingerprint) > 0:
            # The sender does not know of the quarantine, or the request ran before it.
            _, make_message = self._announcement(message.fingerprint)
            self._announcements.tell(sender.vm_id, make_message)
        self._count(message)
        return Ok()

    async def _on_find_completion(
        self, message: FindCompletion, sender: Sender
    ) -> CompletionFound:
        return CompletionFound(self._is_completed(message.fingerprint))

    async def _on_announcement(self, message: AnnounceQuarantine, sender: Sender) -> Ok:
        self._restore(message.fingerprint, message.crashes, message.left_ms / 1000)
        self._announcements.remember(*self._announcement(message.fingerprint))
        return Ok()
