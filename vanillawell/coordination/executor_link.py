"""Track one incarnation of one executor: its address, its clock and whether it answers."""

from __future__ import annotations

import logging
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.coordination.leases import CLOCK_DRIFT, LEASE_MARGIN, TASK_LEASE, ExecutorClock
from vanillawell.protocol.executor_calls import OrderRefusal, Target
from vanillawell.state.end_proofs import EndProof
from vanillawell.state.executors import UNREACHABLE_BLOCK_TIME

if TYPE_CHECKING:
    from collections.abc import Callable

    from vanillawell.coordination.lease_manager import LeaseManager
    from vanillawell.coordination.term import Term
    from vanillawell.protocol.executor_calls import ExecutorCalls, OrderRefusedError
    from vanillawell.state.executors import Executor
    from vanillawell.state.progress import Run
    from vanillawell.state.shard import Shard

log = logging.getLogger(__name__)

RETRY_DELAY = 0.2
"""Seconds between two attempts to reach an executor."""


class DeposedError(Exception):
    """An executor has seen a higher fencing token: another entry owns the shard."""


@dataclass(frozen=True, slots=True)
class LeaseExtension:
    """A lease that is sent with one call."""

    end: float
    """Seconds on the executor's clock."""

    number: int
    """Sequence number among the leases sent to the executor."""

    previous_expiry: float
    """Time of `clock.read` at which all earlier leases have certainly expired; it applies again if
    this call has no effect."""


