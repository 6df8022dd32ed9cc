"""Place the waiting tasks of all steps that may start, in one pass."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Protocol

from vanillawell.state.contention.rack_wait import RackQueues, places_on_rack
from vanillawell.state.executors import Executor, by_service
from vanillawell.state.placement import FailedPlacements, StepPlacer
from vanillawell.state.reservations import Reservations

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from vanillawell.state.durations import DurationStatistics
    from vanillawell.state.ledger import Ledger
    from vanillawell.state.progress import Run, StepProgress, Task
    from vanillawell.state.work import Job, Resources
    from vanillawell.state.work_policy import Queue, WorkPolicy

log = logging.getLogger(__name__)

HELD_BY_CAPACITY = "room"
"""Value of `held_by` for a step whose tasks find no executor with free capacity."""

HELD_BY_EVACUATION = "room outside evacuated zones"
"""The same, while some executors of the pool are in evacuated zones."""

HELD_BY_RACK = "room on the rack of its data"
"""The same for a step whose tasks would take longer on another rack than the wait."""

HELD_BY_MAXIMUM = "maximum of the organisation"
"""The same for a step whose organisation may have no more running, and why a start that was decided
before its maximum was lowered is not ordered."""

HELD_FOR_CAPACITY = frozenset({HELD_BY_CAPACITY, HELD_BY_EVACUATION})
"""Values of `held_by` of steps that more machines would help."""


class PlacementTarget(Protocol):
    """What a pass needs of the shard whose tasks it places."""

    remote_factor: float
    ledger: Ledger
    durations: DurationStatistics
    tickets: dict[tuple[str, int, int], Mapping[str, str]]

    def queue_of(self, job: Job) -> Queue | None:
        """Return the rules of a job's queue; None if they are unavailable."""

    def is_within_maximum(self, organisation: str, running: Resources, need: Resources) -> bool:
        """Return whether an organisation that has `running` may have `need` more."""

    def plan(self, task: Task, executor: Executor, number: int, ticket: str, now: float) -> Run:
        """Create a planned run and charge it to its executor."""

    def commit_plan(self, run: Run) -> None:
        """Put a planned run into the outbox."""

    def discard_plan(self, run: Run) -> None:
        """Discard a planned run that was not committed."""


