"""Put the tasks of one entry together and run them from start to planned stop."""

from __future__ import annotations

import functools
import logging
import random
import signal
import uuid
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.coordination.assignment import AssignmentFollower
from vanillawell.coordination.claims import ClaimDesk
from vanillawell.coordination.configuration import ConfigurationFollower
from vanillawell.coordination.dispatch import Dispatcher
from vanillawell.coordination.job_runner import JobRunner
from vanillawell.coordination.limit_keeper import LimitKeeper
from vanillawell.coordination.membership import Membership
from vanillawell.coordination.peers import PeerAddress, Peers
from vanillawell.coordination.planner import Planner
from vanillawell.coordination.static_limits import StaticLimits
from vanillawell.exceptions import StoreError
from vanillawell.identity import Identity
from vanillawell.protocol.documents import Presence, StoreKeys
from vanillawell.protocol.peer_messages import DocumentKind, NameTable
from vanillawell.state.board import DemandBoard, Row, is_significant
from vanillawell.state.burn import BurnBook
from vanillawell.state.policy import place_executors
from vanillawell.telemetry import Telemetry
from vanillawell.transport.admin import AdminApp
from vanillawell.transport.asgi import bind, server
from vanillawell.transport.backend import ExecutorLink
from vanillawell.transport.caller import CallerApp
from vanillawell.transport.dialer import Dialer
from vanillawell.transport.peer_stream import TcpPeers
from vanillawell.transport.platform import PlatformClient
from vanillawell.transport.sockets import apply_silence_options
from vanillawell.transport.store_etcd import EtcdStore
from vanillawell.transport.tls import CertificateWatch

if TYPE_CHECKING:
    import socket
    from collections.abc import Iterator

    from anyio.abc import TaskGroup

    from vanillawell.config.settings import Address, DaemonSettings
    from vanillawell.transport.asgi import QuietServer

log = logging.getLogger(__name__)

STOP_POLL = 0.02
"""Seconds between two looks at whether all requests have ended during a planned stop."""

STOP_STORE_BOUND = 2.0
"""Seconds a planned stop waits for the store before it leaves its units to their term."""


class Listeners:
    """Bind all addresses first, so that a taken one ends the start with a clear error."""

    def __init__(self, settings: DaemonSettings) -> None:
        self.caller = _listen(settings.caller, "caller")
        self.admin = _listen(settings.admin, "admin")
        self.peer = _listen(settings.peer, "peer")


def _listen(address: Address, key: str) -> socket.socket:
    listener = bind(address.host, address.port, key)
    apply_silence_options(listener)
    return listener


