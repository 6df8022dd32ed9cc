"""Rank the steps that wait: what must run at all times, then what still helps its caller."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from vanillawell.state.work import StepProgress

WORTHLESS_AFTER = 3.0
"""Multiple of its objective after which a job helps nobody any more; it then waits for the rest.

The published terms count a job as late up to this multiple, and as nothing beyond."""

HEADROOM = 1.3
"""Multiple of the expected work left that a job's time must hold for it to count as still in time.

Estimates are uneven and later steps may have to wait; without headroom the pool goes on starting
jobs at the last moment, most of which then miss it."""


class Rank(NamedTuple):
    """What decides which of two steps is served first; the lower one is."""

    ends: bool
    """Whether its tasks end by themselves."""

    priority: int
    """That of its queue."""

    lateness: int
    """0 while its job can still be in time, 1 once it is late, 2 once it helps nobody."""

    waits: bool
    """Whether nothing was done for its job yet."""

    @property
    def shared(self) -> bool:
        """Tell whether organisations get their shares of the room for such steps.

        Those of begun jobs are left out, since what was spent on them would be lost.
        """
        return self.ends and self.waits


def rank_of(step: StepProgress, priority: int, now: float) -> Rank:
    """Return the rank of a step of a queue with this priority, of which 0 comes first.

    Under a peak a pool can't meet every objective. Served in the order of their deadlines, all jobs
    would be late together; so those that can no longer be in time wait for the others, and jobs
    that have begun go before those that have not.
    """
    return Rank(not step.spec.long_running, priority, _lateness(step, now), not _begun(step))


def _lateness(step: StepProgress, now: float) -> int:
    """Return 0 for a step whose job can still be in time, 1 for a late one, 2 for a worthless one.

    A step that has begun is served like one in time: what was spent on it would be lost.
    """
    record = step.record
    if now > record.seen_at + WORTHLESS_AFTER * (record.deadline - record.seen_at):
        return 2
    begun = any(task.done or task.run for task in step.tasks)
    left = 0.0 if begun else HEADROOM * record.critical_paths[step.position]
    return int(now + left > record.deadline)


def _begun(step: StepProgress) -> bool:
    """Tell whether work was done for the step's job already."""
    return step.position > 0 or any(task.done or task.run for task in step.tasks)
