"""Plan waves of machine upkeep within the limits on absent machines and tasks.

The upkeep of a machine ends everything on it at once. So a machine is first closed to new tasks
(cordoned), its long-running tasks are moved one after the other as far as their steps allow, and
the others are given time to end. The next machine is emptied while the present one is away:
emptying takes about as long as the upkeep itself, so a wave that did both in sequence would be
late.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from vanillawell.state.availability import has_long_running, may_interrupt, may_interrupt_all

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Mapping

    from vanillawell.state.executors import Executor
    from vanillawell.state.progress import Run, StepProgress

EXTRA_MACHINES_EMPTIED = 1
"""Machines being emptied in addition to those that may be away. More would only reduce the free
capacity."""

MAX_EMPTIED_PART = 0.1
"""Part of a service's machines that are emptied at a time; at least one."""

MAX_EMPTIED_PART_LONG_RUNNING = 0.25
"""The same for machines with long-running tasks. These are moved one of a step at a time, so with
few machines being emptied most steps would have no task to move."""

EMPTYING_TIME = 3.0
"""Seconds that it takes to empty a machine, from closing it to the order for its upkeep."""

SHORT_TASK_TIMEOUT = 4.0
"""Seconds granted to tasks of limited duration to end; longer ones are stopped."""

LIST_LAG = 0.3
"""Seconds by which the list of machines must be younger than an order to show its effect; an
estimate."""

MIN_UPKEEP_DURATION = 1.7
"""Seconds after which a machine may be back from upkeep, which is specified to take 2 s."""

UNKNOWN_INCARNATION = "unknown"
"""Placeholder for the incarnation on a machine where none was known before its upkeep."""

WAIT_PART = 0.75
"""Part of a wave's duration after which the upkeep no longer waits for tasks."""


@dataclass(frozen=True, slots=True)
class Wave:
    """A request for the upkeep of a set of machines within a time limit."""

    number: int
    machines: tuple[str, ...]
    duration: float
    """Seconds."""

    most_away: int
    """Machines of the wave that may be away for their upkeep at the same time."""


@dataclass(slots=True)
class WaveProgress:
    """Progress of a wave."""

    wave: Wave
    first_seen: float
    """When the wave was first seen, on the monotonic clock (`vanillawell.clock`)."""

    decided: set[str] = field(default_factory=set)
    """Machines whose upkeep was decided; stored before the order is sent."""

    confirmed: set[str] = field(default_factory=set)
    """Machines whose upkeep is confirmed to have begun, or that will never have one."""

    away: dict[str, str] = field(default_factory=dict)
    """Machines that are away, with the incarnation of the executor that ran before the upkeep."""

    ordered: dict[str, float] = field(default_factory=dict)
    """When the latest order for each machine was sent, on the same clock."""

    possibly_begun: set[str] = field(default_factory=set)
    """Machines of which an earlier order may have been carried out, whatever a later one is
    answered."""

    closed: dict[str, float] = field(default_factory=dict)
    """Machines being emptied, with the time at which that began."""

    completed: bool = False

    def past_wait_deadline(self, now: float) -> bool:
        """Return whether the upkeep no longer waits for tasks to end or move."""
        return self.wait_time_left(now) < 0

    def wait_time_left(self, now: float) -> float:
        """Return the seconds for which the upkeep may still wait for tasks; may be negative."""
        return self.first_seen + WAIT_PART * self.wave.duration - now

    @property
    def unconfirmed(self) -> set[str]:
        """Return the machines whose order may have been sent but was not answered."""
        return self.decided - self.confirmed

    def decide(self, machine: str, incarnation: str) -> None:
        """Record the decision to begin the upkeep of a machine.

        `incarnation` identifies the executor that runs on it.
        """
        self.decided.add(machine)
        self.away[machine] = incarnation
        self.closed.pop(machine, None)

    def release_returned(
        self, incarnations: Mapping[str, str], up: Collection[str], listed_at: float
    ) -> None:
        """Release the places of machines that are back from upkeep.

        `incarnations` maps each machine to its present incarnation. `up` holds the machines that
        were up in the list requested at `listed_at`. A new incarnation alone is no proof: it may
        have started before the order. Nor is a list older than the order, which shows every machine
        as up, nor one that leaves the machine out. A machine without an executor, such as one on
        standby, is back if it is up after the duration of an upkeep. A machine whose order is
        unconfirmed keeps its place, because the order is repeated and may still be carried out.
        """
        for machine, before in list(self.away.items()):
            if machine in self.unconfirmed:
                continue
            age = listed_at - self.ordered.get(machine, 0.0)
            changed = before == UNKNOWN_INCARNATION or incarnations.get(machine, before) != before
            over = (
                machine in self.confirmed
                and machine not in incarnations
                and age > MIN_UPKEEP_DURATION
            )
            if age > LIST_LAG and (changed or over) and machine in up:
                del self.away[machine]

    def doubt_unlisted(
        self, listed: Collection[str], incarnations: Collection[str], listed_at: float
    ) -> list[str]:
        """Return the machines that should be back and that a list leaves out; their orders count
        as unconfirmed again.

        Such a machine may have been removed, or the list may be incomplete. The answer to a
        repeated order tells.
        """
        doubted = [
            name
            for name in self.away.keys() & self.confirmed
            if name not in listed
            and name not in incarnations
            and listed_at > self.ordered.get(name, 0.0) + MIN_UPKEEP_DURATION
        ]
        self.confirmed.difference_update(doubted)
        self.possibly_begun.update(doubted)
        return doubted


