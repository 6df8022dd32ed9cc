"""Keep what is known of executors: who they are, what runs on them, whether they are sound."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from vanillawell.state.work import NO_RESOURCES, Ending, Resources, Run, TaskId

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

UNREACHABLE_BLOCK_TIME = 1.0
"""Seconds for which an executor that could not be reached gets no new work."""

FAILURES_IN_A_ROW = 5
"""Failed runs without a success between them that put an executor's soundness in doubt.

So many in a row are no chance while single tasks seldom fail by themselves."""

JOBS_IN_DOUBT = 2
"""Different jobs that these failures must come from: otherwise the fault is the job's."""

MAX_REGISTRATION_AGE = 1.5
"""Seconds after which executors write their entries anew at the latest."""

QUARANTINED_PART = 0.5
"""Part of a pool that may be in quarantine at a time."""

QUARANTINE_TIME = 4.0
"""Seconds for which a doubtful executor gets no new work; then it is tried again."""


@dataclass(frozen=True, slots=True)
class ExecutorFacts:
    """What an executor says of itself in the registry."""

    executor: str
    """Its id."""

    incarnation: int
    """Start time of its present life, in milliseconds since the epoch."""

    service: str
    address: str
    zone: str
    rack: str
    machine: str
    labels: frozenset[str]
    capacity: Resources
    draining: bool
    remaining: float | None = None
    """Least seconds, from when it wrote this, after which it leaves; None if it did not say."""


