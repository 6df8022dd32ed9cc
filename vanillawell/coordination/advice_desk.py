"""Ask the advice service which executors may run a step, for queues that demand it."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.protocol.calls import NoAnswerError, NotSentError
from vanillawell.protocol.machine_calls import AdviceBusyError
from vanillawell.state.executors import by_service
from vanillawell.state.placement import load

if TYPE_CHECKING:
    from collections.abc import Callable

    from vanillawell.protocol.machine_calls import AdviceCalls
    from vanillawell.state.shard import Shard
    from vanillawell.state.work import StepProgress
    from vanillawell.state.work_policy import AdviceRule

log = logging.getLogger(__name__)

MOST_EXECUTORS = 100
"""Executors that one call may ask about, as published."""

LOOK_PAUSE = 0.02
"""Seconds between two looks for steps that need advice."""

BUSY_PAUSE = 0.1
"""Seconds before the service is asked again after it was busy or silent."""

USE_MARGIN = 0.5
"""Seconds of a ticket's validity that are kept for storing the decision and sending the order."""


class AdviceDesk:
    """Ask for one step at a time: the service answers one call of each machine after the other."""

    def __init__(self, shard: Shard, advice: AdviceCalls, wake: Callable[[], None]) -> None:
        self._shard = shard
        self._advice = advice
        self._wake = wake
        self._valid_until: dict[tuple[str, int, int], float] = {}

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            self._drop_expired(clock.read())
            step = self._next_step()
            if step is None:
                await anyio.sleep(LOOK_PAUSE)
                continue
            await self._ask(step)

    def _drop_expired(self, now: float) -> None:
        for key in [key for key, until in self._valid_until.items() if now >= until]:
            del self._valid_until[key]
            self._shard.tickets.pop(key, None)

    def _rule(self, step: StepProgress) -> AdviceRule | None:
        queue = self._shard.queue_of(step.record.job)
        return queue.advice if queue else None

    def _next_step(self) -> StepProgress | None:
        """Return the step without tickets that has the least time left."""
        lacking = (
            step
            for step in self._shard.board.open_steps
            if self._rule(step) and _key(step) not in self._shard.tickets and step.waiting
        )
        return min(lacking, key=lambda step: step.record.late_by, default=None)

    async def _ask(self, step: StepProgress) -> None:
        queue = self._shard.queue_of(step.record.job)
        rule = self._rule(step)
        assert queue is not None and rule is not None
        pool = by_service(self._shard.ledger.executors.values(), queue.service)
        now = clock.read()
        usable = sorted((item for item in pool if item.takes_work(now)), key=load)
        names = [item.name for item in usable][:MOST_EXECUTORS]
        if not names:
            await anyio.sleep(BUSY_PAUSE)
            return
        try:
            tickets = await self._advice.ask(step.tasks[0].task_id, names)
        except (NotSentError, NoAnswerError, AdviceBusyError) as error:
            fields = {"job": step.record.job.job_id, "step": step.position, "why": repr(error)}
            log.warning("no advice", extra=fields)
            await anyio.sleep(BUSY_PAUSE)
            return
        self._shard.tickets[_key(step)] = tickets
        self._valid_until[_key(step)] = now + max(0.0, rule.validity - USE_MARGIN)
        log.info(
            "advice taken",
            extra={
                "job": step.record.job.job_id,
                "step": step.position,
                "asked": len(names),
                "allowed": len(tickets),
                "seconds": round(clock.read() - now, 3),
            },
        )
        self._wake()


def _key(step: StepProgress) -> tuple[str, int, int]:
    return (step.record.job.job_id, step.occurrence, step.position)
