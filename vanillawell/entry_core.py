"""Assemble the parts of one entry that sync documents, decide and dispatch."""

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
    """All parts of one entry except its servers, connected to react to each other's changes."""

    def __init__(
        self,
        settings: DaemonSettings,
        identity: Identity,
        presence: Presence,
        store: EtcdStore,
        tasks: TaskGroup,
    ) -> None:
        keys = StoreKeys(settings.store.prefix)
        timing = settings.timing
        self.telemetry = Telemetry()
        rng = random.Random(presence.incarnation)
        self._demand_table = DemandTable()
        self._names = NameTable()
        address = settings.platform
        platform = PlatformClient(address, settings.admin.host) if address else None
        self.membership = Membership(
            store, keys, presence, settings.store, timing, self.telemetry, platform
        )
        self.configuration = ConfigurationSync(
            store, keys, self.membership, settings.store, self.telemetry
        )
        self.assignment = AssignmentSync(
            store, keys, self.membership, settings.store, self.telemetry
        )
        self.limits = LimitManager(
            store, keys, self.membership, self._demand_table, timing, self.telemetry, rng
        )
        self._static_limits = StaticLimits(self.membership)
        ledger = settings.experiment.limits == "ledger"
        self.dispatcher = Dispatcher(
            tasks,
            self.limits if ledger else self._static_limits,
            self._demand_table,
            self.telemetry,
            rng,
            presence.instance,
            presence.zone,
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
            self._demand_table,
            timing,
            self.telemetry,
            TcpPeerTransport(),
            settings.peer.host,
            lambda: self._names,
            self._own_rows,
            self.limits.handle_demand_reports,
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
        self.configuration.on_change(self._apply_configuration)
        self.assignment.on_change(self._apply_assignment)
        self.membership.on_change(self._apply_members)

    def _apply_configuration(self) -> None:
        policy = self.configuration.policy
        assert policy is not None
        self._names = NameTable(
            policy.version, tuple(sorted(policy.pools)), tuple(sorted(policy.organisations))
        )
        self._static_limits.configure(policy)
        self.limits.configure(policy)
        self._configure_dispatcher()
        self.peers.push()

    def _apply_assignment(self) -> None:
        self._configure_dispatcher()
        self.peers.push()

    def _apply_members(self) -> None:
        self.peers.update_links()
        self._configure_dispatcher()

    def _configure_dispatcher(self) -> None:
        """Configure the dispatcher with the executors that each pool has now."""
        policy = self.configuration.policy
        if policy:
            placed_policy = place_executors(policy, self.assignment.assignment)
            self.dispatcher.configure(placed_policy, self._entry_names())

    def _entry_names(self) -> tuple[str, ...]:
        return tuple(sorted(self.membership.members))

    def _own_rows(self, now: float) -> Iterator[Row]:
        """Yield the demand that other entries need to divide full pools and scarce limits."""
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
            total_demand = sum(demand for _, demand, _ in rows)
            is_contended = is_significant(
                total_demand, len(pool.links) * pool.policy.slots, entries
            )
            for organisation, demand, used in rows:
                if is_contended or organisation in scarce:
                    yield Row(name, organisation, demand, used)
