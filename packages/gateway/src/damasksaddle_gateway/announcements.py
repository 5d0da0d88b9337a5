"""
Tells all other VMs what one VM has learned.

An announcement is sent to every live VM once, also to those that join while it is
current. All VMs remember what they were told, and a process that has just started asks
some of them for it. No store is needed, so this also works while the store is
unavailable.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from mode import Service

from damasksaddle.exceptions import PeerError, Refusal
from damasksaddle.utils import get_logger
from damasksaddle_gateway.background import background_task
from damasksaddle_gateway.membership import Membership
from damasksaddle_gateway.peers import Peers
from damasksaddle_node.peers import Sender
from damasksaddle_protocol import Message, Ok, RequestAnnouncements

log = get_logger("announce")

# A round trip between failure domains, and one for a new connection.
PEER_TIMEOUT_S = 0.3
# VMs that could not be reached, and VMs that joined, are told after this time.
RETRY_S = 0.5
# Tries for each VM. A VM of a build that does not know a message closes its connection,
# which also fails other requests there.
MAX_TRIES = 6
# VMs that a process asks after its start, and how often. If half of the fleet has just
# restarted, the chance that no VM asked knows anything is 1 in 4,000 each time.
MAX_ASKED_VMS = 12
ASK_ROUNDS = 3
ASK_PAUSE_S = 1.0
# Pause until other VMs are known and the fleet secret is loaded; it doubles each time.
START_POLL_S = 0.05
# Announcements in flight; bounds the connections that are opened at once.
MAX_IN_FLIGHT = 16

# Returns the message to send, or None if the announcement is no longer current.
MessageFactory = Callable[[], Message | None]


@dataclass(slots=True)
class _Announcement:
    make_message: MessageFactory
    informed_vms: set[str] = field(default_factory=set)
    tries: Counter[str] = field(default_factory=Counter)

    def is_due(self, vm: str) -> bool:
        """Tells whether a VM has to be told."""
        return vm not in self.informed_vms and self.tries[vm] < MAX_TRIES


class Announcements(Service):
    """Sends announcements to the other VMs until they are no longer current."""

    def __init__(self, vm: str, membership: Membership, peers: Peers) -> None:
        super().__init__()
        self._vm = vm
        self._membership = membership
        self._peers = peers
        self._announcements: dict[str, _Announcement] = {}
        self._published = asyncio.Event()
        self._in_flight = asyncio.Semaphore(MAX_IN_FLIGHT)
        self._replies: set[asyncio.Task[None]] = set()
        # What other VMs announced.
        self._remembered: dict[str, MessageFactory] = {}
        peers.handlers.add(RequestAnnouncements, self._on_request)

    def publish(self, subject: str, make_message: MessageFactory) -> None:
        """Starts to announce a message; it replaces an earlier one on the subject."""
        self._announcements[subject] = _Announcement(make_message)
        self._published.set()

    def remember(self, subject: str, make_message: MessageFactory) -> None:
        """Keeps what another VM announced, for processes that start later."""
        for known, make_known in list(self._remembered.items()):
            if make_known() is None:
                del self._remembered[known]
        self._remembered[subject] = make_message

    async def _on_request(self, message: RequestAnnouncements, sender: Sender) -> Ok:
        own = {
            subject: announcement.make_message
            for subject, announcement in self._announcements.items()
        }
        for make_message in {**self._remembered, **own}.values():
            self.tell(sender.vm_id, make_message)
        return Ok()

    def tell(self, vm: str, make_message: MessageFactory) -> None:
        """Sends a message to one VM in the background."""
        task = asyncio.create_task(self._inform(vm, _Announcement(make_message)))
        self._replies.add(task)
        task.add_done_callback(self._replies.discard)

    @background_task
    async def _ask_for_announcements(self) -> None:
        for _ in range(ASK_ROUNDS):
            for number in range(MAX_TRIES):
                if await self._ask_some():
                    break
                await self.sleep(START_POLL_S * 2**number)
            await self.sleep(ASK_PAUSE_S)

    async def _ask_some(self) -> bool:
        """Asks some VMs what was announced; returns whether that was possible."""
        if not self._membership.is_loaded():
            return False
        others = [vm for vm in self._membership.live_vms() if vm != self._vm]
        asked = random.sample(others, min(MAX_ASKED_VMS, len(others)))
        replied = await asyncio.gather(*(self._ask(vm) for vm in asked))
        return any(replied) or not asked

    async def _ask(self, vm: str) -> bool:
        try:
            await self._peers.request(vm, RequestAnnouncements(), PEER_TIMEOUT_S)
        except (PeerError, Refusal) as error:
            log.debug("A VM did not reply.", peer=vm, error=repr(error))
            return False
        return True

    @background_task
    async def _send_announcements(self) -> None:
        while not self.should_stop:
            await self._published.wait()
            self._published.clear()
            while self._announcements:
                await self._send_pending()
                try:
                    async with asyncio.timeout(RETRY_S):
                        await self._published.wait()
                except TimeoutError:
                    continue
                self._published.clear()

    async def _send_pending(self) -> None:
        async with asyncio.TaskGroup() as tasks:
            for subject, announcement in list(self._announcements.items()):
                if announcement.make_message() is None:
                    del self._announcements[subject]
                    continue
                others = [
                    vm
                    for vm in self._membership.live_vms()
                    if vm != self._vm and announcement.is_due(vm)
                ]
                random.shuffle(others)
                for vm in others:
                    tasks.create_task(self._inform(vm, announcement))

    async def _inform(self, vm: str, announcement: _Announcement) -> None:
        async with self._in_flight:
            message = announcement.make_message()
            if message is None:
                return
            announcement.tries[vm] += 1
            try:
                await self._peers.request(vm, message, PEER_TIMEOUT_S)
            except (PeerError, Refusal) as error:
                log.debug(
                    "A VM could not be informed; retrying.", peer=vm, error=repr(error)
                )
                return
        announcement.informed_vms.add(vm)