@dataclass(slots=True)
class ExecutorLink:
    """State shared by all calls to one incarnation of one executor."""

    executor: Executor
    calls: ExecutorCalls
    shard: Shard
    term: Term
    leases: LeaseManager
    wake_owner: Callable[[], None]
    wall: Callable[[], float]
    max_lease: float
    """Seconds."""

    kill_grace: float
    """Maximum seconds that the executor takes to kill runs whose lease has expired."""

    count_withdrawn_start: Callable[[], None] = lambda: None
    """Called for each stored start that is not ordered, since what it was decided by changed."""

    clock: ExecutorClock = field(default_factory=ExecutorClock)
    _clock_incarnation: int | None = None
    """Start time of the incarnation whose clock was read, in milliseconds since the epoch."""

    _extensions: int = 0
    """Sequence number of the latest lease that was sent."""

    identified: anyio.Event = field(default_factory=anyio.Event)
    """Set while it is known which incarnation answers: a report has named it since the last call
    that got no answer."""

    _doubted_at: float = float("-inf")
    """When a call last got no answer, or an answer that another incarnation may have given."""

    answered_at: float = float("-inf")

    def target(self) -> Target:
        """Return the incarnation that orders are addressed to."""
        facts = self.executor.facts
        return Target(facts.executor, facts.address, facts.incarnation)

    @property
    def has_clock_reading(self) -> bool:
        """Return whether the clock of the executor's current incarnation has been read."""
        is_current = self._clock_incarnation == self.executor.facts.incarnation
        return is_current and self.clock.value is not None

    def begin_incarnation(self, incarnation: int) -> bool:
        """Drop the clock readings of a previous incarnation; return whether there was one.

        An executor without runs is not called, so its owner may learn of the new incarnation from
        the registry first. A lease end computed from the previous incarnation's clock would lie
        beyond the expiry that the owner assumes.
        """
        previous, self._clock_incarnation = self._clock_incarnation, incarnation
        if previous in (None, incarnation):
            return False
        self.clock.forget()
        # A lease end on the former clock may have reached the new incarnation, which shortens it to
        # the maximum.
        longest = self.max_lease * (1 + CLOCK_DRIFT) + self.kill_grace + LEASE_MARGIN
        self.executor.lease_expires_at = max(self.executor.lease_expires_at, clock.read() + longest)
        return True

    @property
    def is_identified(self) -> bool:
        """Return whether it is known which incarnation answers."""
        return self.identified.is_set()

    def doubt_incarnation(self) -> None:
        """Record that another incarnation may answer from now on, until a report names it.

        The executor may have started again. Calls name the executor only, so numbers of the former
        incarnation, or its room, would be taken for the new one's.
        """
        self._doubted_at = clock.read()
        if self.identified.is_set():
            self.identified = anyio.Event()

    def identify_incarnation(self, sent: float) -> None:
        """Record that the answer to a call that was sent at `sent` named the incarnation."""
        if sent >= self._doubted_at:
            self.identified.set()
            self.executor.incarnation.is_doubted = False

    def is_from_next_incarnation(self, reading: float, sent: float) -> bool:
        """Return whether the clock in an answer shows that another incarnation gave it."""
        return self.has_clock_reading and self.clock.is_behind(reading, sent)

    def may_extend_lease(self) -> bool:
        """Return whether a call may extend the executor's leases now."""
        return self.leases.may_extend(self.executor.name)

    def extend_lease(self, now: float) -> LeaseExtension:
        """Return a lease that begins now, to be sent with one call.

        From here on the owner assumes that the lease is in force, since the call may arrive.
        """
        lease = min(TASK_LEASE, self.max_lease)
        before = self.executor.lease_expires_at
        expiry = self.clock.latest_lease_end(now, lease) + self.kill_grace + LEASE_MARGIN
        self.executor.lease_expires_at = max(before, expiry)
        self._extensions += 1
        return LeaseExtension(self.clock.lease_end(now, lease), self._extensions, before)

    def revert_extension(self, extension: LeaseExtension | None) -> None:
        """Revert a lease whose call had no effect, unless a later lease has been sent since.

        Otherwise an executor that refuses all calls would keep its tasks charged for as long as it
        refuses, even after their leases have expired.
        """
        if extension is not None and extension.number == self._extensions:
            self.executor.lease_expires_at = extension.previous_expiry

    def record_answer(self, incarnation: int, reading: float, sent: float, now: float) -> None:
        """Record the answer to a call sent to one incarnation at `sent`, and its clock reading."""
        if incarnation == self._clock_incarnation:
            self.clock.add_reading(reading, sent, now)
        self.answered_at = now

    def block_placement(self) -> None:
        """Place no new tasks on the executor for a while."""
        self.executor.block_placement(clock.read() + UNREACHABLE_BLOCK_TIME)

    def block_if_unresponsive(self, sent: float) -> None:
        """Place no new tasks on the executor for a while if it has answered no call since `sent`.

        Single answers get lost or arrive seconds late while others arrive in time. Blocking an
        executor for each of them left a pool at half its capacity at the height of its peak: with
        one in fifteen orders unanswered, nine of 21 executors got no tasks at any time.
        """
        if self.answered_at < sent:
            self.block_placement()

    def handle_refusal(self, error: OrderRefusedError) -> None:
        """Handle a refused hold call; raise DeposedError if another entry owns the shard."""
        if error.reason is OrderRefusal.STALE_TOKEN:
            raise DeposedError(self.executor.name) from error
        self.block_placement()
        fields = {"executor": self.executor.name, "reason": error.reason.value}
        log.warning("hold call refused", extra=fields)

    def record_termination(self, target: Target) -> None:
        """Record the proof that the incarnation a call was addressed to has terminated.

        By the time of the answer the executor may have a new incarnation at another address, of
        which the answer says nothing.
        """
        is_current = target.incarnation == self.executor.facts.incarnation
        proof = EndProof.OTHER_EXECUTOR
        fields = {"executor": target.executor, "reason": proof, "is_present": is_current}
        log.warning("executor gone", extra={**fields, "runs": len(self.executor.runs)})
        self.shard.mark_terminated(
            target.executor, target.incarnation, proof, clock.read(), self.wall()
        )
        self.wake_owner()

    def describe(self, run: Run) -> dict[str, object]:
        """Return the log fields that identify a run."""
        task_id = run.task.task_id
        return {
            "job": task_id.job_id,
            "task": task_id[1:],
            "run": run.number,
            "executor": run.executor,
            "token": self.term.token,
        }
