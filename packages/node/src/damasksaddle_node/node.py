"""The node: creates its components and runs them as a `mode` service."""

import asyncio
import ssl
from contextlib import suppress

from aiohttp import web
from mode import Service

from damasksaddle.exceptions import (
    MembershipChangePending,
    NotFresh,
    NotRun,
    PlatformError,
    Stopping,
)
from damasksaddle.platform import InstrumentedTable, ObjectStore, Table, VmList
from damasksaddle.utils import get_logger, new_id
from damasksaddle_node.commit import CommitClient, Committers
from damasksaddle_node.dump import dump_state
from damasksaddle_node.entry import Entry
from damasksaddle_node.fleet.changes import ChangeAcceptance
from damasksaddle_node.fleet.detector import FailureDetector
from damasksaddle_node.fleet.lease import Freshness, Lease
from damasksaddle_node.fleet.log import FleetLog
from damasksaddle_node.fleet.records import (
    FleetRecord,
    VmJoined,
    VmLeaving,
    VmLeft,
)
from damasksaddle_node.fleet.snapshot import FleetSnapshots
from damasksaddle_node.fleet.state import FleetState
from damasksaddle_node.fleet.vouching import Vouching
from damasksaddle_node.http.admin import AdminApi, admin_app
from damasksaddle_node.http.app import CallerApi, caller_app
from damasksaddle_node.http.problems import ProblemRunner
from damasksaddle_node.limits import Limiter
from damasksaddle_node.peers import Handlers, Network, PeerPool, PeerServer
from damasksaddle_node.pools import PoolClient, PoolSchedulers
from damasksaddle_node.programs import ProgramOwner
from damasksaddle_node.programs.context import CallDependencies
from damasksaddle_node.programs.sealed import Sealer
from damasksaddle_node.settings import Settings
from damasksaddle_node.tls import Tls
from damasksaddle_node.upstreams import Upstreams

log = get_logger("node")

JOIN_RETRY_INTERVAL_S = 0.5
# A graceful shutdown has completed all requests by now. Any other stop cuts off
# requests that are still open after this time.
HTTP_SHUTDOWN_TIMEOUT_S = 1.0
RECORD_LEFT_TIMEOUT_S = 2.0
MIN_FRESHNESS_CHECK_S = 0.02