def incarnation_id(executor: Executor) -> str:
    """Return an identifier that differs between incarnations of an executor."""
    return f"{executor.name}@{executor.facts.incarnation}"


def machines_to_close(
    progress: WaveProgress, executors: Mapping[str, Executor], now: float
) -> list[str]:
    """Return the machines that should be closed and emptied now.

    Long-running tasks are moved one after the other as their steps allow, which determines the
    duration of a wave. So machines that hold them are emptied from the start, along with those with
    the least work. Machines that are down for other reasons are left for later.
    """
    wave = progress.wave
    free_places = (
        wave.most_away + EXTRA_MACHINES_EMPTIED - len(progress.away) - len(progress.closed)
    )
    waiting = [
        name
        for name in wave.machines
        if name not in progress.decided and name not in progress.closed and name in executors
    ]
    waiting.sort(key=lambda name: (len(executors[name].runs), executors[name].used.cpu, name))
    kinds = {name: _emptying_kind(executors[name]) for name in executors}
    sizes = Counter(service for service, _ in kinds.values())
    closed = Counter(kinds[name] for name in progress.closed if name in kinds)
    left = Counter(kinds[name] for name in waiting) + closed
    time_left = progress.wait_time_left(now)
    limits = {
        (service, long_running): _max_emptied(
            sizes[service], left[service, long_running], long_running, time_left
        )
        for service, long_running in left
    }
    chosen: list[str] = []
    for name in waiting:
        kind = kinds[name]
        if len(chosen) < free_places and closed[kind] < limits[kind]:
            chosen.append(name)
            closed[kind] += 1
    return chosen


def _emptying_kind(executor: Executor) -> tuple[str, bool]:
    """Return the service, and whether long-running tasks have to be moved away."""
    return executor.facts.service, has_long_running(executor)


def _max_emptied(size: int, left: int, long_running: bool, time_left: float) -> int:
    """Return how many machines of one kind of a service may be emptied at the same time.

    The number is small so that a pool loses no more capacity than needed, but large enough to empty
    the `left` machines in time. An owner that takes over late in a wave may find most of them left.
    """
    rounds = max(1.0, time_left / EMPTYING_TIME)
    part = MAX_EMPTIED_PART_LONG_RUNNING if long_running else MAX_EMPTIED_PART
    return max(1, int(part * size), math.ceil(left / rounds))


def runs_to_move(executor: Executor, can_place_elsewhere: Callable[[Run], bool]) -> list[Run]:
    """Return the long-running tasks that may be moved off an executor now, one of each step.

    A task that no other executor can take keeps running; stopped now, it would be away until
    another machine has arrived. The order of tasks is the same for each owner, so that a new owner,
    which has no report yet of the tasks that the previous owner stopped, chooses the same task and
    not a second one.
    """
    chosen: dict[StepProgress, Run] = {}
    for run in sorted(executor.runs.values(), key=lambda run: run.task.task_id):
        step = run.task.step
        movable = step.spec.long_running and not run.stop_requested and step not in chosen
        if movable and may_interrupt(run) and can_place_elsewhere(run):
            chosen[step] = run
    return list(chosen.values())


def may_begin_upkeep(
    executor: Executor, since: float, past_wait_deadline: bool, now: float
) -> bool:
    """Return whether the upkeep of a closed machine may begin."""
    if has_long_running(executor):
        return past_wait_deadline and may_interrupt_all(executor)
    return not executor.runs or past_wait_deadline or now > since + SHORT_TASK_TIMEOUT
