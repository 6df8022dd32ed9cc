"""Look once at all steps that may start, and decide what starts where."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from vanillawell.state.executors import Executor, by_service
from vanillawell.state.placement import FullMemo, StepPlacer

if TYPE_CHECKING:
    from collections.abc import Mapping

    from vanillawell.state.shard import Shard
    from vanillawell.state.work import Run, StepProgress, Task
    from vanillawell.state.work_policy import Queue, WorkPolicy

log = logging.getLogger(__name__)

HELD_BY_CAPACITY = "room"
"""What a step is held by whose tasks find no executor with a place."""


class PlacementPass:
    """One look at all steps that may start."""

    def __init__(self, shard: Shard, policy: WorkPolicy, now: float) -> None:
        self._shard = shard
        self._policy = policy
        self._now = now
        self._memo = FullMemo()
        self._kept_free: set[str] = set()
        self._pools: dict[str, list[Executor]] = {}

    def _pool(self, service: str) -> list[Executor]:
        if service not in self._pools:
            pool = by_service(self._shard.ledger.executors.values(), service)
            self._pools[service] = [item for item in pool if item.accepts_tasks(self._now)]
        return self._pools[service]

    def place(self, step: StepProgress) -> None:
        """Place the waiting tasks of a step as far as there is room."""
        job = step.record.job
        queue = self._shard.queue_of(job)
        if queue is None:
            self._held(step, "no queue")
            return
        if self._memo.hopeless(queue.service, step.spec.reserved):
            self._held(step, HELD_BY_CAPACITY)
            return
        tickets = None
        if queue.advice:
            tickets = self._shard.tickets.get((job.job_id, step.occurrence, step.position))
            if tickets is None:
                self._held(step, "advice")
                return
        placer = StepPlacer(step, self._pool(queue.service), tickets)
        if step.spec.gang:
            self._place_gang(step, placer, tickets)
            return
        for task in step.waiting:
            run = self._place_task(task, placer, tickets, task.number + 1)
            if run is None:
                self._note_full(step, queue, placer)
                return
            self._shard.settle_plan(run)
        step.held_by = ""

    def _held(self, step: StepProgress, reason: str) -> None:
        """Log once what keeps a step's tasks from starting, with the figures that decided it."""
        if step.held_by == reason:
            return
        step.held_by = reason
        job = step.record.job
        limits = self._policy.organisations.get(job.organisation)
        log.info(
            "step held",
            extra={
                "job": job.job_id,
                "step": step.position,
                "held_by": reason,
                "waiting": len(step.waiting),
                "organisation": job.organisation,
                "running": self._shard.ledger.usage(job.organisation).cpu,
                "maximum": limits.maximum.cpu if limits else 0,
                "configuration": self._policy.version,
            },
        )

    def _place_task(
        self, task: Task, placer: StepPlacer, tickets: Mapping[str, str] | None, number: int
    ) -> Run | None:
        spec = task.step.spec
        if not self._allowed(task):
            return None
        kept_free = () if spec.long_running else self._kept_free
        executor = placer.choose(task, kept_free)
        if executor is None:
            return None
        placer.placed(executor)
        ticket = tickets[executor.name] if tickets else ""
        return self._shard.plan(task, executor, number, ticket, self._now)

    def _allowed(self, task: Task) -> bool:
        """Tell whether the task's organisation may have it running too."""
        organisation = task.step.record.job.organisation
        limits = self._policy.organisations.get(organisation)
        if limits is None:
            return True
        return limits.allows(self._shard.ledger.usage(organisation), task.step.spec.need)

    def _place_gang(
        self, step: StepProgress, placer: StepPlacer, tickets: Mapping[str, str] | None
    ) -> None:
        """Place all tasks of a gang or none: a part of it only holds room and waits."""
        if any(task.run is not None for task in step.tasks):
            return
        number = max(task.number for task in step.tasks) + 1
        runs: list[Run] = []
        for task in step.tasks:
            run = self._place_task(task, placer, tickets, number)
            if run is None:
                for planned in runs:
                    self._shard.unplan(planned)
                return
            runs.append(run)
        for run in runs:
            self._shard.settle_plan(run)

    def _note_full(self, step: StepProgress, queue: Queue, placer: StepPlacer) -> None:
        """Spare later steps the search, and keep room for tasks that must run at all times."""
        spec = step.spec
        if not self._allowed(step.waiting[0]):
            self._held(step, "maximum of the organisation")
            return
        self._held(step, HELD_BY_CAPACITY)
        if spec.long_running:
            roomiest = placer.roomiest()
            if roomiest:
                self._kept_free.add(roomiest.name)
            return
        conditions = spec.required_label or spec.most_per_executor or queue.advice
        if not conditions and not self._kept_free:
            self._memo.failed(queue.service, spec.reserved)
