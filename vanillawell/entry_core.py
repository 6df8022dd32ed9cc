"""Put the parts of one entry together that follow, decide and dispatch."""

from __future__ import annotations

import functools
import random
from typing import TYPE_CHECKING

from vanillawell import clock
from vanillawell.coordination.assignment import AssignmentSync
from vanillawell.coordination.claims import ClaimService
from vanillawell.coordination.configuration import ConfigurationSync
from vanillawell.coordination.dispatch import Dispatcher
from vanillawell.coordination.job_runner import JobRunner
from vanillawell.coordination.limit_manager import LimitManager
from vanillawell.coordination.membership import Membership
from vanillawell.coordination.peers import Peers
from vanillawell.coordination.planner import Planner
from vanillawell.coordination.static_limits import StaticLimits
from vanillawell.identity import Identity
from vanillawell.protocol.documents import Presence, StoreKeys
from vanillawell.protocol.peer_messages import DocumentKind, NameTable
from vanillawell.state.demand_table import DemandTable, Row, is_significant
from vanillawell.state.policy import place_executors
from vanillawell.telemetry import Telemetry
from vanillawell.transport.backend import ExecutorLink
from vanillawell.transport.dialer import Dialer
from vanillawell.transport.peer_stream import TcpPeerTransport
from vanillawell.transport.platform import PlatformClient
from vanillawell.transport.store_etcd import EtcdStore

if TYPE_CHECKING:
    from collections.abc import Iterator

    from anyio.abc import TaskGroup

    from vanillawell.config.settings import DaemonSettings


class EntryCore:
    """Everything of one entry but its servers; each part learns of the others' changes here."""

    def __init__(
        self,
        settings: DaemonSettings,
        identity: Identity,
        me: Presence,
        store: EtcdStore,
        tasks: TaskGroup,
    ) -> None:
        keys = StoreKeys(settings.store.prefix)
        timing = settings.timing
        self.telemetry = Telemetry()
        rng = random.Random(me.incarnation)
        self._board = DemandTable()
        self._names = NameTable()
        address = settings.platform
        platform = PlatformClient(address, settings.admin.host) if address else None
        self.membership = Membership(
            store, keys, me, settings.store, timing, self.telemetry, platform
        )
        self.configuration = ConfigurationSync(
            store, keys, self.membership, settings.store, self.telemetry
        )
        self.assignment = AssignmentSync(
            store, keys, self.membership, settings.store, self.telemetry
        )
        self.limits = LimitManager(
            store, keys, self.membership, self._board, timing, self.telemetry, rng
        )
        self._static = StaticLimits(self.membership)
        ledger = settings.experiment.limits == "ledger"
        self.dispatcher = Dispatcher(
            tasks,
            self.limits if ledger else self._static,
            self._board,
            self.telemetry,
            rng,
            me.instance,
            me.zone,
            functools.partial(ExecutorLink, dialer=Dialer(settings.caller.host, identity.backend)),
            timing.longest_request,
            settings.experiment,
        )
        self.claims = ClaimService(store, keys, self.membership, timing, self.telemetry)
        self.peers = Peers(
            tasks,
            self.membership,
            {
                DocumentKind.CONFIGURATION: self.configuration,
                DocumentKind.ASSIGNMENT: self.assignment,
            },
            self._board,
            timing,
            self.telemetry,
            TcpPeerTransport(),
            settings.peer.host,
            lambda: self._names,
            self._own_rows,
            self.limits.note_reports,
        )
        self.planner: Planner | None = None
        self.job_runner: JobRunner | None = None
        if platform:
            self.planner = Planner(
                store,
                keys,
                platform,
                self.membership,
                self.configuration,
                self.assignment,
                self.dispatcher.demand,
                identity.access,
                timing,
                self.telemetry,
            )
            self.job_runner = JobRunner(
                store, keys, platform, self.membership, self.dispatcher.pressure, self.telemetry
            )
        self._connect()

    def _connect(self) -> None:
        self.limits.connect(
            self.dispatcher.wanted,
            self.dispatcher.charges.charged,
            lambda: self.dispatcher.dispatch_all(clock.read()),
            lambda: self.dispatcher.refuse_without_units(clock.read()),
        )
        self.configuration.on_change(self._apply)
        self.assignment.on_change(self._apply_assignment)
        self.membership.on_change(self._apply_members)

    def _apply(self) -> None:
        policy = self.configuration.policy
        assert policy is not None
        self._names = NameTable(
            policy.version, tuple(sorted(policy.pools)), tuple(sorted(policy.organisations))
        )
        self._static.configure(policy)
        self.limits.configure(policy)
        self._place()
        self.peers.push()

    def _apply_assignment(self) -> None:
        self._place()
        self.peers.push()

    def _apply_members(self) -> None:
        self.peers.update_links()
        self._place()

    def _place(self) -> None:
        """Tell the dispatcher which executors each pool has now."""
        policy = self.configuration.policy
        if policy:
            placed = place_executors(policy, self.assignment.assignment)
            self.dispatcher.configure(placed, self._entry_names())

    def _entry_names(self) -> tuple[str, ...]:
        return tuple(sorted(self.membership.members))

    def _own_rows(self, now: float) -> Iterator[Row]:
        """Return what other entries must know to divide full pools and scarce limits."""
        entries = len(self.membership.members)
        policy = self.configuration.policy
        if policy is None:
            return
        scarce = {
            name
            for name, organisation in policy.organisations.items()
            if is_significant(self.dispatcher.wanted(name), organisation.limit, entries)
        }
        for name, pool in self.dispatcher.pools.items():
            rows = pool.own_rows(now)
            whole = sum(demand for _, demand, _ in rows)
            pressed = is_significant(whole, len(pool.links) * pool.policy.slots, entries)
            for organisation, demand, used in rows:
                if pressed or organisation in scarce:
                    yield Row(name, organisation, demand, used)