@dataclass(slots=True, eq=False)
class Executor:
    """One life of an executor, and what it is charged with."""

    facts: ExecutorFacts
    tracked_since: float
    """Clock of decisions at which this process first heard of its present life."""

    registered: bool = True
    contacted: bool = False
    """Whether it has reported since this process became its owner."""

    runs: dict[tuple[TaskId, int], Run] = field(default_factory=dict)
    used: Resources = NO_RESOURCES
    seen_end: int = 0
    """Highest number of an end that was taken in from its reports."""

    unsaved_ends: set[int] = field(default_factory=set)
    """Numbers of ends whose effect is not stored yet."""

    lease_expires_at: float = 0.0
    """Clock of decisions at which everything on it is surely dead unless renewed."""

    restarted_at: float = 0.0
    """Clock of decisions at which a new life under the same id was noticed; 0 for the first."""

    unresponsive_since: float | None = None
    """Clock of decisions since which it has answered nothing; None while it answers."""

    earliest_departure: float | None = None
    """Clock of decisions up to which it said that it goes on; None while it does not leave."""

    departure_reported_at: float = 0.0
    """Clock of decisions at which it was read last for how long it goes on."""

    placement_blocked_until: float = 0.0
    quarantined_until: float = 0.0
    """Clock of decisions up to which it gets no work for what it failed."""

    cordoned: bool = False
    """Whether planned work keeps new tasks away."""

    withheld: bool = False
    """Whether an order of a former owner for its machine may end it yet, or may have ended it."""

    order_void_since: float | None = None
    """Clock of decisions since which that order can't take effect any more: an answer to a later
    call shows that it lives on. None while the order may."""

    awaits_upkeep: bool = False
    """Whether a wave has yet to take its machine down, which ends all that runs there."""

    failures: list[str] = field(default_factory=list)
    """Jobs of the failed runs since the last success."""

    @property
    def name(self) -> str:
        """Return its id."""
        return self.facts.executor

    @property
    def is_unconfirmed(self) -> bool:
        """Tell whether nobody can say what runs on it now."""
        return not self.contacted or self.unresponsive_since is not None

    @property
    def must_drain(self) -> bool:
        """Tell whether what lasts here has to go elsewhere, since it leaves or is closed."""
        return self.cordoned or (self.registered and self.facts.draining)

    @property
    def free(self) -> Resources:
        """Return the capacity that nothing is charged for."""
        return self.facts.capacity - self.used

    @property
    def saved_end(self) -> int:
        """Return the highest number up to which all ends are stored."""
        return min(self.unsaved_ends) - 1 if self.unsaved_ends else self.seen_end

    def begin_incarnation(self, now: float) -> None:
        """Note that it has started again under its id.

        It holds and knows nothing of before, so only its next report tells which runs it has:
        an order that was sent just now may already belong to the new life.
        """
        self.contacted = False
        self.seen_end = 0
        self.unsaved_ends.clear()
        self.failures.clear()
        self.earliest_departure = None
        self.restarted_at = now
        self.tracked_since = now

    def is_from_earlier_incarnation(self, incarnation: int, sent: float) -> bool:
        """Tell whether an answer to a call that was sent at `sent` is of a life that is over.

        One that answers a later call is believed: then the entry that told of a new life was wrong.
        """
        return incarnation < self.facts.incarnation and sent < self.restarted_at

    def update_facts(self, facts: ExecutorFacts, now: float) -> None:
        """Take in what it says of itself.

        The same time left as before is the same entry, read again. An entry that is read for the
        first time, as after a change of owner, may have stood for as long as entries do.
        """
        same = self.earliest_departure is not None and facts.remaining == self.facts.remaining
        if not facts.draining:
            self.earliest_departure = None
        elif not same:
            age = 0.0 if self.registered else MAX_REGISTRATION_AGE
            self.earliest_departure = now - age + (facts.remaining or 0.0)
            self.departure_reported_at = now
        self.facts = facts
        self.registered = True

    def record_answer(self, sent: float) -> None:
        """Take in that it answered a call that was sent at `sent`."""
        self.contacted = True
        if self.order_void_since is not None and sent >= self.order_void_since:
            self.withheld, self.order_void_since = False, None

    def accepts_tasks(self, now: float) -> bool:
        """Tell whether new tasks may be placed here."""
        return self.is_healthy(now) and not self.withheld

    def is_healthy(self, now: float) -> bool:
        """Tell whether it takes new tasks, or will once it is no longer withheld."""
        return (
            self.registered
            and self.contacted
            and not self.facts.draining
            and not self.cordoned
            and self.unresponsive_since is None
            and now >= self.placement_blocked_until
        )

    def charge(self, run: Run) -> None:
        """Count a run until it is proved over."""
        self.runs[run.task.task_id, run.number] = run
        self.used += run.reserved

    def release(self, run: Run) -> None:
        """Stop counting a run."""
        del self.runs[run.task.task_id, run.number]
        self.used -= run.reserved

    def block_placement(self, until: float) -> None:
        """Keep new work away until a moment."""
        self.placement_blocked_until = max(self.placement_blocked_until, until)

    def mark_unresponsive(self) -> None:
        """Take in that it answers nothing: what it was last seen to do, it may do no more.

        Its runs stay charged until their lease is over, which can take seconds; but planned work
        must not rely on them meanwhile. Its next report tells which of them are at work.
        """
        for run in self.runs.values():
            run.is_available = False

    def judge(self, run: Run, ending: Ending) -> bool:
        """Learn from how a run ended; True if the executor's soundness is in doubt by now.

        An executor that fails all it starts looks idle, so it would draw ever more work.
        """
        if ending is Ending.DONE:
            self.failures.clear()
        if ending is not Ending.FAILED:
            return False
        self.failures.append(run.task.task_id.job_id)
        recent = self.failures[-FAILURES_IN_A_ROW:]
        if len(recent) < FAILURES_IN_A_ROW or len(set(recent)) < JOBS_IN_DOUBT:
            return False
        del self.failures[:-2]
        return True

    def quarantine(self, now: float) -> None:
        """Keep new work away for a while, since it fails what it starts."""
        self.quarantined_until = now + QUARANTINE_TIME
        self.block_placement(self.quarantined_until)


def may_quarantine(pool: Sequence[Executor], now: float) -> bool:
    """Tell whether one more executor of a pool may be put in quarantine.

    Where most of a pool fails what it starts, the fault is that of the jobs: shut out for them,
    sound executors would be idle while all other jobs wait.
    """
    shut_out = sum(now < item.quarantined_until for item in pool)
    return shut_out + 1 <= QUARANTINED_PART * len(pool)


def by_service(executors: Iterable[Executor], service: str) -> list[Executor]:
    """Return the executors of one service."""
    return [item for item in executors if item.facts.service == service]