class Node(Service):
    """
    One VM of the fleet.

    `removed` is set when other VMs have removed this one from the fleet. The process
    then exits, so that its supervisor restarts it as a new member.
    """

    def __init__(
        self,
        settings: Settings,
        table: Table,
        objects: ObjectStore,
        vm_list: VmList,
        upstreams: Upstreams,
        network: Network,
        http: bool = True,
        tls: Tls | None = None,
    ) -> None:
        super().__init__()
        table = InstrumentedTable(table)
        self.settings = settings
        self.vm_id = new_id(settings.name)
        self.removed = asyncio.Event()
        self.http_url = ""
        self.admin_url = ""
        self._http = http
        self._tls = tls or Tls()
        self._table = table
        self._runners: list[web.AppRunner] = []
        timing = settings.timing
        self.fleet = FleetLog(
            table, timing.poll_s, FleetSnapshots(self.vm_id, table, objects)
        )
        self.handlers = Handlers()
        self.server = PeerServer(
            self.vm_id,
            settings.fleet_secret,
            network,
            self.handlers,
            self._current_epoch,
        )
        self.peers = PeerPool(
            self.vm_id,
            settings.fleet_secret,
            network,
            self.handlers,
            self._address_of,
            self._current_epoch,
            timing.connect_timeout_s,
        )
        self.lease = Lease(self.vm_id, table, timing)
        self.freshness = Freshness(self.fleet, timing)
        self.vouching = Vouching(
            self.fleet, self.lease, self.freshness, self.peers, timing
        )
        self.changes = ChangeAcceptance(self.fleet, self.peers, timing)
        self.detector = FailureDetector(
            self.vm_id,
            table,
            self.fleet,
            self.peers,
            self.changes,
            vm_list,
            timing,
        )
        self.limiter = Limiter(
            self.fleet, self.peers, timing, self.check_authority, self.changes.confirm
        )
        self.committers = Committers(
            self.vm_id, settings.streams, table, objects, self.fleet, self.peers, timing
        )
        pools = PoolClient(self.fleet, self.peers)
        self.schedulers = PoolSchedulers(
            self.vm_id,
            self.fleet,
            pools,
            upstreams,
            vm_list,
            timing,
            self.check_authority,
        )
        self.owner = ProgramOwner(
            CallDependencies(
                settings,
                self.fleet,
                self.limiter,
                pools,
                upstreams,
                Sealer(settings.fleet_secret),
                self.check_authority,
            ),
            self.peers,
            CommitClient(table, self.fleet, self.peers, settings.streams, timing),
            objects,
        )
        self.entry = Entry(self.fleet, self.freshness, self.peers, timing)
        for component in (
            self.vouching,
            self.changes,
            self.limiter,
            self.committers,
            self.schedulers,
            self.owner,
        ):
            component.register(self.handlers)

        self.fleet.add_listener(self._on_record)

    def _on_record(self, record: FleetRecord) -> None:
        if record.kind.startswith("vm_"):
            self.peers.disconnect_except(self.fleet.state.members)

    def _current_epoch(self) -> int:
        return self.fleet.state.epoch

    def _address_of(self, vm_id: str) -> str | None:
        member = self.fleet.state.members.get(vm_id)
        return member.peer_address if member else None

    def check_authority(self) -> None:
        """Raises a `Refusal` unless the lease is valid and the fleet log is fresh."""
        self.lease.check()
        self.freshness.check()

    async def on_start(self) -> None:
        """Opens the listeners, joins the fleet and starts the background tasks."""
        settings = self.settings
        await self.server.start(settings.peer_host, settings.peer_port)
        if self._http:
            await self._start_http()
        await self._join()
        for task in (
            self.fleet.tail(),
            self.fleet.write_snapshots(),
            self.lease.renew_periodically(),
            self.vouching.renew_periodically(),
            self.detector.monitor_leases(),
            self.committers.run(),
            self.committers.run_maintenance(),
            self.schedulers.dispatch_periodically(),
            self.owner.partition_manager.run_maintenance(),
            self.schedulers.poll_vm_list(),
            self.schedulers.poll_engine_load(),
            self.schedulers.run_orders(),
            self._watch_freshness(),
            self._watch_membership(),
        ):
            # An exception in any task stops the whole node, so that it never runs with
            # only some of its tasks.
            self.add_future(task)

    async def _start_http(self) -> None:
        settings = self.settings
        api = CallerApi(self.entry, self.fleet, self.freshness, settings)
        app = caller_app(api, settings.max_body_bytes)
        bound_url = await self._start_site(
            app, settings.http_host, settings.http_port, self._tls.callers
        )
        self.http_url = settings.http_url or bound_url
        admin = AdminApi(
            self.fleet,
            self.changes,
            self.entry,
            settings.operator_token,
            lambda: dump_state(self),
        )
        self.admin_url = await self._start_site(
            admin_app(admin),
            settings.admin_host,
            settings.admin_port,
            self._tls.operators,
        )

    async def _start_site(
        self,
        app: web.Application,
        host: str,
        port: int,
        tls: ssl.SSLContext | None,
    ) -> str:
        runner = ProblemRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=HTTP_SHUTDOWN_TIMEOUT_S,
        )
        await runner.setup()
        self._runners.append(runner)
        site = web.TCPSite(runner, host, port, ssl_context=tls)
        await site.start()
        bound_host, bound_port = runner.addresses[0][:2]
        if ":" in bound_host:
            bound_host = f"[{bound_host}]"
        return f"{'https' if tls else 'http'}://{bound_host}:{bound_port}"

    async def _join(self) -> None:
        loop = asyncio.get_running_loop()
        record = VmJoined(
            self.vm_id,
            self.settings.failure_domain,
            self.settings.peer_address or self.server.address,
            self.http_url or f"http://{self.vm_id}",
        )
        previous_members_recorded = False
        while True:
            try:
                await self.fleet.catch_up()
                if not previous_members_recorded:
                    self.detector.record_previous_members()
                    previous_members_recorded = True
                epoch = await self._epoch_to_join()

                def build_record(state: FleetState, epoch: int = epoch) -> FleetRecord:
                    if state.epoch != epoch:
                        raise MembershipChangePending(
                            "another VM joined or left in the meantime"
                        )
                    return record

                started_s = loop.time()
                await self.fleet.append(
                    build_record, extra_puts=(self.lease.creation_put(),)
                )
                break
            except MembershipChangePending as error:
                log.debug(
                    "Cannot join while the membership is changing; retrying.",
                    reason=error,
                )
                # The VM list shows whether all members have been lost.
                await self.detector.read_vm_list()
                await asyncio.sleep(self._join_delay_s())
            except PlatformError as error:
                log.warning("Cannot join the fleet yet; retrying.", reason=error)
                await asyncio.sleep(JOIN_RETRY_INTERVAL_S)
        self.lease.mark_created(started_s)
        while self.vm_id not in self.fleet.state.members:
            with suppress(PlatformError):
                await self.fleet.catch_up()
            await asyncio.sleep(0)
        log.info("Joined the fleet.", vm=self.vm_id, epoch=self._current_epoch())

    async def _epoch_to_join(self) -> int:
        state = self.fleet.state
        if any(member.name == self.settings.name for member in state.members.values()):
            # This process replaces an earlier one of the same name that has ended, so
            # the quorum does not grow.
            return state.epoch
        return await self.changes.confirmed_epoch()

    def _join_delay_s(self) -> float:
        # Staggers VMs that start at the same time. The last two characters of the id
        # are random.
        return JOIN_RETRY_INTERVAL_S * int(self.vm_id[-2:], 16) / 0xFF

    async def _watch_freshness(self) -> None:
        """Ends open streams when the proof of freshness is past the grace period."""
        timing = self.settings.timing
        while True:
            left_s = timing.stream_grace_s - self.freshness.age_s()
            if left_s <= 0:
                self.owner.cancel_calls(NotFresh(not_run=NotRun.NO))
            # Sleeps until the grace period ends rather than for a fixed interval.
            await asyncio.sleep(max(left_s, MIN_FRESHNESS_CHECK_S))

    async def _watch_membership(self) -> None:
        """Stops all calls and sets `removed` once this VM is removed from the fleet."""
        while True:
            await asyncio.sleep(self.settings.timing.poll_s / 4)
            if self.lease.revoked or self.vm_id not in self.fleet.state.members:
                self.lease.revoke()
                self.owner.cancel_calls(Stopping(not_run=NotRun.UNKNOWN))
                log.error("This VM was removed from the fleet.", vm=self.vm_id)
                self.removed.set()
                return

    async def leave(self) -> None:
        """
        Shuts down gracefully: leaves the fleet without interrupting a request.

        Ownership moves to other VMs first. This VM then goes on accepting and
        forwarding requests until callers no longer use its address.
        """
        timing = self.settings.timing
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timing.stop_timeout_s
        log.info("Leaving the fleet.", vm=self.vm_id)
        try:
            async with asyncio.timeout_at(deadline_s):
                await self._release_ownership()
                await self.owner.partition_manager.close_all()
                await asyncio.sleep(timing.hold_s)
                while self._has_open_calls():
                    await asyncio.sleep(0.05)
        except TimeoutError:
            log.warning("The graceful shutdown timed out.", vm=self.vm_id)
        await self.record_left()
        log.info("Left the fleet.", vm=self.vm_id)

    def _has_open_calls(self) -> bool:
        """
        Tells whether a call runs, or its response is still being sent.

        A call that this VM ran for another one has ended before its last frame is sent.
        """
        return bool(
            self.entry.open_calls or self.owner.runs or self.server.active_streams
        )

    async def record_left(self) -> None:
        """
        Records that this VM has left the fleet, if the table can be written.

        Without this record, other VMs remove this one when its lease expires.
        """
        with suppress(PlatformError, TimeoutError):
            async with asyncio.timeout(RECORD_LEFT_TIMEOUT_S):
                await self.fleet.append(lambda state: VmLeft(self.vm_id))

    async def _release_ownership(self) -> None:
        """Records that this VM is leaving; retries until the table can be written."""
        while True:
            try:
                position = await self.fleet.append(lambda state: VmLeaving(self.vm_id))
                break
            except PlatformError as error:
                log.warning("Cannot record the shutdown yet; retrying.", reason=error)
                await asyncio.sleep(JOIN_RETRY_INTERVAL_S)
        await self.changes.confirm(position)

    async def on_stop(self) -> None:
        """Stops all components at once; a graceful shutdown calls `leave` first."""
        for runner in self._runners:
            await runner.cleanup()
        self.owner.partition_manager.cancel_tasks()
        self.peers.close()
        await self.server.stop()
