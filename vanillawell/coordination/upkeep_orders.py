"""Order the upkeep of machines, and resolve the outcome of unanswered orders."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.coordination.machine_orders import ClaimPurpose
from vanillawell.protocol.call_errors import NoAnswerError, NotSentError
from vanillawell.protocol.machine_calls import UpkeepRefusal, UpkeepRefusedError
from vanillawell.state.availability import mark_runs_away, may_interrupt_all, unmark_runs_away
from vanillawell.state.end_proofs import EndProof
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

REPEAT_DELAY = 0.5
"""Seconds before an unanswered order is repeated; repeating an executed order has no effect."""

MAX_CONCURRENT_ORDERS = 8
"""Maximum number of concurrent upkeep orders."""


class UpkeepOrders:
    """Send the upkeep orders of one term.

    From the decision until the answer a machine is claimed and cordoned: no other order is given
    for it, and no task starts on it, even if an executor registers on it in between.
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
        """Initialise the orders; `save` stores the progress of a wave, `wake` wakes the shard
        owner."""
        self._shard = shard
        self._term = term
        self._machines = ports.machines
        self._orders = orders
        self._save = save
        self._wake = wake

    def may_decide(self, machine: str, now: float) -> bool:
        """Return whether no other order for a machine has been given or is planned."""
        return self._orders.may_order(machine, now) and not self._orders.is_claimed(machine)

    def reserve(self, machine: str) -> None:
        """Claim and cordon a machine whose upkeep was decided, until its order is answered."""
        self._orders.claim(machine, ClaimPurpose.UPKEEP)
        self._shard.ledger.cordon_machine(machine)

    def _release(self, machine: str) -> None:
        """Uncordon a machine and release its claim, since its order was answered."""
        self._orders.release(machine, ClaimPurpose.UPKEEP)
        self._shard.ledger.uncordon_machine(machine)

    async def begin(self, progress: WaveProgress, machines: Iterable[str]) -> None:
        """Decide on the upkeep of machines, store the decision, and order the upkeep of all of them
        at once."""
        names = list(machines)
        if not names:
            return
        for name in names:
            progress.decide(name, UNKNOWN_INCARNATION)
            self.reserve(name)
        await self._save(progress)
        executors = self._shard.ledger.by_machine()
        progress.away.update(
            {name: incarnation_id(executors[name]) for name in names if name in executors}
        )
        await self._order(progress, names)

    async def repeat_unconfirmed(self, progress: WaveProgress, now: float) -> None:
        """Repeat unanswered orders: a wave must not be completed before these upkeeps have
        begun."""
        due = [
            name
            for name in progress.unconfirmed
            if now > progress.ordered.get(name, 0.0) + REPEAT_DELAY
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
            for _ in range(min(MAX_CONCURRENT_ORDERS, len(names))):
                senders.start_soon(send_next)

    async def _send(self, progress: WaveProgress, name: str) -> None:
        """Send one announced order, unless it would interrupt tasks that must keep running."""
        now = clock.read()
        progress.ordered[name] = now
        executor = self._shard.ledger.by_machine().get(name)
        fields = {"wave": progress.wave.number, "machine": name, "token": self._term.token}
        if not self._orders.is_fresh(name, now):
            log.info("upkeep order postponed: announcement too old", extra=fields)
            return
        if executor is not None and not may_interrupt_all(executor):
            log.warning(
                "upkeep order postponed: long-running tasks must keep running",
                extra={**fields, "on": executor.name},
            )
            progress.closed.setdefault(name, now)
            return
        if executor is not None:
            mark_runs_away(executor)
        try:
            await self._machines.begin_upkeep(name, progress.wave.number, self._orders.duty)
        except UpkeepRefusedError as error:
            log.warning("upkeep order refused", extra={**fields, "reason": error.reason.value})
            self._handle_refusal(progress, name, error.reason, executor)
        except (NotSentError, NoAnswerError) as error:
            log.warning("upkeep order unanswered", extra={**fields, "why": str(error)})
            if isinstance(error, NoAnswerError):
                progress.possibly_begun.add(name)
        else:
            self._record_begun(progress, name, executor)
            log.info("upkeep begun", extra={**fields, "away": len(progress.away)})

    def _record_begun(self, progress: WaveProgress, name: str, executor: Executor | None) -> None:
        progress.confirmed.add(name)
        progress.closed.pop(name, None)
        if executor is not None and progress.away.get(name) == incarnation_id(executor):
            facts = executor.facts
            self._shard.mark_terminated(
                facts.executor,
                facts.incarnation,
                EndProof.MACHINE_ORDERED,
                clock.read(),
                time.time(),
            )
        self._release(name)
        self._wake()

    def _handle_refusal(
        self, progress: WaveProgress, name: str, reason: UpkeepRefusal, executor: Executor | None
    ) -> None:
        """Release a machine whose upkeep was refused; decide on it again if that can help.

        A machine that is not up may be away because of an earlier order for this upkeep. It keeps
        its place then, and the order is repeated until its answer tells.
        """
        is_final = reason in (UpkeepRefusal.NOT_OF_WAVE, UpkeepRefusal.NO_SUCH_MACHINE)
        if name in progress.possibly_begun and not is_final:
            return
        if executor is not None:
            unmark_runs_away(executor)
        if is_final:
            progress.confirmed.add(name)
        else:
            progress.decided.discard(name)
        progress.away.pop(name, None)
        self._release(name)
