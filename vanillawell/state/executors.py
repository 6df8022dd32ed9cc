"""State of executors: their registration, the runs charged to them, and their health.

Times are seconds on the monotonic clock (`vanillawell.clock`) unless stated otherwise.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass, field, replace
from enum import StrEnum
from typing import TYPE_CHECKING

from vanillawell.state.incarnations import Incarnation
from vanillawell.state.progress import Run
from vanillawell.state.reliability.failure_evidence import FailureEvidence
from vanillawell.state.reliability.restart_penalty import RestartHistory
from vanillawell.state.work import NO_RESOURCES, Ending, Resources, TaskId

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from vanillawell.state.reliability.failure_evidence import PoolFailureRate

log = logging.getLogger(__name__)

UNREACHABLE_BLOCK_TIME = 1.0
"""Seconds for which an unreachable executor gets no new tasks."""

MAX_REGISTRATION_AGE = 1.5
"""Maximum seconds between two writes of an executor's registration."""

MAX_QUARANTINED_PART = 0.5
"""Part of a pool that may be in quarantine at the same time."""

QUARANTINE_TIME = 4.0
"""Seconds for which an unhealthy executor gets no new tasks; then it is tried again."""


class UnschedulableReason(StrEnum):
    """Why no new task may begin on an executor."""

    ZONE_EVACUATED = "zone evacuated"
    DRAINING = "executor draining"
    UPKEEP = "machine due for upkeep"
    ORDERED_AWAY = "machine may have been ordered away"
    POOL_LEFT = "machine leaves its pool"


@dataclass(frozen=True, slots=True)
class ExecutorFacts:
    """An executor's registration, as written by the executor itself."""

    executor: str
    """Id of the executor."""

    incarnation: int
    """Start time of its current incarnation, in milliseconds since the epoch."""

    service: str
    address: str
    zone: str
    rack: str
    machine: str
    labels: frozenset[str]
    capacity: Resources
    draining: bool
    remaining: float | None = None
    """Minimum seconds from this write until it leaves; None if not stated."""

    cold_remaining: float = 0.0
    """Seconds from this write for which it remains slow after its start."""


