"""Own a shard for one term: load it, decide in turns, store, then act."""

from __future__ import annotations

import functools
import logging
import time
from typing import TYPE_CHECKING

import anyio
import orjson

from vanillawell import clock
from vanillawell.coordination import cycle_log, loop_lag
from vanillawell.coordination.advice_requester import AdviceRequester
from vanillawell.coordination.cycle_batch import CycleBatch
from vanillawell.coordination.drain_runner import DrainRunner
from vanillawell.coordination.driver_clocks import DriverClocks
from vanillawell.coordination.executor_driver import ExecutorDriver
from vanillawell.coordination.executor_link import ExecutorLink
from vanillawell.coordination.hand_over import renew_once, store_last_bounds
from vanillawell.coordination.inbox import Inbox
from vanillawell.coordination.inherited_orders import InheritedOrders
from vanillawell.coordination.lease_manager import LeaseManager
from vanillawell.coordination.leases import longest_doubt
from vanillawell.coordination.loss_detector import LossDetector, log_unreached_executors
from vanillawell.coordination.machine_orders import MachineOrders
from vanillawell.coordination.pool_rebalancer import PoolRebalancer
from vanillawell.coordination.prefix_watch import Backoff
from vanillawell.coordination.registry import RegistryWatch
from vanillawell.coordination.stop_sender import StopSender
from vanillawell.coordination.upkeep_runner import UpkeepRunner
from vanillawell.exceptions import StoreError
from vanillawell.protocol.queue_documents import read_queues, write_queues
from vanillawell.protocol.store import Put
from vanillawell.protocol.work_documents import read_job, read_record
from vanillawell.state.shard import Shard

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from anyio.abc import TaskGroup

    from vanillawell.config.node_settings import NodeSettings
    from vanillawell.coordination.policy_watch import PolicyWatch
    from vanillawell.coordination.ports import Ports
    from vanillawell.coordination.term import Term
    from vanillawell.protocol.store import Listing
    from vanillawell.protocol.work_documents import WorkKeys
    from vanillawell.state.executors import Executor
    from vanillawell.state.work import Run
    from vanillawell.state.work_policy import Queue
    from vanillawell.work_telemetry import WorkTelemetry

log = logging.getLogger(__name__)

QUIET_TURN = 0.25
"""Seconds after which the owner looks again without any news: for leases and due times."""

SLOW_TURN = 0.3
"""Seconds from which a turn is told in the log; callers wait that long for what it decides."""


