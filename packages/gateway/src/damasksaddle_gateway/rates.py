"""
Admits requests of a workspace within its rate over all VMs.

The workspace's holder draws its tokens from the store and hands them out; the others
ask it, and take a few ahead. Two VMs that hand out tokens of one workspace are
harmless, since both draw from the same row.
"""

import math

from damasksaddle.exceptions import RateExceeded
from damasksaddle.utils import boottime_s
from damasksaddle_gateway.allotments import (
    AHEAD_SHARE,
    HOLDER_SHARE,
    Allotments,
    Demand,
    Drawn,
    lapse_s,
)
from damasksaddle_gateway.holders import Holders
from damasksaddle_gateway.routing_config import Workspace
from damasksaddle_gateway.settings import GatewaySettings
from damasksaddle_gateway.view import View
from damasksaddle_node.peers import Handlers, Sender
from damasksaddle_protocol import TakeTokens, TokensTaken

# How long a request may wait for its turn instead of being refused: shorter than
# the pause after which a caller would come back.
MAX_WAIT_S = 0.4
# What a request that begins a program leaves of the burst: enough for the next calls of
# the programs under way, which are a few hundred ms apart.
RESERVE_SHARE = 0.3
URGENT_RESERVE_SHARE = 0.1


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
        holders: Holders,
        view: View,
        settings: GatewaySettings,
    ) -> None:
        self._allotments = allotments
        self._holders = holders
        self._view = view
        self._settings = settings
        self._accounts: dict[str, _Account] = {}

    def register(self, handlers: Handlers) -> None:
        """Answers other VMs that ask for tokens."""
        handlers.add(TakeTokens, self._on_take)

    async def acquire(
        self,
        workspace: Workspace,
        max_wait_s: float,
        may_begin: str,
        urgent: bool = False,
    ) -> None:
        """
        Takes one token, waiting at most `max_wait_s` for it.

        `may_begin` names the program that this request may begin, if any. Its holder
        knows whether it does; then it leaves some tokens to the programs under way: one
        that has to stop midway has used its part of the rate for nothing. The most
        urgent programs leave fewer.

        Raises `RateExceeded` with the time until there will be one, or
        `StoreUnavailable` if the store cannot tell.
        """
        if not workspace.rate_per_s:
            return
        account = self._accounts.setdefault(workspace.name, _Account())
        if not may_begin and account.drawn.take(1):
            account.demand.count()
            return
        lapse = lapse_s(workspace, self._settings) * (1 - HOLDER_SHARE)
        ahead = math.floor(account.demand.per_s() * lapse * AHEAD_SHARE)
        asked_s = boottime_s()
        taken = await self._take(
            workspace,
            TakeTokens(
                workspace.name,
                max(1, ahead),
                int(min(max_wait_s, MAX_WAIT_S) * 1000),
                self._reserve(workspace, urgent) if may_begin else 0,
                may_begin,
            ),
        )
        account.demand.count()
        left = account.drawn.take(math.ceil(account.drawn.tokens))
        account.drawn.tokens = left + taken - 1
        account.drawn.until_s = asked_s + lapse

    @staticmethod
    def _reserve(workspace: Workspace, urgent: bool) -> int:
        share = URGENT_RESERVE_SHARE if urgent else RESERVE_SHARE
        return math.ceil(workspace.burst * share)

    def give_back(self, workspace: Workspace) -> None:
        """Returns the token of a request that did not run."""
        account = self._accounts.get(workspace.name)
        if account is not None and boottime_s() < account.drawn.until_s:
            account.drawn.tokens += 1

    async def _take(self, workspace: Workspace, message: TakeTokens) -> int:
        async def local() -> TokensTaken:
            return TokensTaken(await self._draw(workspace, message))

        wait_s = message.max_wait_ms / 1000
        _, answer = await self._holders.ask(workspace.name, message, local, wait_s)
        assert isinstance(answer, TokensTaken)
        return answer.tokens

    async def _draw(self, workspace: Workspace, message: TakeTokens) -> int:
        return await self._allotments.take(
            workspace,
            message.tokens,
            message.max_wait_ms / 1000,
            message.reserve,
            message.program,
        )

    async def _on_take(self, message: TakeTokens, sender: Sender) -> TokensTaken:
        catalogue = self._view.catalogue
        known = catalogue.workspaces if catalogue is not None else {}
        workspace = known.get(message.workspace)
        if workspace is None or not workspace.rate_per_s:
            raise RateExceeded("the workspace is unknown here")
        return TokensTaken(await self._draw(workspace, message))
