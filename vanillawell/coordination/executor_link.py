"""Know one life of one executor: how to address it, how its clock runs, whether it answers."""

from __future__ import annotations

import logging
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.coordination.leases import LEASE_MARGIN, TASK_LEASE, ExecutorClock
from vanillawell.protocol.executor_calls import OrderRefusal, Target
from vanillawell.state.executors import UNREACHABLE_BLOCK_TIME

if TYPE_CHECKING:
    from collections.abc import Callable

    from vanillawell.coordination.lease_manager import LeaseManager
    from vanillawell.coordination.term import Term
    from vanillawell.protocol.executor_calls import ExecutorCalls, OrderRefusedError
    from vanillawell.state.executors import Executor
    from vanillawell.state.shard import Shard
    from vanillawell.state.work import Run

log = logging.getLogger(__name__)

RETRY_PAUSE = 0.2
"""Seconds between two tries to reach an executor."""


class DeposedError(Exception):
    """An executor has seen a higher fencing token: another entry owns the shard."""


@dataclass(frozen=True, slots=True)
class LeaseExtension:
    """A lease that one call carries."""

    end: float
    """Seconds on the executor's clock."""

    number: int
    """Counts the leases that calls to the executor have carried."""

    over_before: float
    """When all leases there are surely over if the call does nothing, on the clock of decisions."""


@dataclass(slots=True)
class ExecutorLink:
    """What all traffic to one life of one executor shares."""

    executor: Executor
    calls: ExecutorCalls
    shard: Shard
    term: Term
    leases: LeaseManager
    wake_owner: Callable[[], None]
    wall: Callable[[], float]
    longest_lease: float
    """Seconds."""

    kill_grace: float
    """Seconds that the executor takes at most to end what has no lease any more."""

    clock: ExecutorClock = field(default_factory=ExecutorClock)
    _clock_life: int | None = None
    """Start of the life whose clock was read, in milliseconds since the epoch."""

    _extensions: int = 0
    """Number of the latest lease that a call carried."""

    contact: anyio.Event = field(default_factory=anyio.Event)
    """Set once the executor has reported."""

    answered_at: float = float("-inf")

    def target(self) -> Target:
        """Return whom orders are meant for."""
        facts = self.executor.facts
        return Target(facts.executor, facts.address, facts.incarnation)

    @property
    def knows_clock(self) -> bool:
        """Tell whether the clock of the executor's present life has been read."""
        is_present = self._clock_life == self.executor.facts.incarnation
        return is_present and self.clock.value is not None

    def enter_life(self, incarnation: int) -> bool:
        """Drop what the clock showed in a former life; tells whether there was one.

        An executor that runs nothing is asked nothing, so its owner may hear of its new life from
        the registry. A lease that ended by the former life's clock would outlive what the owner
        reckons with.
        """
        former, self._clock_life = self._clock_life, incarnation
        if former in (None, incarnation):
            return False
        self.clock.forget()
        return True

    def may_extend_lease(self) -> bool:
        """Tell whether a call may extend the executor's leases now."""
        return self.leases.may_extend(self.executor.name)

    def extend_lease(self, now: float) -> LeaseExtension:
        """Return a lease that begins now, for one call to carry.

        From here on the lease is reckoned with, since the call may arrive.
        """
        lease = min(TASK_LEASE, self.longest_lease)
        before = self.executor.lease_expires_at
        over = self.clock.latest_lease_end(now, lease) + self.kill_grace + LEASE_MARGIN
        self.executor.lease_expires_at = max(before, over)
        self._extensions += 1
        return LeaseExtension(self.clock.lease_end(now, lease), self._extensions, before)

    def take_back(self, extension: LeaseExtension | None) -> None:
        """Take in that the call with a lease has done nothing, unless another went out since.

        Reckoned with all the same, it would keep tasks charged to an executor that refuses all
        calls for as long as it refuses, though their leases have expired.
        """
        if extension is not None and extension.number == self._extensions:
            self.executor.lease_expires_at = extension.over_before

    def answered(self, incarnation: int, reading: float, sent: float, now: float) -> None:
        """Take in the answer to a call to one life that was sent at `sent`, with a reading of its
        clock."""
        if incarnation == self._clock_life:
            self.clock.add_reading(reading, sent, now)
        self.answered_at = now

    def block_placement(self) -> None:
        """Give the executor no new work for a while."""
        self.executor.block_placement(clock.read() + UNREACHABLE_BLOCK_TIME)

    def suspect_if_silent(self, sent: float) -> None:
        """Give the executor no new work for a while if it has answered nothing since `sent`.

        Single answers get lost, too, or come seconds late, while others arrive. An executor shut
        out for each of them left a pool at half its room in the worst seconds of its peak: with one
        order in fifteen unanswered, nine of 21 executors got no work at any time.
        """
        if self.answered_at < sent:
            self.block_placement()

    def refused(self, error: OrderRefusedError) -> None:
        """Take in the refusal of a report; raises DeposedError if another entry owns the shard."""
        if error.reason is OrderRefusal.STALE_TOKEN:
            raise DeposedError(self.executor.name) from error
        self.block_placement()
        fields = {"executor": self.executor.name, "reason": error.reason.value}
        log.warning("hold refused", extra=fields)

    def note_dead(self, target: Target, reason: str) -> None:
        """Take in the proof that the life that a call was meant for is over.

        By the time of the answer the executor may have begun another one elsewhere, of which the
        answer says nothing.
        """
        is_present = target.incarnation == self.executor.facts.incarnation
        fields = {"executor": target.executor, "reason": reason, "is_present": is_present}
        log.warning("executor gone", extra={**fields, "runs": len(self.executor.runs)})
        self.shard.mark_terminated(target.executor, target.incarnation, clock.read(), self.wall())
        self.wake_owner()

    def describe(self, run: Run) -> dict[str, object]:
        """Return the fields of log lines on a run."""
        task_id = run.task.task_id
        return {
            "job": task_id.job_id,
            "task": task_id[1:],
            "run": run.number,
            "executor": run.executor,
            "token": self.term.token,
        }
