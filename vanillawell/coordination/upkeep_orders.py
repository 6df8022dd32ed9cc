"""Order the upkeep of machines, and find out what becomes of orders without an answer."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.coordination.machine_orders import Purpose
from vanillawell.protocol.call_errors import NoAnswerError, NotSentError
from vanillawell.protocol.machine_calls import UpkeepRefusal, UpkeepRefusedError
from vanillawell.state.availability import mark_runs_away, may_interrupt_all
from vanillawell.state.upkeep import UNKNOWN_INCARNATION, incarnation_id

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from vanillawell.coordination.machine_orders import MachineOrders
    from vanillawell.coordination.ports import Ports
    from vanillawell.coordination.term import Term
    from vanillawell.state.executors import Executor
    from vanillawell.state.shard import Shard
    from vanillawell.state.upkeep import WaveProgress

log = logging.getLogger(__name__)

REPEAT_PAUSE = 0.5
"""Seconds before an order without an answer is repeated; if it was done, that changes nothing."""

ORDERS_AT_ONCE = 8
"""Orders for upkeep that are under way at the same time."""


class UpkeepOrders:
    """Own the orders for upkeep of one term.

    From its decision until its answer a machine is claimed and closed: nothing else is ordered for
    it, and nothing starts there, whichever executor registers on it meanwhile.
    """

    def __init__(
        self,
        shard: Shard,
        term: Term,
        ports: Ports,
        orders: MachineOrders,
        save: Callable[[WaveProgress], Awaitable[None]],
        wake: Callable[[], None],
    ) -> None:
        """Take what stores the progress of a wave, and what tells the owner of news."""
        self._shard = shard
        self._term = term
        self._machines = ports.machines
        self._orders = orders
        self._save = save
        self._wake = wake

    def may_decide(self, machine: str, now: float) -> bool:
        """Tell whether nobody else has ordered, or is about to order, anything for a machine."""
        return self._orders.may_order(machine, now) and not self._orders.is_claimed(machine)

    def reserve(self, machine: str) -> None:
        """Keep a machine whose upkeep was decided from all other use until it is settled."""
        self._orders.claim(machine, Purpose.UPKEEP)
        self._shard.ledger.cordon_machine(machine)

    def _settle(self, machine: str) -> None:
        """Let a machine be used again, since its order was answered."""
        self._orders.release(machine, Purpose.UPKEEP)
        self._shard.ledger.uncordon_machine(machine)

    async def begin(self, progress: WaveProgress, machines: Iterable[str]) -> None:
        """Decide on the upkeep of machines, store that, and order it for all of them at once."""
        names = list(machines)
        if not names:
            return
        for name in names:
            progress.decide(name, UNKNOWN_INCARNATION)
            self.reserve(name)
        await self._save(progress)
        lives = self._shard.ledger.by_machine()
        progress.away.update({name: incarnation_id(lives[name]) for name in names if name in lives})
        await self._order(progress, names)

    async def settle_doubtful(self, progress: WaveProgress, now: float) -> None:
        """Repeat orders without an answer: a wave must not be called complete before they begin."""
        due = [
            name
            for name in progress.unconfirmed
            if now > progress.ordered.get(name, 0.0) + REPEAT_PAUSE
            and self._orders.may_order(name, now)
        ]
        if due:
            await self._order(progress, due)

    async def _order(self, progress: WaveProgress, names: list[str]) -> None:
        await self._orders.announce(dict.fromkeys(names, ""))
        waiting = iter(names)

        async def send_next() -> None:
            for name in waiting:
                await self._send(progress, name)

        async with anyio.create_task_group() as senders:
            for _ in range(min(ORDERS_AT_ONCE, len(names))):
                senders.start_soon(send_next)

    async def _send(self, progress: WaveProgress, name: str) -> None:
        """Send one announced order, unless it would take away what has to stay at work."""
        now = clock.read()
        progress.ordered[name] = now
        executor = self._shard.ledger.by_machine().get(name)
        fields = {"wave": progress.wave.number, "machine": name, "token": self._term.token}
        if not self._orders.is_fresh(now):
            log.info("upkeep waits for a quicker announcement", extra=fields)
            return
        if executor is not None and not may_interrupt_all(executor):
            log.warning("upkeep waits for lasting tasks", extra={**fields, "on": executor.name})
            progress.closed.setdefault(name, now)
            return
        if executor is not None:
            mark_runs_away(executor)
        try:
            await self._machines.begin_upkeep(name, progress.wave.number, self._orders.duty)
        except UpkeepRefusedError as error:
            log.warning("upkeep refused", extra={**fields, "reason": error.reason.value})
            self._refused(progress, name, error.reason)
        except (NotSentError, NoAnswerError) as error:
            log.warning("upkeep unanswered", extra={**fields, "why": str(error)})
        else:
            self._begun(progress, name, executor)
            log.info("upkeep begun", extra={**fields, "away": len(progress.away)})

    def _begun(self, progress: WaveProgress, name: str, executor: Executor | None) -> None:
        progress.confirmed.add(name)
        progress.closed.pop(name, None)
        if executor is not None and progress.away.get(name) == incarnation_id(executor):
            facts = executor.facts
            self._shard.mark_terminated(
                facts.executor, facts.incarnation, clock.read(), time.time()
            )
        self._settle(name)
        self._wake()

    def _refused(self, progress: WaveProgress, name: str, reason: UpkeepRefusal) -> None:
        """Let a machine go whose upkeep was refused; it is decided anew if that can help.

        A machine that is not up may be away for this very order, sent by a former owner.
        """
        if reason in (UpkeepRefusal.NOT_OF_WAVE, UpkeepRefusal.NO_SUCH_MACHINE):
            progress.confirmed.add(name)
        else:
            progress.decided.discard(name)
        progress.away.pop(name, None)
        self._settle(name)
