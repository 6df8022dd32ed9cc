"""Own a shard for one term: load its jobs, then run scheduling cycles (decide, store, act)."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.coordination import cycle_log
from vanillawell.coordination.advice_requester import AdviceRequester
from vanillawell.coordination.cycle_store import CycleStore
from vanillawell.coordination.drain_runner import DrainRunner
from vanillawell.coordination.driver_clocks import DriverClocks
from vanillawell.coordination.executor_driver import ExecutorDriver
from vanillawell.coordination.executor_link import ExecutorLink
from vanillawell.coordination.hand_over import renew_healthy_executors, store_final_bounds
from vanillawell.coordination.inbox import Inbox
from vanillawell.coordination.inherited_orders import InheritedOrders
from vanillawell.coordination.lease_manager import LeaseManager
from vanillawell.coordination.leases import max_inherited_lease
from vanillawell.coordination.loss_detector import LossDetector, log_unreached_executors
from vanillawell.coordination.machine_orders import MachineOrders
from vanillawell.coordination.pool_rebalancer import PoolRebalancer
from vanillawell.coordination.queue_rules_reader import QueueRulesReader
from vanillawell.coordination.registry import RegistryWatch
from vanillawell.coordination.shard_loader import ShardLoader
from vanillawell.coordination.stop_sender import StopSender
from vanillawell.coordination.upkeep_runner import UpkeepRunner
from vanillawell.state.shard import Shard

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import TaskGroup

    from vanillawell.config.node_settings import NodeSettings
    from vanillawell.coordination.policy_watch import PolicyWatch
    from vanillawell.coordination.ports import Ports
    from vanillawell.coordination.term import Term
    from vanillawell.protocol.work_keys import WorkKeys
    from vanillawell.scheduler_telemetry import SchedulerTelemetry
    from vanillawell.state.executors import Executor

log = logging.getLogger(__name__)

MAX_CYCLE_INTERVAL = 0.25
"""Maximum seconds between two scheduling cycles without a wake-up, to handle expired leases and due
times."""

SLOW_CYCLE_THRESHOLD = 0.3
"""Seconds from which a scheduling cycle is logged as slow; callers wait that long for its
decisions."""

PLACEMENT_SLICE = 0.02
"""Seconds for which tasks are placed before other work of the process continues."""


class ShardOwner:
    """Run a shard from its take-over until it is lost or released."""

    def __init__(
        self,
        name: str,
        term: Term,
        ports: Ports,
        keys: WorkKeys,
        settings: NodeSettings,
        policies: PolicyWatch,
        telemetry: SchedulerTelemetry,
    ) -> None:
        self._name = name
        self._term = term
        self._ports = ports
        self._keys = keys
        self._settings = settings
        self._policies = policies
        self._telemetry = telemetry
        self._bounds = settings.bounds
        self._shard = Shard(self._bounds.state_kept_s, self._bounds.remote_factor)
        self._drivers: dict[str, ExecutorDriver] = {}
        self._clocks = DriverClocks(self._drivers)
        self._stops = StopSender(self._shard, term, self._drivers)
        self._leases = LeaseManager(
            keys.lease_bounds(name),
            term.token,
            term.inherited_bounds,
            max_inherited_lease(
                self._bounds.lease_most_ms / 1000, self._bounds.kill_grace_ms / 1000
            ),
            self._clocks,
        )
        self._wake_event = anyio.Event()
        self._placing = True
        self._inbox = Inbox(ports.store, keys, self._shard, self.wake)
        self._cycle_store = CycleStore(
            name,
            self._shard,
            term,
            keys,
            self._leases,
            self._drivers,
            self._inbox,
            telemetry,
            settings.value_bytes,
        )
        self._rules_reader = QueueRulesReader(
            ports.store, keys, self._shard, self._apply_restored_rules
        )
        self._inherited_orders = InheritedOrders(self._shard, self.wake)
        self._registry = RegistryWatch(
            ports,
            ports.documents.keys.executors,
            self._shard,
            lambda: policies.named_services,
            self.wake,
        )
        self.loaded = False
        """Whether all jobs of previous terms have been read."""

    @property
    def shard(self) -> Shard:
        """Return the scheduling state."""
        return self._shard

    def wake(self) -> None:
        """Request another scheduling cycle."""
        self._wake_event.set()

    def stop_placing(self) -> None:
        """Place no more tasks, since another entry will take over."""
        self._placing = False

    async def prepare_hand_over(self, until: float) -> bool:
        """Stop extending leases and try once to store how long each may still be held.

        The next owner needs this document. No task is placed meanwhile, since the lease of a new
        run could not be extended. If the write fails or its outcome is unknown, the owner continues
        and its next scheduling cycle replaces the document.

        Args:
            until: Time of `clock.read` by which the document has to be stored.

        Returns:
            Whether the final lease document is stored.
        """
        if self._leases.is_handed_over:
            return True
        self.stop_placing()
        try:
            unanswered = await renew_healthy_executors(self._drivers.values())
            executors = self._shard.ledger.executors
            return await store_final_bounds(self._term, self._leases, executors, until, unanswered)
        finally:
            self._placing = not self._leases.is_handed_over
            self.wake()

    async def run(self) -> None:
        """Own the shard until cancelled.

        Raises:
            TermLostError: Another entry has taken the shard over, or the lease has expired.
            DeposedError: An executor has seen a higher fencing token.
        """
        self._apply_policy()
        self._policies.on_change(self._apply_policy)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._term.renew_until_lost)
                await ShardLoader(
                    self._name, self._term, self._ports.store, self._keys, self._shard, self._leases
                ).load()
                self._leases.begin(clock.read())
                self.loaded = True
                self._start_tasks(tasks)
                await self._run_cycles(tasks)
        finally:
            self._policies.remove_listener(self._apply_policy)

    def _start_tasks(self, tasks: TaskGroup) -> None:
        tasks.start_soon(log_unreached_executors, self._shard, self._term.token)
        registry = self._registry
        orders = MachineOrders(
            self._term,
            self._ports,
            self._keys,
            self._name,
            self._settings.instance,
            self._bounds.duty_lease_ms / 1000,
            self._clocks,
        )
        upkeep = UpkeepRunner(
            self._shard,
            self._term,
            self._ports,
            self._keys,
            self._settings,
            self._policies,
            orders,
            self.wake,
            self._clocks,
        )
        pools = PoolRebalancer(self._shard, self._term, self._ports, orders, self.wake)
        losses = LossDetector(self._shard, self._ports.machines, self.wake)
        tasks.start_soon(losses.run)
        tasks.start_soon(self._inbox.run)
        tasks.start_soon(self._rules_reader.run)
        tasks.start_soon(self._inherited_orders.run, orders)

        def expects_machine(now: float) -> bool:
            return pools.expects(now) or upkeep.expects(now)

        async def wait_until_loaded() -> None:
            await registry.wait_until_listed()
            await self._inherited_orders.wait_until_loaded()

        tasks.start_soon(registry.run, expects_machine)
        tasks.start_soon(registry.poll, expects_machine)
        tasks.start_soon(_run_after, wait_until_loaded, upkeep.run)
        tasks.start_soon(_run_after, wait_until_loaded, pools.run)
        tasks.start_soon(self._stops.run)
        drains = DrainRunner(self._shard, self._term, self._bounds.kill_grace_ms / 1000, self.wake)
        tasks.start_soon(_run_after, wait_until_loaded, drains.run)
        if self._ports.advice is not None:
            advice_requester = AdviceRequester(self._shard, self._ports.advice, self.wake)
            tasks.start_soon(advice_requester.run)

    def _apply_policy(self) -> None:
        if self._policies.policy is not None:
            self._shard.apply_policy(self._policies.policy)
        self._registry.apply_services()
        self._shard.ledger.evacuate(self._policies.evacuated_zones.names)
        self.wake()

    def _apply_restored_rules(self) -> None:
        """Use rules that were read: they may name a service that the configuration lacks."""
        self._registry.apply_services()
        self.wake()

    async def _run_cycles(self, tasks: TaskGroup) -> None:
        """Run scheduling cycles until cancelled: decide, store and act.

        Events that arrive while a cycle is being stored are handled together in the next one, so
        the number of writes does not grow with the number of tasks. No task starts before the inbox
        has been read, since it may hold the cancellation of a job, nor before the machines are
        known that a previous owner has ordered away.
        """
        while True:
            now = clock.read()
            self._leases.subtract_elapsed_time(self._shard.ledger.executors.values(), now)
            self._shard.close_replaced(now, time.time())
            self._shard.expire(now, time.time())
            ready = self._inbox.is_read and self._inherited_orders.are_loaded
            if ready and self._placing and not self._place(now):
                self.wake()
                # With nothing to store, the cycle waits for nothing else.
                await anyio.lowlevel.checkpoint()
            self._update_drivers(tasks)
            self._rules_reader.wake_if_needed()
            self._stops.send(clock.read())
            done, self._shard.outbox.done = self._shard.outbox.done, []
            cycle_log.log_done_tasks(done, self._term.token)
            decided = clock.read()
            await self._cycle_store.store()
            self._log_if_slow(now, decided)
            if not self._shard.job_table.changed and not self._wake_event.is_set():
                with anyio.move_on_after(self._idle_timeout()):
                    await self._wake_event.wait()
            self._wake_event = anyio.Event()

    def _place(self, now: float) -> bool:
        """Place tasks for at most `PLACEMENT_SLICE`; return whether no step is left.

        Otherwise thousands of tasks that are handed in at once would keep the owner from renewing
        its lease.
        """
        until = clock.read() + PLACEMENT_SLICE
        return self._shard.place(now, time.time(), lambda: clock.read() < until)

    def _log_if_slow(self, began: float, decided: float) -> None:
        """Log how long a slow scheduling cycle took to decide and to store."""
        ended = clock.read()
        if ended - began < SLOW_CYCLE_THRESHOLD:
            return
        figures = {"decided": round(decided - began, 3), "stored": round(ended - decided, 3)}
        log.warning("turn slow", extra={**figures, "jobs": len(self._shard.job_table.jobs)})

    def _idle_timeout(self) -> float:
        due = self._shard.job_table.next_due()
        if due is None:
            return MAX_CYCLE_INTERVAL
        return min(MAX_CYCLE_INTERVAL, max(0.001, due - time.time()))

    def _update_drivers(self, tasks: TaskGroup) -> None:
        """Create a driver for each executor, and wake the drivers that have work."""
        executors = self._shard.ledger.executors
        for name, executor in executors.items():
            driver = self._drivers.get(name)
            if driver is None or driver.executor is not executor:
                if driver is not None:
                    driver.notify()
                driver = self._new_driver(executor, tasks)
                self._drivers[name] = driver
            driver.wake_if_needed()
        for name in [name for name in self._drivers if name not in executors]:
            self._drivers.pop(name).notify()

    def _new_driver(self, executor: Executor, tasks: TaskGroup) -> ExecutorDriver:
        link = ExecutorLink(
            executor,
            self._ports.executors,
            self._shard,
            self._term,
            self._leases,
            self.wake,
            time.time,
            self._bounds.lease_most_ms / 1000,
            self._bounds.kill_grace_ms / 1000,
            lambda: self._telemetry.starts_withdrawn.inc({}),
        )
        driver = ExecutorDriver(link, tasks)
        tasks.start_soon(driver.run)
        return driver


async def _run_after(
    ready: Callable[[], Awaitable[None]], run: Callable[[], Awaitable[None]]
) -> None:
    await ready()
    await run()
