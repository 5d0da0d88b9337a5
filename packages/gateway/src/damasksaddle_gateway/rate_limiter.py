"""
Limits the requests of a workspace to its rate across all VMs.

The workspace's coordinator takes tokens from the store and hands them out. The other
VMs request tokens from it and prefetch a few. It is harmless if two VMs act as
coordinator of one workspace, since both take tokens from the same row.
"""

import math
from dataclasses import replace

from damasksaddle.exceptions import RateExceeded
from damasksaddle.utils import Counter, boottime_s, count
from damasksaddle_gateway.config_watcher import ConfigWatcher
from damasksaddle_gateway.coordinators import Coordinators
from damasksaddle_gateway.interfaces import RequestMetadata
from damasksaddle_gateway.routing_config import Workspace
from damasksaddle_gateway.settings import GatewaySettings
from damasksaddle_gateway.token_buckets import (
    ASK_AGAIN_S,
    COORDINATOR_SHARE,
    PREFETCH_SHARE,
    BucketStatus,
    ExpiringTokens,
    RateEstimate,
    TokenBuckets,
    token_lifetime_s,
)
from damasksaddle_node.peers import Handlers, Sender
from damasksaddle_protocol import TakeTokens, TokensTaken

# Longest time that a coordinator holds a request before it responds, so that a VM which
# does not respond is noticed soon. A request that may wait longer is sent again and
# keeps its place, because the order does not depend on its arrival.
MAX_HOLD_S = 0.4
# Share of the burst that a request which starts a program leaves to running programs:
# enough for their next calls, which are a few hundred milliseconds apart.
RESERVE_SHARE = 0.3
URGENT_RESERVE_SHARE = 0.1


class _LocalTokens:
    """The tokens of one workspace that this VM holds."""

    def __init__(self) -> None:
        self.available = ExpiringTokens()
        self.demand = RateEstimate()


class RateLimiter:
    """Admits requests of workspaces within their rates."""

    def __init__(
        self,
        token_buckets: TokenBuckets,
        coordinators: Coordinators,
        config_watcher: ConfigWatcher,
        settings: GatewaySettings,
    ) -> None:
        self._token_buckets = token_buckets
        self._coordinators = coordinators
        self._config_watcher = config_watcher
        self.settings = settings
        self._local_tokens: dict[str, _LocalTokens] = {}

    def register_handlers(self, handlers: Handlers) -> None:
        """Registers the handler for token requests from other VMs."""
        handlers.add(TakeTokens, self._on_take_tokens)

    async def acquire(
        self,
        workspace: Workspace,
        max_wait_s: float,
        metadata: RequestMetadata,
        urgent: bool = False,
    ) -> None:
        """
        Takes one token, waiting up to `max_wait_s` for it, or longer if the store is
        slow.

        The coordinator knows whether a request starts a program; one that does has to
        leave some tokens to running programs, because a program that is stopped midway
        has wasted its share of the rate. The most urgent programs leave fewer tokens.

        Raises `RateExceeded` with the time until a token is available, or
        `StoreUnavailable` if the rate cannot be checked.
        """
        if not workspace.rate_per_s:
            return
        local_tokens = self._local_tokens.setdefault(workspace.name, _LocalTokens())
        startable = bool(metadata.startable_program_id())
        if not startable and local_tokens.available.take(1):
            local_tokens.demand.record()
            count(Counter.RATE_TOKENS, "used")
            return
        lifetime_s = token_lifetime_s(workspace, self.settings) * (
            1 - COORDINATOR_SHARE
        )
        prefetch = math.floor(local_tokens.demand.per_s() * lifetime_s * PREFETCH_SHARE)
        program = metadata.program
        message = TakeTokens(
            workspace.name,
            max(1, prefetch),
            0,
            self._reserve(workspace, urgent) if startable else 0,
            program.id if program else "",
            max(0, int(program.time_left_ms or 0)) if program else 0,
        )
        max_wait_s += min(max_wait_s, self._token_buckets.store_delay_s())
        requested_s, taken = await self._request_tokens(workspace, message, max_wait_s)
        local_tokens.demand.record()
        remaining = local_tokens.available.take(
            math.ceil(local_tokens.available.tokens)
        )
        count(Counter.RATE_TOKENS, "used")
        count(Counter.RATE_TOKENS, "expired", int(local_tokens.available.remove_all()))
        local_tokens.available.tokens = remaining + taken - 1
        local_tokens.available.expires_s = requested_s + lifetime_s

    @staticmethod
    def _reserve(workspace: Workspace, urgent: bool) -> int:
        share = URGENT_RESERVE_SHARE if urgent else RESERVE_SHARE
        # A full bucket has to hold the reserve and the token of the first request.
        return min(math.ceil(workspace.burst * share), max(0, int(workspace.burst) - 1))

    def return_token(self, workspace: Workspace) -> None:
        """Returns the token of a request that did not run."""
        local_tokens = self._local_tokens.get(workspace.name)
        if local_tokens is not None and boottime_s() < local_tokens.available.expires_s:
            local_tokens.available.tokens += 1

    def coordinator(self, workspace: Workspace) -> str:
        """Returns the VM that hands out the tokens of a workspace."""
        return self._coordinators.order(workspace.name)[0]

    def held_tokens(self, workspace: Workspace) -> int:
        """Returns how many tokens this VM holds for requests of running programs."""
        known = self._local_tokens.get(workspace.name)
        if known is None or boottime_s() >= known.available.expires_s:
            return 0
        return math.floor(known.available.tokens)

    async def bucket_status(
        self, workspace: Workspace, starts: bool, urgent: bool
    ) -> BucketStatus | None:
        """Returns the state of a workspace's bucket, or None if it is not known."""
        reserve = self._reserve(workspace, urgent) if starts else 0
        return await self._token_buckets.status(workspace, reserve)

    async def _request_tokens(
        self, workspace: Workspace, message: TakeTokens, max_wait_s: float
    ) -> tuple[float, int]:
        """Returns when the granted tokens were requested, and their number."""

        async def take_locally() -> TokensTaken:
            return TokensTaken(await self._take_locally(workspace, message))

        wait_until_s = boottime_s() + max_wait_s
        while True:
            requested_s = boottime_s()
            wait_s = max(0.0, wait_until_s - requested_s)
            message = replace(message, max_wait_ms=int(wait_s * 1000))
            try:
                _, response = await self._coordinators.request(
                    workspace.name, message, take_locally, min(wait_s, MAX_HOLD_S)
                )
            except RateExceeded as error:
                if error.retry_after_s != ASK_AGAIN_S:
                    raise
                continue
            assert isinstance(response, TokensTaken)
            return requested_s, response.tokens

    async def _take_locally(self, workspace: Workspace, message: TakeTokens) -> int:
        time_left_s = message.program_time_left_ms / 1000
        return await self._token_buckets.take(
            workspace,
            message.tokens,
            message.max_wait_ms / 1000,
            message.reserve,
            message.program,
            time_left_s or math.inf,
            MAX_HOLD_S,
        )

    async def _on_take_tokens(self, message: TakeTokens, sender: Sender) -> TokensTaken:
        config = self._config_watcher.config
        known = config.workspaces if config is not None else {}
        workspace = known.get(message.workspace)
        if workspace is None or not workspace.rate_per_s:
            raise RateExceeded("the workspace is not configured on this VM")
        return TokensTaken(await self._take_locally(workspace, message))