class PlacementPass:
    """One pass over all steps that may start, in one or several time slices."""

    def __init__(
        self, shard: PlacementTarget, policy: WorkPolicy, now: float, has_time: Callable[[], bool]
    ) -> None:
        """Initialise the pass; it goes on until `has_time` returns False."""
        self._shard = shard
        self._policy = policy
        self._now = now
        self._has_time = has_time
        self._looked_at: set[StepProgress] = set()
        self._failed_placements = FailedPlacements()
        self._reservations = Reservations(shard.durations, now)
        self._pools: dict[str, list[Executor]] = {}
        """Executors that accept tasks, by service."""

        self._rack_queues = RackQueues(shard.remote_factor)
        self._evacuated_pools: set[str] = set()
        """Services with executors in evacuated zones."""

    def resume(self, policy: WorkPolicy, now: float, has_time: Callable[[], bool]) -> None:
        """Continue a pass; executors and their free capacity may have changed meanwhile."""
        self._policy = policy
        self._now = now
        self._has_time = has_time
        self._pools = {}
        self._evacuated_pools = set()
        self._failed_placements = FailedPlacements()
        self._reservations.resume(now)

    def is_left(self, step: StepProgress) -> bool:
        """Return whether the pass has yet to look at a step, or at the rest of its tasks."""
        return step not in self._looked_at

    def place(self, steps: Iterable[StepProgress]) -> bool:
        """Place the waiting tasks of steps, in their order; return False if time ran out before
        the last of them."""
        for step in steps:
            if not self._place_step(step):
                return False
            self._looked_at.add(step)
            if not self._has_time():
                return False
        return True

    def _pool(self, service: str) -> list[Executor]:
        if service not in self._pools:
            pool = by_service(self._shard.ledger.executors.values(), service)
            self._pools[service] = [item for item in pool if item.accepts_tasks(self._now)]
            if any(item.evacuated for item in pool):
                self._evacuated_pools.add(service)
        return self._pools[service]

    def _lack_of_capacity(self, service: str) -> str:
        """Return the value of `held_by` for a step that finds no capacity in a pool."""
        return HELD_BY_EVACUATION if service in self._evacuated_pools else HELD_BY_CAPACITY

    def _place_step(self, step: StepProgress) -> bool:
        """Place the waiting tasks of a step as far as there is free capacity; return False if time
        ran out before."""
        job = step.record.job
        queue = self._shard.queue_of(job)
        if queue is None:
            self._set_held_by(step, "no queue")
            return True
        if self._failed_placements.rules_out(queue.service, step.spec.reserved):
            self._set_held_by(step, self._lack_of_capacity(queue.service))
            return True
        tickets = None
        if queue.advice:
            tickets = self._shard.tickets.get((job.job_id, step.occurrence, step.position))
            if tickets is None:
                self._set_held_by(step, "advice")
                return True
        kept_free = self._reservations.kept_from(queue.name, step.spec)
        placer = StepPlacer(step, self._pool(queue.service), tickets, self._now, kept_free)
        if step.spec.gang:
            self._place_gang(step, queue, placer)
            return True
        for position, task in enumerate(step.waiting):
            if position and not self._has_time():
                return False
            if self._waits_for_rack(step, task, placer, queue):
                self._set_held_by(step, HELD_BY_RACK)
                return True
            run = self._place_task(task, placer, task.number + 1)
            if run is None:
                self._record_unplaced(step, queue, placer)
                return True
            self._shard.commit_plan(run)
        step.held_by = ""
        return True

    def _waits_for_rack(
        self, step: StepProgress, task: Task, placer: StepPlacer, queue: Queue
    ) -> bool:
        """Return whether a task waits, since only executors on other racks have capacity."""
        spec = step.spec
        if not spec.data_rack or spec.long_running or self._shard.remote_factor <= 1.0:
            return False
        if not self._is_within_limit(task):
            return False
        executor = placer.choose(task)
        if executor is None or executor.facts.rack == spec.data_rack:
            return False
        places = places_on_rack(step, self._pool(queue.service))
        seconds = self._shard.durations.expected(queue.name, spec)
        return self._rack_queues.waits(step, places, seconds, self._now)

    def _set_held_by(self, step: StepProgress, reason: str) -> None:
        """Record why a step's tasks cannot start; log each change with the figures behind it."""
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

    def _place_task(self, task: Task, placer: StepPlacer, number: int) -> Run | None:
        """Plan a run of a task; return None if its organisation may have no more running, or if no
        executor has capacity for it."""
        if not self._is_within_limit(task):
            return None
        executor = placer.choose(task)
        if executor is None:
            return None
        placer.record_placement(executor)
        return self._shard.plan(task, executor, number, placer.ticket(executor), self._now)

    def _is_within_limit(self, task: Task) -> bool:
        """Return whether starting the task keeps its organisation within its maximum."""
        organisation = task.step.record.job.organisation
        running = self._shard.ledger.usage(organisation)
        return self._shard.is_within_maximum(organisation, running, task.step.spec.need)

    def _place_gang(self, step: StepProgress, queue: Queue, placer: StepPlacer) -> None:
        """Place all tasks of a gang or none: a partial gang would occupy capacity and wait."""
        if any(task.run is not None for task in step.tasks):
            return
        _share_checkpoint(step)
        number = max(task.number for task in step.tasks) + 1
        runs: list[Run] = []
        for task in step.tasks:
            run = self._place_task(task, placer, number)
            if run is None:
                is_allowed = self._is_within_limit(task)
                lack = self._lack_of_capacity(queue.service)
                self._set_held_by(step, lack if is_allowed else HELD_BY_MAXIMUM)
                for planned in runs:
                    self._shard.discard_plan(planned)
                return
            runs.append(run)
        for run in runs:
            self._shard.commit_plan(run)
        step.held_by = ""

    def _record_unplaced(self, step: StepProgress, queue: Queue, placer: StepPlacer) -> None:
        """Record why a step could not be placed.

        An executor is reserved for a long-running step. The need of any other step is recorded as
        failed, so that later steps skip a search that cannot succeed, but only if no placement
        constraint or reservation limited it.
        """
        spec = step.spec
        if not self._is_within_limit(step.waiting[0]):
            self._set_held_by(step, HELD_BY_MAXIMUM)
            return
        self._set_held_by(step, self._lack_of_capacity(queue.service))
        if spec.long_running:
            self._reservations.reserve(step, placer.eligible(), self._pool(queue.service))
            return
        constraints = spec.required_label or spec.most_per_executor or queue.advice
        if not constraints and not placer.is_restricted:
            self._failed_placements.add(queue.service, spec.reserved)


def _share_checkpoint(step: StepProgress) -> None:
    """Let all members of a gang resume from one checkpoint; a record that an earlier version stored
    may hold different ones."""
    checkpoint = next((task.checkpoint for task in step.tasks if task.checkpoint), "")
    for task in step.tasks:
        task.checkpoint = checkpoint
