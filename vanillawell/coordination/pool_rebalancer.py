"""Rebalance machines between pools by demand, without moving machines that are in use."""

from __future__ import annotations

import logging
import time
from collections import Counter, defaultdict
from dataclasses import replace
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.coordination.machine_division import MachineDivision
from vanillawell.coordination.machine_orders import ARRIVAL_TIMEOUT, ClaimPurpose
from vanillawell.coordination.pool_demand import DemandMeter, MachineSnapshot
from vanillawell.coordination.unanswered_moves import UnansweredMoves
from vanillawell.protocol.call_errors import NoAnswerError, NotSentError
from vanillawell.protocol.machine_calls import MachineState, UpkeepRefusal, UpkeepRefusedError
from vanillawell.state.end_proofs import EndProof
from vanillawell.state.pool_sizing import MachineMove, PoolDemand, PoolSizer
from vanillawell.state.upkeep import LIST_LAG, incarnation_id

if TYPE_CHECKING:
    from collections.abc import Callable

    from vanillawell.coordination.machine_orders import MachineOrders
    from vanillawell.coordination.ports import Ports
    from vanillawell.coordination.term import Term
    from vanillawell.protocol.machine_calls import Machine
    from vanillawell.state.executors import Executor
    from vanillawell.state.shard import Shard
    from vanillawell.state.work_policy import WorkPolicy

log = logging.getLogger(__name__)

POLL_INTERVAL = 0.05
"""Seconds between two checks; a peak grows by a tenth of its height in 0.2 s."""

LIST_INTERVAL = 5.0
"""Seconds between two reads of the machine list, which are priced; arriving machines are seen in
the registry."""

SHORT_LIST_INTERVAL = 0.5
"""Seconds between two reads while a pool lacks machines and some machines of the standby pool were
not up in the last list: moving there takes about 1.5 s, and they may have arrived since."""

MAX_CONCURRENT_MOVES = 8
"""Maximum number of concurrent move orders.

A peak needs dozens of machines at once. If orders were sent one by one, each would wait for the
answer to the previous one, and most would be too old by the time they were sent.
"""

MIN_MOVE_DURATION = 1.2
"""Seconds after which a moved machine may arrive; moves nominally take 1.5 s."""

STANDBY_ARRIVAL_TIMEOUT = 1.7
"""Seconds after which a machine that was sent to the standby pool may be taken out again."""


