"""Ask the advice service which executors may run a step, for queues that demand it."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.protocol.call_errors import NoAnswerError, NotSentError
from vanillawell.protocol.machine_calls import AdviceBusyError
from vanillawell.state.executors import by_service
from vanillawell.state.placement import cpu_utilisation

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from vanillawell.protocol.machine_calls import AdviceCalls
    from vanillawell.state.executors import Executor
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


@dataclass(frozen=True, slots=True)
class Question:
    """What the service is asked for one step."""

    step: StepProgress
    rule: AdviceRule
    executors: Sequence[str]


class AdviceRequester:
    """Ask for one step at a time: the service answers one call of each machine after the other.

    Asked for are steps with tasks that wait, and those with lasting tasks that have to go
    elsewhere: these are stopped only once it is known that another executor may run them.
    """

    def __init__(self, shard: Shard, advice: AdviceCalls, wake: Callable[[], None]) -> None:
        self._shard = shard
        self._advice = advice
        self._wake = wake
        self._valid_until: dict[tuple[str, int, int], float] = {}

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            self._drop_expired(clock.read())
            question = self._next_question(clock.read())
            if question is None:
                await anyio.sleep(LOOK_PAUSE)
                continue
            await self._ask(question)

    def _drop_expired(self, now: float) -> None:
        for key in [key for key, until in self._valid_until.items() if now >= until]:
            del self._valid_until[key]
            self._shard.tickets.pop(key, None)

    def _rule(self, step: StepProgress) -> AdviceRule | None:
        queue = self._shard.queue_of(step.record.job)
        return queue.advice if queue else None

    def _next_question(self, now: float) -> Question | None:
        """Return what to ask for the step without tickets that has the least time left.

        Steps of which nobody could run a task now are passed over: others must not wait for them.
        """
        without = [
            step
            for step in self._shard.job_table.open_steps
            if self._rule(step) and _key(step) not in self._shard.tickets
        ]
        if not without:
            return None
        moved = _steps_to_move(self._shard.ledger.executors.values())
        lacking = [step for step in without if step.has_waiting or step in moved]
        usable: dict[str, list[str]] = {}
        for step in sorted(lacking, key=lambda step: step.record.deadline):
            queue = self._shard.queue_of(step.record.job)
            assert queue is not None and queue.advice is not None
            if queue.service not in usable:
                usable[queue.service] = self._usable(queue.service, now)
            if usable[queue.service]:
                return Question(step, queue.advice, usable[queue.service])
        return None

    def _usable(self, service: str, now: float) -> list[str]:
        """Return the executors to ask about, those with least work first."""
        pool = by_service(self._shard.ledger.executors.values(), service)
        usable = sorted((item for item in pool if item.accepts_tasks(now)), key=cpu_utilisation)
        return [item.name for item in usable][:MOST_EXECUTORS]

    async def _ask(self, question: Question) -> None:
        step, names, now = question.step, question.executors, clock.read()
        try:
            tickets = await self._advice.request_tickets(step.tasks[0].task_id, names)
        except (NotSentError, NoAnswerError, AdviceBusyError) as error:
            fields = {"job": step.record.job.job_id, "step": step.position, "why": repr(error)}
            log.warning("no advice", extra=fields)
            await anyio.sleep(BUSY_PAUSE)
            return
        self._shard.tickets[_key(step)] = tickets
        self._valid_until[_key(step)] = now + max(0.0, question.rule.validity - USE_MARGIN)
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


def _steps_to_move(executors: Iterable[Executor]) -> set[StepProgress]:
    """Return the steps with lasting tasks on executors that are emptied."""
    return {
        run.task.step
        for item in executors
        if item.must_drain
        for run in item.runs.values()
        if run.task.step.spec.long_running
    }
