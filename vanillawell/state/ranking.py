"""Rank waiting steps: long-running tasks first, then jobs within their organisation's agreed rate,
by priority and chance to be in time."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from vanillawell.state.progress import JobRecord, StepProgress

MAX_LATENESS = 3.0
"""Multiple of its objective after which a job has no value to its caller and is served last.

The published terms count a job as late up to this multiple, and not at all beyond it."""

REMAINING_WORK_MARGIN = 1.3
"""A job counts as in time if this multiple of its expected remaining work fits before its deadline.

Estimates vary and later steps may have to wait. Without a margin the pool keeps starting jobs at
the last moment, most of which then miss their deadline."""


class Rank(NamedTuple):
    """Sort key of a waiting step; the lowest rank is served first."""

    terminates: bool
    """Whether its tasks end by themselves."""

    surplus: bool
    """Whether its job exceeds the agreed rate of its organisation."""

    priority: int
    """Priority of its queue."""

    lateness: int
    """0 while its job can still be in time, 1 if it no longer can, 2 if it has lost its value."""

    not_started: bool
    """Whether no work was done for its job yet."""

    @property
    def shared(self) -> bool:
        """Return whether organisations get their shares of the capacity among steps of this rank.

        Steps of started jobs are excluded, since the work already spent on them would be wasted.
        """
        return self.terminates and self.not_started


def rank_of(step: StepProgress, priority: int, now: float) -> Rank:
    """Return the rank of a step of a queue with the given priority (0 is served first).

    During a peak a pool cannot meet every objective. If jobs were served in the order of their
    deadlines, all of them would be late. Jobs that can no longer be in time therefore wait for the
    others, and started jobs are served before jobs that have not started.
    """
    terminates = not step.spec.long_running
    surplus = terminates and step.record.surplus
    return Rank(terminates, surplus, priority, _lateness(step, now), not _has_started(step))


def has_lost_value(record: JobRecord, now: float) -> bool:
    """Return whether a job is so late that its caller has no use for it."""
    return now > record.seen_at + MAX_LATENESS * (record.deadline - record.seen_at)


def is_optional(step: StepProgress, now: float) -> bool:
    """Return whether no caller within an agreed rate still profits from a step.

    Such work is done with what others leave; a pool does not hold machines for it while another
    pool lacks some.
    """
    if step.spec.long_running:
        return False
    return step.record.surplus or has_lost_value(step.record, now)


def _lateness(step: StepProgress, now: float) -> int:
    """Return the lateness of a step's job, as defined by `Rank.lateness`.

    No remaining work is assumed for a started step, so that it counts as in time until its
    deadline: the work already spent on it would be wasted otherwise.
    """
    record = step.record
    if has_lost_value(record, now):
        return 2
    started = any(task.done or task.run for task in step.tasks)
    remaining = 0.0 if started else REMAINING_WORK_MARGIN * record.critical_paths[step.position]
    return int(now + remaining > record.deadline)


def _has_started(step: StepProgress) -> bool:
    """Return whether any work was done for the step's job."""
    return step.position > 0 or any(task.done or task.run for task in step.tasks)