class PoolRebalancer:
    """Plan and order the machine moves of one term."""

    def __init__(
        self,
        shard: Shard,
        term: Term,
        ports: Ports,
        orders: MachineOrders,
        wake: Callable[[], None],
    ) -> None:
        self._shard = shard
        self._term = term
        self._ports = ports
        self._orders = orders
        self._wake = wake
        self._sizer = PoolSizer()
        self._demand = DemandMeter(shard, clock.read())
        self._machines: dict[str, Machine] = {}
        self._listed_at = float("-inf")
        self._lacks_machines = False
        """Whether a pool needed more machines than were available at the last check."""

        self._arriving: dict[str, tuple[str, float]] = {}
        """Moving machines, each with its target pool and the time when the move was ordered or
        first seen."""

        self._unanswered = UnansweredMoves()
        self._division = MachineDivision()
        self._logged_figures: dict[str, tuple[int, int]] = {}
        """Machines and required machines of each pool, as last logged."""

    async def run(self) -> None:
        """Order moves until cancelled."""
        while True:
            policy = self._shard.policy
            standby = _standby(policy) if policy else None
            if policy and standby and await self._orders.load():
                try:
                    await self._check(policy, standby)
                except (NotSentError, NoAnswerError) as error:
                    log.warning("machine moves postponed", extra={"why": str(error)})
                    self._division.suspend(self._shard.ledger.by_machine())
            await anyio.sleep(POLL_INTERVAL)

    def expects(self, now: float) -> bool:
        """Return whether a machine may arrive at any moment."""
        policy = self._shard.policy
        standby = _standby(policy) if policy else None
        return any(
            pool != standby and now > since + MIN_MOVE_DURATION
            for pool, since in self._arriving.values()
        )

    async def _check(self, policy: WorkPolicy, standby: str) -> None:
        now = clock.read()
        is_list_due = now > self._listed_at + self._list_interval(standby)
        if is_list_due:
            machines = await self._ports.machines.list_machines()
            self._machines = {item.name: item for item in machines}
            self._listed_at = now
        executors = self._shard.ledger.by_machine()
        if is_list_due:
            self._inherit_moves(executors, now)
            self._unanswered.resolve_listed(self._machines)
        self._process_arrivals(standby, executors, now)
        await self._repeat_unanswered(executors, now)
        arriving = {name: pool for name, (pool, _) in self._arriving.items()}
        ordered = self._orders.ordered_by_previous_owner(now)
        snapshot = MachineSnapshot(executors, self._machines, arriving, ordered)
        spare = self._spare_machines(standby, executors, now)
        pools = self._demand.measure(policy, standby, snapshot, len(spare), now)
        self._log_needs(pools)
        idle = self._idle_machines(executors, now)
        plan = self._sizer.plan(pools, standby, spare, idle, now)
        self._division.apply(plan, len(spare), executors, now)
        moves = plan.moves
        coming = Counter(move.pool for move in moves)
        self._lacks_machines = any(
            pool.machines + coming[pool.service] < pool.wanted for pool in pools
        )
        if not moves:
            return
        for move in moves:
            self._expect_arrival(move.machine, move.pool, now)
        await self._orders.announce({move.machine: move.pool for move in moves})
        announced = clock.read()
        unsent = await self._send(moves)
        if unsent:
            took = {
                "announced": round(announced - now, 3),
                "sent": round(clock.read() - announced, 3),
            }
            log.info("moves left", extra={"planned": len(moves), "left": unsent, **took})

    def _list_interval(self, standby: str) -> float:
        """Return the seconds between two reads of the machine list."""
        is_any_moving = any(
            item.pool == standby and item.state is not MachineState.UP
            for item in self._machines.values()
        )
        return SHORT_LIST_INTERVAL if self._lacks_machines and is_any_moving else LIST_INTERVAL

    async def _send(self, moves: list[MachineMove]) -> int:
        """Send announced orders concurrently; return how many must not be sent any more.

        Those were announced too long ago, or their machine has been given work meanwhile.
        """
        waiting = iter(moves)
        unsent_moves: list[MachineMove] = []

        async def send_next() -> None:
            for move in waiting:
                executor = self._shard.ledger.by_machine().get(move.machine)
                is_idle = executor is None or not executor.runs
                if is_idle and self._orders.is_fresh(move.machine, clock.read()):
                    await self._move(move, executor)
                else:
                    self._stop_expecting(move.machine)
                    unsent_moves.append(move)

        async with anyio.create_task_group() as senders:
            for _ in range(min(MAX_CONCURRENT_MOVES, len(moves))):
                senders.start_soon(send_next)
        return len(unsent_moves)

    async def _repeat_unanswered(self, executors: dict[str, Executor], now: float) -> None:
        """Repeat the orders whose outcome is not known; one that is announced too slowly is due
        again."""
        moves = self._unanswered.due(now)[:MAX_CONCURRENT_MOVES]
        if not moves:
            return
        await self._orders.announce({move.machine: move.pool for move in moves})
        async with anyio.create_task_group() as senders:
            for move in moves:
                if self._orders.is_fresh(move.machine, clock.read()):
                    senders.start_soon(self._move, move, executors.get(move.machine))

    def _spare_machines(
        self, standby: str, executors: dict[str, Executor], now: float
    ) -> list[str]:
        """Return the machines of the standby pool that may be moved, the best ones last.

        Machines of a zone in which no executor is reachable come first, since they would be
        unusable. Machines of evacuated zones stay where they are.
        """
        zones = {executor.facts.zone for executor in executors.values()}
        reachable_zones = {item.facts.zone for item in executors.values() if item.is_healthy(now)}
        spare = [
            item
            for item in self._machines.values()
            if item.pool == standby
            and item.state is MachineState.UP
            and item.zone not in self._shard.ledger.evacuated_zones
            and item.name not in executors
            and not self._orders.is_claimed(item.name)
            and self._orders.may_order(item.name, now)
        ]
        spare.sort(key=lambda item: item.zone not in zones - reachable_zones)
        return [item.name for item in spare]

    def _log_needs(self, pools: list[PoolDemand]) -> None:
        """Log each pool whose size or demand has changed, with the figures behind the decision."""
        for pool in pools:
            figures = (pool.machines, pool.wanted)
            if self._logged_figures.get(pool.service) == figures:
                continue
            self._logged_figures[pool.service] = figures
            log.info(
                "pool sized",
                extra={
                    "pool": pool.service,
                    "machines": pool.machines,
                    "wanted": pool.wanted,
                    "floor": pool.floor,
                    "cores": round(pool.wanted_cores, 1),
                    "listed": round(clock.read() - self._listed_at, 3),
                },
            )

    def _expect_arrival(self, machine: str, pool: str, now: float) -> None:
        """Expect a machine to arrive, and claim it so that no other order is given for it.

        No task starts on it before an executor of its target pool is there.
        """
        self._arriving[machine] = (pool, now)
        self._orders.claim(machine, ClaimPurpose.MOVE)
        self._shard.ledger.cordon_machine(machine, joins=pool)

    def _stop_expecting(self, machine: str) -> None:
        """Stop expecting a machine: release the claim on it, and let tasks start there."""
        self._arriving.pop(machine, None)
        self._unanswered.resolve(machine)
        self._orders.release(machine, ClaimPurpose.MOVE)
        if not self._orders.is_claimed(machine):
            self._shard.ledger.uncordon_machine(machine)

    def _inherit_moves(self, executors: dict[str, Executor], now: float) -> None:
        """Expect the machines that the list shows as moving by order of a previous owner.

        The list names their target pool. No executor runs on them, although a registration may
        remain.
        """
        for item in self._machines.values():
            if item.state is not MachineState.MOVING or item.name in self._arriving:
                continue
            self._expect_arrival(item.name, item.pool, now)
            fields = {"machine": item.name, "pool": item.pool, "token": self._term.token}
            log.info("machine on its way", extra={**fields, "entry": item.name in executors})

    def _process_arrivals(self, standby: str, executors: dict[str, Executor], now: float) -> None:
        """Stop expecting machines that have arrived or whose arrival is overdue."""
        for name, (pool, since) in list(self._arriving.items()):
            executor = executors.get(name)
            bound = STANDBY_ARRIVAL_TIMEOUT if pool == standby else ARRIVAL_TIMEOUT
            if executor is not None and executor.facts.service == pool:
                self._stop_expecting(name)
            elif now > since + bound and name not in self._unanswered:
                self._handle_missed_arrival(name, executor, since)

    def _handle_missed_arrival(self, name: str, executor: Executor | None, since: float) -> None:
        """Stop expecting an overdue machine; if an executor is registered on it, read the machine
        list first.

        The registration of its previous executor may remain although the move took effect. If that
        executor were uncordoned, tasks would be placed on a terminated executor and wait there
        until its lease has expired.
        """
        if executor is None:
            self._stop_expecting(name)
            return
        if self._listed_at <= since + LIST_LAG:
            self._listed_at = float("-inf")
            return
        pool, _ = self._arriving[name]
        self._stop_expecting(name)
        machine = self._machines.get(name)
        if machine is not None and machine.pool == pool:
            self._record_termination(executor)
        elif machine is None:
            # One list proves nothing about a machine that it leaves out; the executor itself does.
            executor.require_answer(clock.read())
            fields = {"machine": name, "executor": executor.name, "runs": len(executor.runs)}
            log.warning("overdue machine not listed", extra=fields)

    def _record_termination(self, executor: Executor) -> None:
        """Record that a machine has changed its pool, which terminates the executor on it at
        once."""
        facts = executor.facts
        self._shard.mark_terminated(
            facts.executor,
            facts.incarnation,
            EndProof.MACHINE_ORDERED,
            clock.read(),
            time.time(),
        )

    def _idle_machines(self, executors: dict[str, Executor], now: float) -> dict[str, list[str]]:
        """Return the machines that could leave their pool now, by pool."""
        idle: defaultdict[str, list[str]] = defaultdict(list)
        for name, executor in executors.items():
            if executor.runs or executor.unsaved_ends or executor.withheld:
                continue
            if not executor.is_healthy(now):
                continue
            if self._orders.may_order(name, now) and not self._orders.is_claimed(name):
                idle[executor.facts.service].append(name)
        return idle

    async def _move(self, move: MachineMove, executor: Executor | None) -> None:
        fields = {"machine": move.machine, "pool": move.pool, "reason": move.reason}
        ordered = incarnation_id(executor) if executor is not None else ""
        try:
            await self._ports.machines.move(move.machine, move.pool, self._orders.duty)
        except UpkeepRefusedError as error:
            log.warning("machine move refused", extra={**fields, "why": error.reason.value})
            self._listed_at = float("-inf")
            if move.machine in self._unanswered and error.reason is UpkeepRefusal.BUSY:
                self._unanswered.add(move, clock.read())  # it may be on its way by an earlier order
            else:
                self._stop_expecting(move.machine)
            return
        except (NotSentError, NoAnswerError) as error:
            log.warning("machine move unanswered", extra={**fields, "why": str(error)})
            self._listed_at = float("-inf")
            if isinstance(error, NoAnswerError) or move.machine in self._unanswered:
                self._unanswered.add(move, clock.read())
            return
        self._unanswered.resolve(move.machine)
        log.info("machine moved", extra={**fields, "token": self._term.token})
        if executor is not None and incarnation_id(executor) == ordered:
            self._record_termination(executor)
        elif executor is not None:
            # The answer was late: the machine is back, with the next incarnation under the same id.
            self._stop_expecting(move.machine)
        listed_machine = self._machines.get(move.machine)
        if listed_machine is not None:
            self._machines[move.machine] = replace(listed_machine, pool=move.pool, executor=None)
        self._wake()


def _standby(policy: WorkPolicy) -> str | None:
    """Return the name of the service whose machines are switched off on standby, if any."""
    return next((item.name for item in policy.services.values() if item.standby), None)