@dataclass(slots=True, eq=False)
class Executor:
    """State of one executor and the runs charged to it."""

    facts: ExecutorFacts
    tracked_since: float
    """When this process first learned of its current incarnation."""

    registered: bool = True
    contacted: bool = False
    """Whether it has reported since this process became the owner of its shard."""

    runs: dict[tuple[TaskId, int], Run] = field(default_factory=dict)
    used: Resources = NO_RESOURCES
    incarnation: Incarnation = field(init=False)
    """Its current incarnation, with what belongs to that one only."""

    lease_expires_at: float = 0.0
    """Time after which all its runs have ended for certain, unless its lease is renewed."""

    restarted_at: float = 0.0
    """When a new incarnation under the same id was detected; 0 for the first incarnation."""

    unresponsive_since: float | None = None
    """Time since which it has answered no call; None while it answers."""

    earliest_departure: float | None = None
    """Time until which it has announced to keep running; None while it is not leaving."""

    cold_until: float = 0.0
    """Time until which it has announced to be slow after its start."""

    departure_reported_at: float = 0.0
    """When its announced departure was last read."""

    placement_blocked_until: float = 0.0
    quarantined_until: float = 0.0
    """Time until which it gets no new tasks because of its failures."""

    cordoned: bool = False
    """Whether planned maintenance keeps new tasks off its machine."""

    evacuated: bool = False
    """Whether operators have evacuated its availability zone, so that no new task may start."""

    vacating: bool = False
    """Whether it gets no new tasks so that another pool can have its machine."""

    withheld: bool = False
    """Whether it may have ended, or may be ended: by a previous owner's order for its machine, or
    since a later executor is registered there."""

    order_void_since: float | None = None
    """Time since which such an order can no longer take effect, so that an answer to a later call
    proves that the executor still runs. None while the order may take effect."""

    awaits_upkeep: bool = False
    """Whether a maintenance wave has yet to take its machine down, which ends all runs there."""

    evidence: FailureEvidence = field(default_factory=FailureEvidence)
    """Evidence that it fails its work."""

    restarts: RestartHistory = field(default_factory=RestartHistory)

    def __post_init__(self) -> None:
        """Track the incarnation that the facts are about."""
        self.incarnation = Incarnation(
            self.facts.executor, self.facts.incarnation, is_registered=self.registered
        )

    @property
    def name(self) -> str:
        """Return the id of the executor."""
        return self.facts.executor

    @property
    def last_applied_end(self) -> int:
        """Return the highest sequence number of an end that was applied from its reports."""
        return self.incarnation.last_applied_end

    @property
    def unsaved_ends(self) -> set[int]:
        """Return the sequence numbers of ends whose effect is not stored yet."""
        return self.incarnation.unsaved_ends

    @property
    def is_unconfirmed(self) -> bool:
        """Return whether its runs are unconfirmed: it has not reported yet, or is unresponsive."""
        return not self.contacted or self.unresponsive_since is not None

    @property
    def must_drain(self) -> bool:
        """Return whether long-running tasks must move away, since it leaves or is cordoned."""
        return self.cordoned or (self.registered and self.facts.draining)

    @property
    def free(self) -> Resources:
        """Return the capacity that no run uses, whether it is charged or orphaned."""
        free = self.facts.capacity - self.used
        orphans = self.incarnation.orphans
        return free - orphans.room if orphans else free

    @property
    def saved_end(self) -> int:
        """Return the highest sequence number up to which all ends are stored."""
        return self.incarnation.saved_end

    def begin_incarnation(self, started: int, now: float) -> None:
        """Track the incarnation that has `started` under the same id, in milliseconds since the
        epoch.

        The new incarnation has no state of the earlier one, so only its next report shows which
        runs it has: an order that was just sent may already have reached the new incarnation.
        """
        self.facts = replace(self.facts, incarnation=started)
        open_orders = self.incarnation.open_orders
        self.incarnation = Incarnation(self.facts.executor, started, open_orders=open_orders)
        for run in self.runs.values():
            if run.stop_confirmed is not None:
                # Only the former incarnation has promised to reject it.
                run.stop_confirmed, run.stop_requested = None, False
        self.contacted = False
        self.evidence = FailureEvidence()
        self.earliest_departure = None
        self.restarted_at = now
        self.tracked_since = now
        penalty = self.restarts.record(now)
        if penalty:
            self.block_placement(now + penalty)
            log.warning("executor restarts", extra={"executor": self.name, "penalty": penalty})

    def is_from_earlier_incarnation(self, incarnation: int, sent: float) -> bool:
        """Return whether the answer to a call sent at `sent` is from a terminated incarnation.

        If an earlier incarnation answers a call that was sent after the restart was detected, the
        registration that announced the restart was wrong, and the answer counts.
        """
        return incarnation < self.facts.incarnation and sent < self.restarted_at

    def update_facts(self, facts: ExecutorFacts, now: float) -> None:
        """Apply its registration.

        An unchanged remaining time means that the same registration was read again. A registration
        that is read for the first time, as after a change of owner, may be as old as the maximum
        interval between two writes.
        """
        same = self.earliest_departure is not None and facts.remaining == self.facts.remaining
        if not facts.draining:
            self.earliest_departure = None
        elif not same:
            age = 0.0 if self.registered else MAX_REGISTRATION_AGE
            self.earliest_departure = now - age + (facts.remaining or 0.0)
            self.departure_reported_at = now
        is_first = not self.registered or not self.incarnation.is_registered
        if is_first or _cold_statement(facts) != _cold_statement(self.facts):
            self.cold_until = now + facts.cold_remaining if facts.cold_remaining else 0.0
        self.facts = facts
        self.registered = True
        self.incarnation.is_registered = True

    def is_cold(self, now: float) -> bool:
        """Return whether it is slow because it has just started."""
        return now < self.cold_until

    def record_answer(self, sent: float) -> None:
        """Record that it answered a call that was sent at `sent`."""
        self.contacted = True
        if self.order_void_since is not None and sent >= self.order_void_since:
            self.withheld, self.order_void_since = False, None

    def require_answer(self, now: float) -> None:
        """Place no new tasks on it until it has answered a call sent from now on.

        Nothing changes while an order may still end it: until then an answer proves too little.
        """
        if not self.withheld or self.order_void_since is not None:
            self.withheld, self.order_void_since = True, now

    def accepts_tasks(self, now: float) -> bool:
        """Return whether new tasks may be placed on it."""
        return self.is_healthy(now) and self.unschedulable_reason() is None

    def unschedulable_reason(self) -> UnschedulableReason | None:
        """Return why no task may begin on it any more, be it decided already; None if one may.

        Asked when a task is placed and again when its order leaves, since what is true of an
        executor may change in between.
        """
        if self.withheld:
            return UnschedulableReason.ORDERED_AWAY
        if self.vacating:
            return UnschedulableReason.POOL_LEFT
        return self._leaving_reason()

    def _leaving_reason(self) -> UnschedulableReason | None:
        if self.evacuated:
            return UnschedulableReason.ZONE_EVACUATED
        if self.facts.draining:
            return UnschedulableReason.DRAINING
        return UnschedulableReason.UPKEEP if self.cordoned else None

    def is_healthy(self, now: float) -> bool:
        """Return whether it accepts new tasks, but for being withheld or vacating."""
        return (
            self.registered
            and self.incarnation.may_get_tasks
            and self.contacted
            and self._leaving_reason() is None
            and self.unresponsive_since is None
            and now >= self.placement_blocked_until
        )

    def charge(self, run: Run) -> None:
        """Charge a run to it."""
        self.runs[run.task.task_id, run.number] = run
        self.used += run.reserved

    def release(self, run: Run) -> None:
        """Stop charging a run to it."""
        del self.runs[run.task.task_id, run.number]
        self.used -= run.reserved

    def block_placement(self, until: float) -> None:
        """Place no new tasks on it until the given time."""
        self.placement_blocked_until = max(self.placement_blocked_until, until)

    def mark_unresponsive(self) -> None:
        """Stop relying on its last report after it failed to answer.

        Its runs stay charged until its lease expires, which can take seconds, but planned
        maintenance must not count them as available. Its next report updates their availability.
        """
        for run in self.runs.values():
            run.is_available = False

    def record_ending(self, run: Run, ending: Ending, pool: PoolFailureRate) -> bool:
        """Record how a run ended; return whether the executor is now judged faulty.

        An executor that fails its runs looks idle, and would attract more and more tasks. A failure
        is no evidence if the same step has failed elsewhere: then the job itself is at fault.
        """
        if ending not in (Ending.DONE, Ending.FAILED):
            return False
        failed = ending is Ending.FAILED
        if failed and _has_failed_elsewhere(run, self.name):
            return False
        pool.record(failed)
        return self.evidence.record(failed, run.task.task_id.job_id, pool.rate)

    def quarantine(self, now: float) -> None:
        """Place no new tasks on it for the quarantine time, since its runs fail."""
        self.evidence.begin_trial()
        self.quarantined_until = now + QUARANTINE_TIME
        self.block_placement(self.quarantined_until)


def _has_failed_elsewhere(run: Run, executor: str) -> bool:
    """Return whether a task of the run's step has failed on another executor."""
    return any(task.failed_on not in ("", executor) for task in run.task.step.tasks)


def _cold_statement(facts: ExecutorFacts) -> tuple[int, float]:
    """Return what identifies a statement of how long an executor remains slow."""
    return facts.incarnation, facts.cold_remaining


def may_quarantine(pool: Sequence[Executor], now: float) -> bool:
    """Return whether one more executor of a pool may be put in quarantine.

    If runs fail on most of a pool, the jobs are at fault. Quarantining the executors would leave
    healthy ones idle while all other jobs wait.
    """
    quarantined = sum(now < item.quarantined_until for item in pool)
    return quarantined + 1 <= MAX_QUARANTINED_PART * len(pool)


def by_service(executors: Iterable[Executor], service: str) -> list[Executor]:
    """Return the executors of one service."""
    return [item for item in executors if item.facts.service == service]
