"""Let machines follow demand: look at all pools, order moves, and give nothing away in use."""

from __future__ import annotations

import logging
import time
from collections import Counter, defaultdict
from dataclasses import replace
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.coordination.machine_orders import ARRIVAL_BOUND, Purpose
from vanillawell.coordination.pool_demand import DemandMeter, MachineView
from vanillawell.protocol.call_errors import NoAnswerError, NotSentError
from vanillawell.protocol.machine_calls import MachineState, UpkeepRefusedError
from vanillawell.state.pool_sizing import MachineMove, PoolDemand, PoolSizer
from vanillawell.state.upkeep import LIST_LAG

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

PAUSE = 0.05
"""Seconds between two looks; a peak grows by a tenth of its height in 0.2 s."""

LIST_PAUSE = 5.0
"""Seconds between two readings of the list of machines, which are priced; the registry tells of
machines that arrive."""

SHORT_LIST_PAUSE = 0.5
"""Seconds between two readings while a pool lacks machines and some of the standby pool were not
up in the last one: they are on their way there for about 1.5 s, and may have come since."""

MOVES_AT_ONCE = 8
"""Orders for moves that are under way at the same time.

A peak asks for dozens of machines at once. Sent one after the other, each order waits for the
answer to the one before, and most are too old when their turn comes."""

USUAL_MOVE = 1.2
"""Seconds after which a moved machine may come at any moment; moves are said to take 1.5 s."""

STANDBY_BOUND = 1.7
"""Seconds after which a machine that was sent to the standby pool may be taken out again."""


