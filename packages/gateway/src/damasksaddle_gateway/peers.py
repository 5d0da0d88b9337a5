"""
Connections to the other VMs of the fleet.

VMs authenticate each other with a shared secret, which the first VM to start creates
and keeps in the store.
"""

import asyncio
import json
import random
import secrets
from typing import Any

from mode import Service

from damasksaddle.exceptions import PeerTimeout, ResponseLost, TableUnavailable
from damasksaddle.platform import row_key
from damasksaddle.utils import boottime_s, get_logger
from damasksaddle_gateway.background import background_task
from damasksaddle_gateway.membership import Membership
from damasksaddle_gateway.rows import CachedRow, update_row
from damasksaddle_gateway.settings import GatewaySettings
from damasksaddle_gateway.store import StoreCircuitBreaker
from damasksaddle_node.peers import Handlers, PeerPool, PeerServer, TcpNetwork
from damasksaddle_protocol import Message

log = get_logger("peers")

TABLE = "fleet"
SECRET_BYTES = 32
# A peer in another failure domain accepts a connection within a few milliseconds.
CONNECT_TIMEOUT_S = 0.3
RETRY_S = 0.3
# The first VMs of a fleet start within this time.
MAX_FOUNDING_S = 15.0
# Upper bound of a random delay: long compared to a write, short compared to a start.
SECRET_CREATION_JITTER_S = 0.3


def _no_epoch() -> int:
    """Gateways need no epochs: row versions in the store fence concurrent changes."""
    return 0


class Peers(Service):
    """Sends requests to other VMs and serves theirs."""

    def __init__(
        self,
        table: StoreCircuitBreaker,
        membership: Membership,
        settings: GatewaySettings,
    ) -> None:
        super().__init__()
        self.handlers = Handlers()
        self._table = table
        self._membership = membership
        self._settings = settings
        self._pool: PeerPool | None = None
        self._server: PeerServer | None = None
        # When the first VM of the fleet started, on the store's clock.
        self._fleet_created_ms: float | None = None

    def is_founding(self, since_s: float) -> bool:
        """Tells whether the fleet was created about when this VM began to follow it."""
        now_ms = self._table.clock.now_ms()
        if self._fleet_created_ms is None or not now_ms:
            return False
        fleet_age_s = (now_ms - self._fleet_created_ms) / 1000
        return fleet_age_s - (boottime_s() - since_s) < MAX_FOUNDING_S

    async def request(self, vm: str, message: Message, timeout_s: float) -> Message:
        """Returns a peer's response; raises `PeerError` or the peer's `Refusal`."""
        if self._pool is None:
            raise PeerTimeout("the fleet secret has not been loaded yet")
        try:
            return await self._pool.request(vm, message, timeout_s)
        except PeerTimeout:
            # A connection may have stopped responding while new ones would work. It is
            # kept if it still carries responses to other requests, because closing it
            # would fail them.
            self.disconnect_if_silent(vm, timeout_s)
            raise

    async def connect(self, vm: str, timeout_s: float) -> None:
        """Opens a connection to a peer unless there is one; raises `PeerError`."""
        if self._pool is None:
            raise PeerTimeout("the fleet secret has not been loaded yet")
        try:
            async with asyncio.timeout(timeout_s):
                await self._pool.connect(vm)
        except TimeoutError as error:
            raise PeerTimeout(f"{vm}: no connection") from error

    def post(self, vm: str, message: Message) -> object | None:
        """
        Sends a message without a response on an open connection; see `PeerPool.post`.
        """
        return None if self._pool is None else self._pool.post(vm, message)

    def disconnect_if_silent(self, vm: str, silent_s: float) -> None:
        """Closes the connection to a VM that sent nothing for a time."""
        if self._pool is not None:
            self._pool.disconnect_if_silent(vm, silent_s)

    @background_task
    async def _open(self) -> None:
        while not self.should_stop:
            try:
                secret = await self._load_secret()
                break
            except (TableUnavailable, ResponseLost) as error:
                log.info(
                    "Could not read the fleet secret; retrying.", error=repr(error)
                )
                await self.sleep(RETRY_S * random.uniform(0.5, 1.5))
        else:
            return
        settings = self._settings
        network = TcpNetwork()
        self._pool = PeerPool(
            settings.vm,
            secret,
            network,
            self.handlers,
            self._membership.peer_address,
            _no_epoch,
            CONNECT_TIMEOUT_S,
        )
        self._server = PeerServer(
            settings.vm, secret, network, self.handlers, _no_epoch
        )
        await self._server.start(settings.peer_address.host, settings.peer_address.port)

    async def _load_secret(self) -> str:
        """Reads the fleet secret, or creates it if there is none."""
        key = row_key(TABLE, "", "secret")
        row = await self._table.row(key)
        if row is None:
            # If all VMs start at once, the delay lets one of them write the secret
            # before the others try to.
            await asyncio.sleep(random.uniform(0, SECRET_CREATION_JITTER_S))
            row = await self._table.row(key)
        value = await self._create_secret(key) if row is None else json.loads(row.value)
        self._fleet_created_ms = value.get("created_ms")
        return str(value["secret"])

    async def _create_secret(self, key: str) -> dict[str, Any]:
        created = {
            "secret": secrets.token_hex(SECRET_BYTES),
            "created_ms": self._table.clock.now_ms() or None,
        }

        def update(value: dict[str, Any] | None) -> dict[str, Any] | None:
            return created if value is None else None

        cached = CachedRow(key)
        await update_row(self._table, cached, update)
        assert cached.value is not None
        return cached.value

    async def on_stop(self) -> None:
        if self._server is not None:
            await self._server.stop()
        if self._pool is not None:
            self._pool.close()
