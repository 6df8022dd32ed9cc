"""Request advice on which executors may run a step, for queues that require it."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from operator import itemgetter
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.protocol.call_errors import NoAnswerError, NotSentError
from vanillawell.protocol.machine_calls import AdviceBusyError
from vanillawell.state.advice_order import (
    AdviceOrder,
    AdviceOutlook,
    StepKey,
    key_of,
    steps_to_move,
)
from vanillawell.state.upkeep import incarnation_id

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from vanillawell.protocol.machine_calls import AdviceCalls
    from vanillawell.state.executors import Executor
    from vanillawell.state.progress import StepProgress
    from vanillawell.state.shard import Shard
    from vanillawell.state.work_policy import AdviceRule

log = logging.getLogger(__name__)

MAX_EXECUTORS_PER_CALL = 100
"""Maximum number of executors in one advice request, as published."""

POLL_INTERVAL = 0.02
"""Seconds between two checks for steps that need advice."""

RETRY_DELAY = 0.1
"""Seconds before the service is called again after it was busy or did not answer."""

USE_MARGIN = 0.5
"""Seconds of a ticket's validity that are reserved for storing the decision and sending the
order."""


@dataclass(frozen=True, slots=True)
class AdviceQuery:
    """An advice request for one step."""

    step: StepProgress
    rule: AdviceRule
    executors: Sequence[Executor]


class AdviceRequester:
    """Request tickets for one step at a time, since the service answers a machine's calls in turn.

    Tickets are requested for steps with waiting tasks, and for steps whose long-running tasks have
    to move: these are stopped only once it is known that another executor may run them.
    """

    def __init__(self, shard: Shard, advice: AdviceCalls, wake: Callable[[], None]) -> None:
        self._shard = shard
        self._advice = advice
        self._wake = wake
        self._valid_until: dict[StepKey, float] = {}
        self._barred: dict[StepKey, set[str]] = {}
        """Incarnations of executors that may not run each step, which does not change."""

        self._order = AdviceOrder()

    async def run(self) -> None:
        """Request tickets until cancelled."""
        while True:
            self._drop_expired(clock.read())
            query = self._next_query(clock.read())
            if query is None:
                await anyio.sleep(POLL_INTERVAL)
                continue
            await self._request_tickets(query)

    def _drop_expired(self, now: float) -> None:
        for key in [key for key, until in self._valid_until.items() if now >= until]:
            del self._valid_until[key]
            self._shard.tickets.pop(key, None)
        self._order.forget_ended(self._shard.job_table.open_steps)

    def _next_query(self, now: float) -> AdviceQuery | None:
        """Return the request for the step without tickets that comes first in the order.

        Steps for which no executor is left to ask about that could run a task now are skipped, so
        that they do not delay others.
        """
        waiting = [
            (step, queue)
            for step in self._shard.job_table.open_steps
            if (queue := self._shard.queue_of(step.record.job)) is not None
            and queue.advice is not None
            and key_of(step) not in self._shard.tickets
        ]
        if not waiting:
            return None
        moved = steps_to_move(self._shard.ledger.executors.values())
        outlook = AdviceOutlook(self._shard, self._barred, now)
        queries = []
        for step, queue in waiting:
            moves = step in moved and not step.has_waiting
            executors = outlook.executors(step, queue.service)
            if executors and (moves or step.has_waiting):
                position = self._order.position(step, outlook.prospect(step, queue.service, moves))
                assert queue.advice is not None
                query = AdviceQuery(step, queue.advice, executors[:MAX_EXECUTORS_PER_CALL])
                queries.append((position, query))
        return min(queries, key=itemgetter(0))[1] if queries else None

    async def _request_tickets(self, query: AdviceQuery) -> None:
        step, now = query.step, clock.read()
        asked = {item.name: incarnation_id(item) for item in query.executors}
        self._order.record(step, now)
        try:
            tickets = await self._advice.request_tickets(step.tasks[0].task_id, list(asked))
        except (NotSentError, NoAnswerError, AdviceBusyError) as error:
            fields = {"job": step.record.job.job_id, "step": step.position, "why": repr(error)}
            log.warning("no advice", extra=fields)
            await anyio.sleep(RETRY_DELAY)
            return
        self._record_barred(step, {life for name, life in asked.items() if name not in tickets})
        if tickets:
            self._shard.tickets[key_of(step)] = tickets
            self._valid_until[key_of(step)] = now + max(0.0, query.rule.validity - USE_MARGIN)
        log.info(
            "advice taken",
            extra={
                "job": step.record.job.job_id,
                "step": step.position,
                "asked": len(asked),
                "allowed": len(tickets),
                "seconds": round(clock.read() - now, 3),
            },
        )
        self._wake()

    def _record_barred(self, step: StepProgress, barred: set[str]) -> None:
        """Record which executors may not run a step, and forget those of steps that have ended."""
        if not barred:
            return
        open_steps = {key_of(item) for item in self._shard.job_table.open_steps}
        known = {key: value for key, value in self._barred.items() if key in open_steps}
        self._barred = {**known, key_of(step): known.get(key_of(step), set()) | barred}
