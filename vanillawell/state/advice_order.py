"""Decide for which step advice is requested next: the service answers one request at a time."""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING, NamedTuple

from vanillawell.state.executors import by_service
from vanillawell.state.placement import count_fitting_tasks, cpu_utilisation
from vanillawell.state.upkeep import incarnation_id
from vanillawell.state.work import Resources

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping, Sequence

    from vanillawell.state.executors import Executor
    from vanillawell.state.progress import StepProgress
    from vanillawell.state.shard import Shard

StepKey = tuple[str, int, int]
"""Job id, occurrence and position of a step."""


def key_of(step: StepProgress) -> StepKey:
    """Return the key of a step."""
    return (step.record.job.job_id, step.occurrence, step.position)


class Prospect(IntEnum):
    """What a step could do with advice now; lower values are served first."""

    STARTS = 0
    LACKS_CAPACITY = 1
    AT_MAXIMUM = 2
    """Its organisation may have no more running."""


class QueuePosition(NamedTuple):
    """Position of a step in the order; the lowest is served first."""

    prospect: Prospect
    organisation_served_at: float
    """When advice was last requested for its organisation: organisations are served round robin."""

    due: float
    """Deadline of its job, later by as long again with each request: a step whose advice expires
    unused must not keep others of its organisation from theirs."""


class AdviceOrder:
    """Order in which waiting steps are served, and when each was served last."""

    def __init__(self) -> None:
        self._step_served_at: dict[StepProgress, float] = {}
        self._organisation_served_at: dict[str, float] = {}

    def record(self, step: StepProgress, now: float) -> None:
        """Record that advice is requested for a step, whatever comes of it."""
        self._step_served_at[step] = now
        self._organisation_served_at[step.record.job.organisation] = now

    def forget_ended(self, open_steps: Collection[StepProgress]) -> None:
        """Forget the steps that are no longer open, and organisations without any."""
        if not self._step_served_at:
            return
        self._step_served_at = {
            step: served_at
            for step, served_at in self._step_served_at.items()
            if step in open_steps
        }
        organisations = {step.record.job.organisation for step in open_steps}
        self._organisation_served_at = {
            name: served_at
            for name, served_at in self._organisation_served_at.items()
            if name in organisations
        }

    def position(self, step: StepProgress, prospect: Prospect) -> QueuePosition:
        """Return the position of a step in the order."""
        record = step.record
        served_at = self._step_served_at.get(step, record.seen_at)
        organisation_served_at = self._organisation_served_at.get(record.job.organisation, 0.0)
        return QueuePosition(
            prospect, organisation_served_at, served_at + record.deadline - record.seen_at
        )


class AdviceOutlook:
    """What steps could do with advice at one moment; equal needs are looked at once."""

    def __init__(self, shard: Shard, barred: Mapping[StepKey, set[str]], now: float) -> None:
        """Initialise the outlook.

        Args:
            shard: The shard whose steps wait.
            barred: Incarnations of executors that are known not to run each step.
            now: Present time.
        """
        self._shard = shard
        self._barred = barred
        self._now = now
        self._usable: dict[str, list[Executor]] = {}
        self._suitable: dict[tuple[str, str, Resources], list[Executor]] = {}
        self._with_capacity: dict[tuple[str, str, Resources], list[Executor]] = {}

    def executors(self, step: StepProgress, service: str) -> list[Executor]:
        """Return the executors that may be able to run a task of a step, the least loaded first.

        Those that are known not to run it, that lack its label or are too small are left out.
        """
        return self._without_barred(step, self._suitable_executors(step, service))

    def prospect(self, step: StepProgress, service: str, moves: bool) -> Prospect:
        """Return what a step could do with advice; `moves` if its tasks run and have to move."""
        if not moves and not self._is_within_maximum(step):
            return Prospect.AT_MAXIMUM
        return Prospect.STARTS if self._has_capacity(step, service) else Prospect.LACKS_CAPACITY

    def _is_within_maximum(self, step: StepProgress) -> bool:
        organisation = step.record.job.organisation
        running = self._shard.ledger.usage(organisation)
        return self._shard.is_within_maximum(organisation, running, _need_at_once(step))

    def _has_capacity(self, step: StepProgress, service: str) -> bool:
        key = (service, step.spec.required_label, step.spec.reserved)
        if key not in self._with_capacity:
            suitable = self._suitable_executors(step, service)
            self._with_capacity[key] = [
                item for item in suitable if step.spec.reserved.fits(item.free)
            ]
        fitting = self._without_barred(step, self._with_capacity[key])
        if not step.spec.gang:
            return bool(fitting)
        return sum(count_fitting_tasks(step.spec, item) for item in fitting) >= step.spec.count

    def _without_barred(self, step: StepProgress, executors: list[Executor]) -> list[Executor]:
        barred = self._barred.get(key_of(step))
        if not barred:
            return executors
        return [item for item in executors if incarnation_id(item) not in barred]

    def _suitable_executors(self, step: StepProgress, service: str) -> list[Executor]:
        label, need = step.spec.required_label, step.spec.reserved
        key = (service, label, need)
        if key not in self._suitable:
            self._suitable[key] = [
                item
                for item in self._usable_executors(service)
                if (not label or label in item.facts.labels) and need.fits(item.facts.capacity)
            ]
        return self._suitable[key]

    def _usable_executors(self, service: str) -> Sequence[Executor]:
        """Return the executors of a pool that accept tasks, the least loaded ones first."""
        if service not in self._usable:
            pool = by_service(self._shard.ledger.executors.values(), service)
            accepting = (item for item in pool if item.accepts_tasks(self._now))
            self._usable[service] = sorted(accepting, key=cpu_utilisation)
        return self._usable[service]


def _need_at_once(step: StepProgress) -> Resources:
    """Return what has to be free of an organisation's maximum for the next start of a step."""
    need, count = step.spec.need, step.spec.count if step.spec.gang else 1
    return Resources(need.cpu * count, need.memory * count, need.gpu * count)


def steps_to_move(executors: Iterable[Executor]) -> set[StepProgress]:
    """Return the steps with long-running tasks on executors that are being drained."""
    return {
        run.task.step
        for item in executors
        if item.must_drain
        for run in item.runs.values()
        if run.task.step.spec.long_running
    }