class Entry:
    """One running entry."""

    def __init__(
        self,
        settings: DaemonSettings,
        identity: Identity,
        listeners: Listeners,
        store: EtcdStore,
        tasks: TaskGroup,
    ) -> None:
        self._settings = settings
        self._listeners = listeners
        self._store = store
        self._tasks = tasks
        self._telemetry = Telemetry()
        keys = StoreKeys(settings.store.prefix)
        timing = settings.timing
        me = self._introduce()
        rng = random.Random(me.incarnation)
        self._board = DemandBoard()
        self._names = NameTable()
        address = settings.platform
        platform = PlatformClient(address, settings.admin.host) if address else None
        self._membership = Membership(
            store, keys, me, settings.store, timing, self._telemetry, platform
        )
        self._configuration = ConfigurationFollower(
            store, keys, self._membership, settings.store, self._telemetry
        )
        self._assignment = AssignmentFollower(
            store, keys, self._membership, settings.store, self._telemetry
        )
        self._limits = LimitKeeper(
            store, keys, self._membership, self._board, timing, self._telemetry, rng
        )
        self._static = StaticLimits(self._membership)
        ledger = settings.experiment.limits == "ledger"
        self._dispatcher = Dispatcher(
            tasks,
            self._limits if ledger else self._static,
            self._board,
            self._telemetry,
            rng,
            me.instance,
            me.zone,
            functools.partial(ExecutorLink, dialer=Dialer(settings.caller.host, identity.backend)),
            timing.longest_request,
            settings.experiment,
        )
        self._claims = ClaimDesk(store, keys, self._membership, timing, self._telemetry)
        self._peers = Peers(
            tasks,
            self._membership,
            {
                DocumentKind.CONFIGURATION: self._configuration,
                DocumentKind.ASSIGNMENT: self._assignment,
            },
            self._board,
            timing,
            self._telemetry,
            TcpPeers(),
            settings.peer.host,
            lambda: self._names,
            self._own_rows,
            self._limits.note_reports,
        )
        burn = BurnBook()
        self._caller_app = CallerApp(
            self._configuration, self._dispatcher, self._claims, self._telemetry, burn, me.holder
        )
        self._planner: Planner | None = None
        self._job_runner: JobRunner | None = None
        if platform:
            self._planner = Planner(
                store,
                keys,
                platform,
                self._membership,
                self._configuration,
                self._assignment,
                self._dispatcher.demand,
                identity.access,
                timing,
                self._telemetry,
            )
            self._job_runner = JobRunner(
                store, keys, platform, self._membership, self._dispatcher.pressure, self._telemetry
            )
        self._admin_app = AdminApp(
            self._membership,
            self._configuration,
            self._assignment,
            self._dispatcher,
            self._limits,
            self._telemetry,
            burn,
            lambda: store.calls,
            identity.access.token,
        )
        self._caller_server = server(self._caller_app, context=identity.caller_context)
        self._admin_server = server(self._admin_app, stop_timeout=1, context=identity.admin_context)
        self._certificates = CertificateWatch(
            identity.renewable, self._telemetry, self._dispatcher.renew_connections
        )
        self._connect()

    def _introduce(self) -> Presence:
        peer_host, peer_port = self._listeners.peer.getsockname()[:2]
        advertised = self._settings.peer_advertised
        if advertised:
            peer_host, peer_port = advertised.host, advertised.port
        return Presence(
            instance=self._settings.instance,
            incarnation=uuid.uuid4().hex[:12],
            zone=self._settings.zone,
            peer_host=peer_host,
            peer_port=peer_port,
            admin_host=self._settings.admin.host,
            admin_port=self._listeners.admin.getsockname()[1],
        )

    def _connect(self) -> None:
        self._limits.connect(
            self._dispatcher.wanted,
            self._dispatcher.charges.charged,
            lambda: self._dispatcher.pump_all(clock.read()),
            lambda: self._dispatcher.refuse_without_units(clock.read()),
        )
        self._configuration.on_change(self._apply)
        self._assignment.on_change(self._apply_assignment)
        self._membership.on_change(self._apply_members)

    def _apply(self) -> None:
        policy = self._configuration.policy
        assert policy is not None
        self._names = NameTable(
            policy.version, tuple(sorted(policy.pools)), tuple(sorted(policy.organisations))
        )
        self._static.configure(policy)
        self._limits.configure(policy)
        self._place()
        self._peers.push()

    def _apply_assignment(self) -> None:
        self._place()
        self._peers.push()

    def _apply_members(self) -> None:
        self._peers.follow_members()
        self._place()

    def _place(self) -> None:
        """Tell the dispatcher which executors each pool has now."""
        policy = self._configuration.policy
        if policy:
            placed = place_executors(policy, self._assignment.assignment)
            self._dispatcher.configure(placed, self._entry_names())

    def _entry_names(self) -> tuple[str, ...]:
        return tuple(sorted(self._membership.members))

    def _own_rows(self, now: float) -> Iterator[Row]:
        """Return what other entries must know to divide full pools and scarce limits."""
        entries = len(self._membership.members)
        policy = self._configuration.policy
        if policy is None:
            return
        scarce = {
            name
            for name, organisation in policy.organisations.items()
            if is_significant(self._dispatcher.wanted(name), organisation.limit, entries)
        }
        for name, pool in self._dispatcher.pools.items():
            rows = pool.own_rows(now)
            whole = sum(demand for _, demand, _ in rows)
            pressed = is_significant(whole, len(pool.links) * pool.policy.slots, entries)
            for organisation, demand, used in rows:
                if pressed or organisation in scarce:
                    yield Row(name, organisation, demand, used)

    async def run(self) -> None:
        """Serve until a signal asks for a planned stop, then stop without cutting a request."""
        seeds = (PeerAddress(item.host, item.port) for item in self._settings.seeds)
        self._peers.add_seeds(seeds)
        for task in (
            self._membership.run,
            self._configuration.run,
            self._assignment.run,
            self._limits.run,
            self._claims.run,
            self._dispatcher.run,
            self._serve_peers,
            self._certificates.run,
        ):
            self._tasks.start_soon(task)
        if self._planner and self._job_runner:
            self._tasks.start_soon(self._planner.run)
            self._tasks.start_soon(self._job_runner.run)
        self._tasks.start_soon(self._serve, self._admin_server, self._listeners.admin)
        caller_done = anyio.Event()
        self._tasks.start_soon(self._serve_callers, caller_done)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                break
        await self._stop(caller_done)
        self._tasks.cancel_scope.cancel()

    async def _serve(self, running: QuietServer, listener: socket.socket) -> None:
        await running.serve(sockets=[listener])

    async def _serve_callers(self, done: anyio.Event) -> None:
        await self._serve(self._caller_server, self._listeners.caller)
        done.set()

    async def _serve_peers(self) -> None:
        listener = await anyio.abc.SocketListener.from_socket(self._listeners.peer)
        await listener.serve(self._peers.serve)

    async def _stop(self, caller_done: anyio.Event) -> None:
        """Stop in the order that cuts nothing.

        Readiness goes off first while requests are still taken, since the balancer goes on
        sending until it notices. Then the listening socket closes, what was accepted ends, the
        units go back, and only then the presence.
        """
        self._telemetry.state("entry", "stopping")
        self._admin_app.stop()
        self._caller_app.close_connections()
        await anyio.sleep(self._settings.timing.stop_notice)
        self._caller_app.refuse_new()
        self._caller_server.should_exit = True
        await caller_done.wait()
        while self._dispatcher.unfinished or self._claims.unfinished:
            await anyio.sleep(STOP_POLL)
        with anyio.move_on_after(STOP_STORE_BOUND):
            try:
                await self._limits.give_back_all()
                await self._membership.leave()
            except StoreError as error:
                log.warning("units left to their term", extra={"reason": str(error)})
        self._telemetry.state("entry", "stopped")


async def run_entry(settings: DaemonSettings) -> None:
    """Run one entry until it is asked to stop."""
    identity = Identity(settings)
    listeners = Listeners(settings)
    started = clock.read()
    async with (
        EtcdStore(settings.store, settings.admin.host) as store,
        anyio.create_task_group() as tasks,
    ):
        entry = Entry(settings, identity, listeners, store, tasks)
        fields = {"subject": "entry", "state": "started", "clock": started}
        log.info("state changed", extra=fields)
        await entry.run()
