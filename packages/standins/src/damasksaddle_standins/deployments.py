"""Draws deployments from a seed: rates, bursts, bounds and speeds of the store."""

import asyncio
import random
from dataclasses import dataclass

from damasksaddle.exceptions import RateExceeded, StoreUnavailable
from damasksaddle_gateway.routing_config import Workspace
from damasksaddle_gateway.settings import GatewaySettings
from damasksaddle_gateway.store import StoreCircuitBreaker
from damasksaddle_gateway.token_buckets import TokenBuckets
from damasksaddle_standins.gateway_load import deny_offline_grants, gateway_settings
from damasksaddle_standins.versioned_table import MemoryVersionedTable, VersionedRows

# Duration of a play, and the number of requests after which it ends earlier.
DURATION_S = 20.0
MAX_REQUESTS = 1500


@dataclass(frozen=True)
class Deployment:
    """A workspace and the bounds of its deployment."""

    workspace: Workspace
    settings: GatewaySettings
    slowdown: float

    def max_admitted(self) -> float:
        """Returns how many requests of a window the users' rules allow."""
        settings, workspace = self.settings, self.workspace
        expected = workspace.rate_per_s * settings.rate_window_s + workspace.burst
        return expected * (1 + settings.rate_overrun) + settings.rate_slack


def draw_deployment(seed: int) -> Deployment:
    """Returns a deployment with a burst of 1 to 1,000 and a rate of 0.5 to 300/s."""
    rng = random.Random(seed)
    burst = round(10 ** rng.uniform(0, 3), 1)
    return Deployment(
        Workspace("ws", None, round(10 ** rng.uniform(-0.3, 2.5), 2), burst),
        gateway_settings(
            rate_window_s=rng.choice([1.0, 5.0, 10.0]),
            rate_overrun=rng.choice([0.05, 0.1, 0.3]),
            rate_slack=rng.choice([2.0, 20.0]),
        ),
        rng.choice([1.0, 1.0, 5.0]),
    )


async def play_requests(
    deployment: Deployment, demand: float, seed: int, coordinators: int
) -> list[float]:
    """Sends requests at a multiple of the rate; returns when they were admitted."""
    rng = random.Random(seed)
    rows = VersionedRows(slowdown=deployment.slowdown)
    buckets = [
        TokenBuckets(
            StoreCircuitBreaker(MemoryVersionedTable(rows)),
            deployment.settings,
            deny_offline_grants,
        )
        for _ in range(coordinators)
    ]
    loop = asyncio.get_running_loop()
    admitted_s: list[float] = []

    async def send(number: int) -> None:
        bucket = rng.choice(buckets)
        try:
            await bucket.take(deployment.workspace, 1, 0.5, 0, f"p{number}")
        except (RateExceeded, StoreUnavailable):
            return
        admitted_s.append(loop.time())

    per_s = deployment.workspace.rate_per_s * demand
    async with asyncio.TaskGroup() as requests:
        for number in range(min(MAX_REQUESTS, int(per_s * DURATION_S))):
            requests.create_task(send(number))
            await asyncio.sleep(1 / per_s)
    return admitted_s
