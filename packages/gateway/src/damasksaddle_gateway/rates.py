"""
Admits requests of a workspace within its rate over all VMs.

One VM, chosen by a hash of the workspace over the live VMs, draws the workspace's
tokens from the store and hands them out; the others ask it, and take a few ahead. If
it does not answer, a VM draws from the store itself: two VMs that hand out tokens of
one workspace are harmless, since both draw from the same row.
"""

import asyncio
import math

from damasksaddle.exceptions import PeerError, RateExceeded
from damasksaddle.utils import elapsed_s, get_log, rendezvous
from damasksaddle_gateway.allotments import (
    AHEAD_SHARE,
    HOLDER_SHARE,
    Allotments,
    Demand,
    Drawn,
    lapse_s,
)
from damasksaddle_gateway.catalogue import Workspace
from damasksaddle_gateway.peers import Peers
from damasksaddle_gateway.roster import Roster
from damasksaddle_gateway.settings import GatewaySettings
from damasksaddle_gateway.view import View
from damasksaddle_node.peers import Handlers, Sender
from damasksaddle_protocol import TakeTokens, TokensTaken

log = get_log("rates")

# A peer answers within a round trip between failure domains, and after waiting for
# its store; if it takes this much longer, the store is asked directly.
PEER_TIMEOUT_S = 0.15
# How long a request may wait for its turn instead of being refused: shorter than
# the pause after which a caller would come back.
MAX_WAIT_S = 0.4


class _Account:
    """The tokens that this VM holds of one workspace."""

    def __init__(self) -> None:
        self.drawn = Drawn()
        self.demand = Demand()


class Rates:
    """Admits requests of workspaces within their rates."""

    def __init__(
        self,
        allotments: Allotments,
        roster: Roster,
        peers: Peers,
        view: View,
        settings: GatewaySettings,
    ) -> None:
        self._allotments = allotments
        self._roster = roster
        self._peers = peers
        self._view = view
        self._settings = settings
        self._accounts: dict[str, _Account] = {}

    def register(self, handlers: Handlers) -> None:
        """Answers other VMs that ask for tokens."""
        handlers.add(TakeTokens, self._on_take)

    async def acquire(
        self, workspace: Workspace, max_wait_s: float, begins_program: bool
    ) -> None:
        """
        Takes one token, waiting at most `max_wait_s` for it.

        Raises `RateExceeded` with the time until there will be one, or
        `StoreUnavailable` if the store cannot tell.
        """
        if not workspace.rate_per_s:
            return
        account = self._accounts.setdefault(workspace.name, _Account())
        if not begins_program and account.drawn.take(1):
            account.demand.count()
            return
        lapse = lapse_s(workspace, self._settings) * (1 - HOLDER_SHARE)
        ahead = math.floor(account.demand.per_s() * lapse * AHEAD_SHARE)
        asked_s = elapsed_s()
        taken = await self._take(
            workspace,
            TakeTokens(
                workspace.name,
                max(1, ahead),
                int(min(max_wait_s, MAX_WAIT_S) * 1000),
                begins_program,
            ),
        )
        account.demand.count()
        left = account.drawn.take(math.ceil(account.drawn.tokens))
        account.drawn.tokens = left + taken - 1
        account.drawn.until_s = asked_s + lapse

    def give_back(self, workspace: Workspace) -> None:
        """Returns the token of a request that did not run."""
        account = self._accounts.get(workspace.name)
        if account is not None and elapsed_s() < account.drawn.until_s:
            account.drawn.tokens += 1

    async def _take(self, workspace: Workspace, message: TakeTokens) -> int:
        holder = rendezvous(workspace.name, self._roster.alive())[0]
        if holder != self._settings.vm:
            timeout_s = PEER_TIMEOUT_S + message.max_wait_ms / 1000
            try:
                answer = await self._peers.request(holder, message, timeout_s)
                if isinstance(answer, TokensTaken):
                    return answer.tokens
            except (PeerError, TimeoutError, asyncio.IncompleteReadError) as error:
                log.info(
                    "A peer did not hand out tokens; drawing from the store.",
                    workspace=workspace.name,
                    peer=holder,
                    error=repr(error),
                )
        return await self._draw(workspace, message)

    async def _draw(self, workspace: Workspace, message: TakeTokens) -> int:
        return await self._allotments.take(
            workspace,
            message.tokens,
            message.max_wait_ms / 1000,
            message.begins_program,
        )

    async def _on_take(self, message: TakeTokens, sender: Sender) -> TokensTaken:
        catalogue = self._view.catalogue
        workspace = catalogue and catalogue.workspaces.get(message.workspace)
        if workspace is None or not workspace.rate_per_s:
            raise RateExceeded("the workspace is unknown here")
        return TokensTaken(await self._draw(workspace, message))