class ShardOwner:
    """Run a shard from the moment it was taken until it is lost or given up."""

    def __init__(
        self,
        name: str,
        term: Term,
        ports: Ports,
        keys: WorkKeys,
        settings: NodeSettings,
        policies: PolicyWatch,
        telemetry: WorkTelemetry,
    ) -> None:
        self._name = name
        self._term = term
        self._ports = ports
        self._keys = keys
        self._settings = settings
        self._policies = policies
        self._telemetry = telemetry
        self._bounds = settings.bounds
        self._shard = Shard(self._bounds.state_kept_s)
        self._drivers: dict[str, ExecutorDriver] = {}
        self._clocks = DriverClocks(self._drivers)
        self._stops = StopSender(self._shard, term, self._drivers)
        self._leases = LeaseManager(
            keys.lease_bounds(name),
            term.token,
            term.former_bounds,
            longest_doubt(self._bounds.lease_most_ms / 1000, self._bounds.kill_grace_ms / 1000),
            self._clocks,
        )
        self._news = anyio.Event()
        self._placing = True
        self._published: dict[str, int] | None = None
        self._stored_queues: dict[str, Queue] = {}
        self._inbox = Inbox(ports.store, keys, self._shard, self.wake)
        self._former_orders = InheritedOrders(self._shard, self.wake)
        self.loaded = False
        """Whether all jobs of former terms have been read."""

    @property
    def shard(self) -> Shard:
        """Return the decisions' state."""
        return self._shard

    def wake(self) -> None:
        """Take another turn soon."""
        self._news.set()

    def stop_placing(self) -> None:
        """Decide on no further starts, since another entry will take over."""
        self._placing = False

    async def store_last_word(self, until: float) -> bool:
        """Extend no lease any more, and try once to store for the next owner how long each may
        still hold, by `until` on the clock of decisions; tells whether that was done.

        Nothing is placed meanwhile, since leases of starts couldn't be extended either. An owner
        that has not said its last word goes on: its next turn replaces one that may be stored.
        """
        if self._leases.is_handed_over:
            return True
        self.stop_placing()
        try:
            unanswered = await renew_once(self._drivers.values())
            executors = self._shard.ledger.executors
            return await store_last_bounds(self._term, self._leases, executors, until, unanswered)
        finally:
            self._placing = not self._leases.is_handed_over
            self.wake()

    def _draft_bounds(self) -> list[Put]:
        """Return the write of the bounds of leases, if there is one."""
        put = self._leases.draft(self._shard.ledger.executors.values(), clock.read())
        return [] if put is None else [put]

    async def run(self) -> None:
        """Own the shard until cancelled; raises TermLostError or DeposedError when it is lost."""
        self._apply_policy()
        self._policies.on_change(self._apply_policy)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._term.keep)
                await self._load()
                self._leases.begin(clock.read())
                self.loaded = True
                self._start_tasks(tasks)
                await self._take_turns(tasks)
        finally:
            self._policies.remove_listener(self._apply_policy)

    def _start_tasks(self, tasks: TaskGroup) -> None:
        tasks.start_soon(log_unreached_executors, self._shard, self._term.token)
        tasks.start_soon(loop_lag.watch, "owner")
        registry = RegistryWatch(
            self._ports, self._ports.documents.keys.executors, self._shard, self.wake
        )
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
        tasks.start_soon(self._former_orders.run, orders)

        def expects(now: float) -> bool:
            return pools.expects(now) or upkeep.expects(now)

        async def known() -> None:
            await registry.known()
            await self._former_orders.known()

        tasks.start_soon(registry.run, expects)
        tasks.start_soon(registry.look, expects)
        tasks.start_soon(_run_after, known, upkeep.run)
        tasks.start_soon(_run_after, known, pools.run)
        tasks.start_soon(self._stops.run)
        drains = DrainRunner(self._shard, self._term, self._bounds.kill_grace_ms / 1000, self.wake)
        tasks.start_soon(_run_after, known, drains.run)
        if self._ports.advice is not None:
            desk = AdviceRequester(self._shard, self._ports.advice, self.wake)
            tasks.start_soon(desk.run)

    async def _load(self) -> None:
        """Read all jobs and their records, as the former owners left them."""
        backoff = Backoff()
        while True:
            try:
                orders = await self._ports.store.list(self._keys.submitted_jobs)
                records = await self._ports.store.list(self._keys.records)
                break
            except StoreError as error:
                log.warning("shard not loaded", extra={"why": str(error)})
                await backoff.wait()
        self._restore(orders, records)
        if self._shard.lacks_queue_rules():
            await self._recall_queues()

    async def _recall_queues(self) -> None:
        """Read the rules of queues with jobs that the configuration does not hold any more."""
        backoff = Backoff()
        while True:
            try:
                found = await self._ports.store.get(self._keys.queues(self._name))
                break
            except StoreError as error:
                log.warning("rules of queues not read", extra={"why": str(error)})
                await backoff.wait()
        if found is None:
            log.warning("no rules of queues stored", extra={"token": self._term.token})
            return
        try:
            queues = read_queues(found.value)
        except ValueError as error:
            log.error("rules of queues unreadable", extra={"why": str(error)})
            return
        log.info("rules of queues recalled", extra={"queues": len(queues)})
        self._shard.restore_queue_rules(queues)

    def _restore(self, orders: Listing, records: Listing) -> None:
        now = clock.read()
        known = {item.key: item.value for item in records.items}
        recalled = 0
        for item in orders.items:
            job_id = item.key.removeprefix(self._keys.submitted_jobs)
            data = known.get(self._keys.record(job_id))
            if data is None:
                continue  # it is still in the inbox, which is read next
            try:
                record, runs = read_record(read_job(item.value), data, now, time.time())
            except ValueError as error:
                log.error("unreadable job", extra={"job": job_id, "reason": str(error)})
                continue
            recalled += len(runs)
            bound = functools.partial(self._leases.recalled_bound, now=now)
            self._shard.restore(record, runs, bound)
        jobs = len(self._shard.job_table.jobs)
        fields = {"shard": self._name, "token": self._term.token}
        log.info("shard loaded", extra={**fields, "jobs": jobs, "runs": recalled})

    def _apply_policy(self) -> None:
        if self._policies.policy is not None:
            self._shard.apply_policy(self._policies.policy)
        self.wake()

    async def _take_turns(self, tasks: TaskGroup) -> None:
        """Decide, store and act, again and again.

        All that happened while a turn was being stored is decided in the next one, so the number
        of writes does not grow with the number of tasks. Nothing starts before the inbox has been
        read, since it may say that a job was cancelled, nor before it is known which machines a
        former owner is sending away.
        """
        while True:
            now = clock.read()
            self._leases.count_time_passed(self._shard.ledger.executors.values(), now)
            self._shard.expire(now, time.time())
            known = self._inbox.is_read and self._former_orders.are_known
            if known and self._placing:
                self._shard.place(now, time.time())
            self._drive(tasks)
            self._stops.send(clock.read())
            done, self._shard.outbox.done = self._shard.outbox.done, []
            cycle_log.log_done_tasks(done, self._term.token)
            decided = clock.read()
            await self._store_turn()
            self._log_if_slow(now, decided)
            if not self._shard.job_table.changed and not self._news.is_set():
                with anyio.move_on_after(self._pause()):
                    await self._news.wait()
            self._news = anyio.Event()

    def _log_if_slow(self, began: float, decided: float) -> None:
        """Tell what a turn that took long spent its time on."""
        ended = clock.read()
        if ended - began < SLOW_TURN:
            return
        figures = {"decided": round(decided - began, 3), "stored": round(ended - decided, 3)}
        log.warning("turn slow", extra={**figures, "jobs": len(self._shard.job_table.jobs)})

    def _pause(self) -> float:
        due = self._shard.job_table.next_due()
        if due is None:
            return QUIET_TURN
        return min(QUIET_TURN, max(0.001, due - time.time()))

    def _drive(self, tasks: TaskGroup) -> None:
        """Give each executor a driver, and let those go on that have something to do."""
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
        )
        driver = ExecutorDriver(link, tasks)
        tasks.start_soon(driver.run)
        return driver

    async def _store_turn(self) -> None:
        """Store what changed, then let the starts and the confirmed ends of it go out."""
        batch = CycleBatch.collect(self._shard, self._keys, time.time())
        pending = self._shard.job_table.pending() if self._inbox.is_read else self._published
        queues = self._shard.queues_in_use()
        due = not batch.is_empty or pending != self._published or queues != self._stored_queues
        executors = self._shard.ledger.executors.values()
        if not due and not self._leases.wants_write(executors, clock.read()):
            return
        extra = [*self._pending_puts(pending), *self._queue_puts(queues)]
        for part in batch.parts(extra):
            stored_at = await self._term.write(part.puts, part.deletes, self._draft_bounds)
            if self._leases.confirm():
                self._notify(self._drivers)
            self._telemetry.store_writes.inc({"kind": "turn"})
            for end in part.ends:
                end.executor.unsaved_ends.discard(end.sequence)
            cycle_log.log_started_tasks(part.planned, self._term.token)
            for run in part.planned:
                self._submit(run, stored_at)
            self._notify(end.executor.name for end in part.ends)
        self._published, self._stored_queues = pending, queues

    def _submit(self, run: Run, stored_at: float) -> None:
        driver = self._drivers.get(run.executor)
        if driver is None:
            self._shard.mark_not_started(run, clock.read(), time.time())
        else:
            driver.orders.submit(run, stored_at)

    def _pending_puts(self, pending: dict[str, int] | None) -> list[Put]:
        """Return the write that publishes how many jobs wait, if that has changed."""
        if pending == self._published:
            return []
        return [Put(self._keys.pending(self._name), orjson.dumps(pending))]

    def _queue_puts(self, queues: dict[str, Queue]) -> list[Put]:
        """Return the write of the rules of queues that have jobs, if these have changed.

        A successor may have read only a configuration without such a queue; its jobs, which were
        accepted, would never be served.
        """
        if queues == self._stored_queues:
            return []
        return [Put(self._keys.queues(self._name), write_queues(queues))]

    def _notify(self, executors: Iterable[str]) -> None:
        """Let the drivers of some executors go on, since something was stored for them."""
        for name in set(executors):
            driver = self._drivers.get(name)
            if driver is not None:
                driver.notify()


async def _run_after(
    ready: Callable[[], Awaitable[None]], run: Callable[[], Awaitable[None]]
) -> None:
    await ready()
    await run()
