"""Put the tasks of one entry together and run them from start to planned stop."""

from __future__ import annotations

import logging
import uuid
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock, signals
from vanillawell.coordination.peers import PeerAddress
from vanillawell.entry_core import EntryCore
from vanillawell.exceptions import StoreError
from vanillawell.identity import Identity
from vanillawell.protocol.documents import Presence
from vanillawell.state.burn import BurnCounters
from vanillawell.transport.admin import AdminApp
from vanillawell.transport.asgi import bind, server
from vanillawell.transport.caller import CallerApp
from vanillawell.transport.sockets import apply_silence_options
from vanillawell.transport.store_etcd import EtcdStore
from vanillawell.transport.tls import CertificateWatch

if TYPE_CHECKING:
    import socket

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
        self._tasks = tasks
        me = self._introduce()
        self._core = core = EntryCore(settings, identity, me, store, tasks)
        burn = BurnCounters()
        self._caller_app = CallerApp(
            core.configuration, core.dispatcher, core.claims, core.telemetry, burn, me.holder
        )
        self._admin_app = AdminApp(
            core.membership,
            core.configuration,
            core.assignment,
            core.dispatcher,
            core.limits,
            core.telemetry,
            burn,
            lambda: store.calls,
            identity.access.token,
        )
        self._caller_server = server(self._caller_app, context=identity.caller_context)
        self._admin_server = server(self._admin_app, stop_timeout=1, context=identity.admin_context)
        self._certificates = CertificateWatch(
            identity.reloadable, core.telemetry, core.dispatcher.renew_connections
        )

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

    async def run(self) -> None:
        """Serve until a signal asks for a planned stop, then stop without cutting a request."""
        stop = anyio.Event()
        await self._tasks.start(signals.follow, stop)
        seeds = (PeerAddress(item.host, item.port) for item in self._settings.seeds)
        self._core.peers.add_seeds(seeds)
        for task in (
            self._core.membership.run,
            self._core.configuration.run,
            self._core.assignment.run,
            self._core.limits.run,
            self._core.claims.run,
            self._core.dispatcher.run,
            self._serve_peers,
            self._certificates.run,
        ):
            self._tasks.start_soon(task)
        if self._core.planner and self._core.job_runner:
            self._tasks.start_soon(self._core.planner.run)
            self._tasks.start_soon(self._core.job_runner.run)
        self._tasks.start_soon(self._serve, self._admin_server, self._listeners.admin)
        caller_done = anyio.Event()
        self._tasks.start_soon(self._serve_callers, caller_done)
        await stop.wait()
        await self._stop(caller_done)
        self._tasks.cancel_scope.cancel()

    async def _serve(self, running: QuietServer, listener: socket.socket) -> None:
        await running.serve(sockets=[listener])

    async def _serve_callers(self, done: anyio.Event) -> None:
        await self._serve(self._caller_server, self._listeners.caller)
        done.set()

    async def _serve_peers(self) -> None:
        listener = await anyio.abc.SocketListener.from_socket(self._listeners.peer)
        await listener.serve(self._core.peers.serve)

    async def _stop(self, caller_done: anyio.Event) -> None:
        """Stop in the order that cuts nothing.

        Readiness goes off first while requests are still taken, since the balancer goes on
        sending until it notices. Then the listening socket closes, what was accepted ends, the
        units go back, and only then the presence.
        """
        self._core.telemetry.state("entry", "stopping")
        self._admin_app.stop()
        self._caller_app.close_connections()
        await anyio.sleep(self._settings.timing.stop_notice)
        self._caller_app.refuse_new()
        self._caller_server.should_exit = True
        await caller_done.wait()
        while self._core.dispatcher.unfinished or self._core.claims.unfinished:
            await anyio.sleep(STOP_POLL)
        with anyio.move_on_after(STOP_STORE_BOUND):
            try:
                await self._core.limits.release_all()
                await self._core.membership.leave()
            except StoreError as error:
                log.warning("units left to their term", extra={"reason": str(error)})
        self._core.telemetry.state("entry", "stopped")


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