class PoolRebalancer:
    """Own the moves of one term."""

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
        self._listed = float("-inf")
        self._lacking = False
        """Whether a pool needed more machines than were to be had at the last look."""

        self._arriving: dict[str, tuple[str, float]] = {}
        """Machines on their way: the pool, and when the move was ordered, or first seen."""

        self._told: dict[str, tuple[int, int]] = {}
        """Machines and need of each pool, as last logged."""

    async def run(self) -> None:
        """Order moves until cancelled."""
        while True:
            policy = self._shard.policy
            standby = _standby(policy) if policy else None
            if policy and standby and await self._orders.load():
                try:
                    await self._look(policy, standby)
                except (NotSentError, NoAnswerError) as error:
                    log.warning("moves wait", extra={"why": str(error)})
            await anyio.sleep(PAUSE)

    def expects(self, now: float) -> bool:
        """Tell whether a machine should come any moment."""
        policy = self._shard.policy
        standby = _standby(policy) if policy else None
        return any(
            pool != standby and now > since + USUAL_MOVE for pool, since in self._arriving.values()
        )

    async def _look(self, policy: WorkPolicy, standby: str) -> None:
        now = clock.read()
        listed = now > self._listed + self._list_pause(standby)
        if listed:
            machines = await self._ports.machines.list_machines()
            self._machines = {item.name: item for item in machines}
            self._listed = now
        lives = self._shard.ledger.by_machine()
        if listed:
            self._take_over_moves(lives, now)
        self._note_arrivals(standby, lives, now)
        on_their_way = {name: pool for name, (pool, _) in self._arriving.items()}
        ordered = self._orders.ordered_by_previous_owner(now)
        view = MachineView(lives, self._machines, on_their_way, ordered)
        pools = self._demand.measure(policy, standby, view, now)
        self._log_needs(pools)
        spare = self._spare(standby, lives, now)
        idle = self._idle(lives, now)
        moves = self._sizer.plan(pools, standby, spare, idle, now)
        coming = Counter(move.pool for move in moves)
        self._lacking = any(pool.machines + coming[pool.service] < pool.wanted for pool in pools)
        if not moves:
            return
        for move in moves:
            self._close(move, lives.get(move.machine))
        await self._orders.announce({move.machine: move.pool for move in moves})
        announced = clock.read()
        left = await self._send(moves, lives)
        if left:
            took = {
                "announced": round(announced - now, 3),
                "sent": round(clock.read() - announced, 3),
            }
            log.info("moves left", extra={"planned": len(moves), "left": left, **took})

    def _list_pause(self, standby: str) -> float:
        """Return the seconds between two readings of the list of machines."""
        hidden = any(
            item.pool == standby and item.state is not MachineState.UP
            for item in self._machines.values()
        )
        return SHORT_LIST_PAUSE if self._lacking and hidden else LIST_PAUSE

    async def _send(self, moves: list[MachineMove], lives: dict[str, Executor]) -> int:
        """Send announced orders, several at a time; returns how many were too late to go out."""
        waiting = iter(moves)
        late: list[MachineMove] = []

        async def send_next() -> None:
            for move in waiting:
                executor = lives.get(move.machine)
                if self._orders.is_fresh(clock.read()):
                    await self._move(move, executor)
                else:
                    self._reopen(move.machine, executor)
                    late.append(move)

        async with anyio.create_task_group() as senders:
            for _ in range(min(MOVES_AT_ONCE, len(moves))):
                senders.start_soon(send_next)
        return len(late)

    def _spare(self, standby: str, lives: dict[str, Executor], now: float) -> list[str]:
        """Return the machines of the standby pool that may be moved, the best ones last.

        Machines of a zone in which no executor can be reached would come and be of no use.
        """
        zones = {executor.facts.zone for executor in lives.values()}
        reached = {item.facts.zone for item in lives.values() if item.is_healthy(now)}
        spare = [
            item
            for item in self._machines.values()
            if item.pool == standby
            and item.state is MachineState.UP
            and item.name not in lives
            and not self._orders.is_claimed(item.name)
            and self._orders.may_order(item.name, now)
        ]
        spare.sort(key=lambda item: item.zone not in zones - reached)
        return [item.name for item in spare]

    def _log_needs(self, pools: list[PoolDemand]) -> None:
        """Log each pool whose need or size has changed, with the figures that decided it."""
        for pool in pools:
            figures = (pool.machines, pool.wanted)
            if self._told.get(pool.service) == figures:
                continue
            self._told[pool.service] = figures
            log.info(
                "pool sized",
                extra={
                    "pool": pool.service,
                    "machines": pool.machines,
                    "wanted": pool.wanted,
                    "floor": pool.floor,
                    "cores": round(pool.wanted_cores, 1),
                    "listed": round(clock.read() - self._listed, 3),
                },
            )

    def _expect(self, machine: str, pool: str, now: float) -> None:
        """Count on a machine to come, and let nothing else be ordered for it meanwhile."""
        self._arriving[machine] = (pool, now)
        self._orders.claim(machine, Purpose.MOVE)

    def _expect_no_more(self, machine: str) -> None:
        """Count on a machine no more, and let others order it."""
        self._arriving.pop(machine, None)
        self._orders.release(machine, Purpose.MOVE)

    def _close(self, move: MachineMove, executor: Executor | None) -> None:
        """Let nothing start on a machine from the moment its move is decided."""
        self._expect(move.machine, move.pool, clock.read())
        if executor is not None:
            executor.cordoned = True

    def _reopen(self, machine: str, executor: Executor | None) -> None:
        """Let a machine that was not moved take work again."""
        self._expect_no_more(machine)
        if executor is not None:
            executor.cordoned = False

    def _take_over_moves(self, lives: dict[str, Executor], now: float) -> None:
        """Count on machines that the list shows on their way by order of a former owner.

        It names the pool that they go to. Nothing lives on them, though an entry may still stand.
        """
        for item in self._machines.values():
            if item.state is not MachineState.MOVING or item.name in self._arriving:
                continue
            self._expect(item.name, item.pool, now)
            executor = lives.get(item.name)
            if executor is not None and executor.facts.service != item.pool:
                executor.cordoned = True
            fields = {"machine": item.name, "pool": item.pool, "token": self._term.token}
            log.info("machine on its way", extra={**fields, "entry": executor is not None})

    def _note_arrivals(self, standby: str, lives: dict[str, Executor], now: float) -> None:
        """Count a machine where it is once it has come, or has not come in time."""
        for name, (pool, since) in list(self._arriving.items()):
            executor = lives.get(name)
            bound = STANDBY_BOUND if pool == standby else ARRIVAL_BOUND
            if executor is not None and executor.facts.service == pool:
                self._expect_no_more(name)
            elif now > since + bound:
                self._give_up_waiting(name, executor, since)

    def _give_up_waiting(self, name: str, executor: Executor | None, since: float) -> None:
        """Stop waiting for a machine; if its order got no answer, ask what became of it first.

        The entry of its former executor may still stand. Opened to new work, tasks would go to
        an executor that has ended, and wait there until its lease is surely over.
        """
        if executor is None:
            self._expect_no_more(name)
            return
        if self._listed <= since + LIST_LAG:
            self._listed = float("-inf")
            return
        pool, _ = self._arriving[name]
        self._expect_no_more(name)
        machine = self._machines.get(name)
        if machine is None or machine.pool == pool:
            self._end_life(executor)
        else:
            executor.cordoned = False

    def _end_life(self, executor: Executor) -> None:
        """Take in that a machine has changed its pool, which ends the executor on it at once."""
        facts = executor.facts
        self._shard.mark_terminated(facts.executor, facts.incarnation, clock.read(), time.time())

    def _idle(self, lives: dict[str, Executor], now: float) -> dict[str, list[str]]:
        """Return by pool the machines that could leave it now."""
        idle: defaultdict[str, list[str]] = defaultdict(list)
        for name, executor in lives.items():
            if executor.runs or executor.unsaved_ends or not executor.accepts_tasks(now):
                continue
            if self._orders.may_order(name, now) and not self._orders.is_claimed(name):
                idle[executor.facts.service].append(name)
        return idle

    async def _move(self, move: MachineMove, executor: Executor | None) -> None:
        fields = {"machine": move.machine, "pool": move.pool, "reason": move.reason}
        try:
            await self._ports.machines.move(move.machine, move.pool, self._orders.duty)
        except UpkeepRefusedError as error:
            log.warning("move refused", extra={**fields, "why": error.reason.value})
            self._listed = float("-inf")
            self._reopen(move.machine, executor)
            return
        except (NotSentError, NoAnswerError) as error:
            log.warning("move unanswered", extra={**fields, "why": str(error)})
            self._listed = float("-inf")
            return
        log.info("machine moved", extra={**fields, "token": self._term.token})
        if executor is not None:
            self._end_life(executor)
        known = self._machines.get(move.machine)
        if known is not None:
            self._machines[move.machine] = replace(known, pool=move.pool, executor=None)
        self._wake()


def _standby(policy: WorkPolicy) -> str | None:
    """Return the service whose machines wait switched off, if there is one."""
    return next((item.name for item in policy.services.values() if item.standby), None)
