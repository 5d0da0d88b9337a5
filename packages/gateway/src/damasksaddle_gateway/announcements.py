"""
Tells all other VMs what one VM has learned.

An announcement is sent to every live VM once, also to those that join while it is
current. It needs no store, so it also arrives while the store is unavailable. A VM that
restarts within the time in which it counts as live is not told again.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from mode import Service

from damasksaddle.exceptions import PeerError, Refusal
from damasksaddle.utils import get_logger
from damasksaddle_gateway.membership import Membership
from damasksaddle_gateway.peers import Peers
from damasksaddle_protocol import Message

log = get_logger("announce")

# A round trip between failure domains, and one for a new connection.
PEER_TIMEOUT_S = 0.3
# VMs that could not be reached, and VMs that joined, are told after this time.
RETRY_S = 0.5
# Announcements in flight; bounds the connections that are opened at once.
MAX_IN_FLIGHT = 16

# Returns the message to send, or None if the announcement is no longer current.
MessageFactory = Callable[[], Message | None]


@dataclass(slots=True)
class _Announcement:
    make_message: MessageFactory
    informed_vms: set[str] = field(default_factory=set)


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

    def publish(self, subject: str, make_message: MessageFactory) -> None:
        """Starts to announce a message; it replaces an earlier one on the subject."""
        self._announcements[subject] = _Announcement(make_message)
        self._published.set()

    @Service.task
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
                    if vm != self._vm and vm not in announcement.informed_vms
                ]
                random.shuffle(others)
                for vm in others:
                    tasks.create_task(self._inform(vm, announcement))

    async def _inform(self, vm: str, announcement: _Announcement) -> None:
        async with self._in_flight:
            message = announcement.make_message()
            if message is None:
                return
            try:
                await self._peers.request(vm, message, PEER_TIMEOUT_S)
            except (PeerError, Refusal) as error:
                log.debug(
                    "A VM could not be informed; retrying.", peer=vm, error=repr(error)
                )
                return
        announcement.informed_vms.add(vm)
