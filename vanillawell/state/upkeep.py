"""Plan the upkeep of machines in waves without taking away more than may be away.

The upkeep of a machine ends everything on it at once. So a machine is first closed to new tasks,
its long-running tasks are moved one after the other as far as their steps allow, and the others
are given time to end. The next machine is emptied while the present one is away: emptying takes
about as long as the upkeep itself, and done one after the other waves would be late.
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
    from vanillawell.state.work import Run, StepProgress

EMPTIED_AHEAD = 1
"""Machines that are emptied beyond those that may be away; more would only take room away."""

EMPTIED_PART = 0.1
"""Part of a service's machines that are emptied at a time, one at least."""

EMPTIED_PART_LASTING = 0.25
"""The same for machines that hold lasting tasks: these are moved one of a step at a time, and with
few machines open to them most steps would have nobody to move."""

EMPTYING = 3.0
"""Seconds that it takes to empty a machine, from closing it to its order."""

SHORT_TASK_TIMEOUT = 4.0
"""Seconds for which tasks that end by themselves are waited for; longer ones are stopped."""

LIST_LAG = 0.3
"""Seconds by which a list must be younger than an order to show its effect; a first guess."""

MIN_UPKEEP_DURATION = 1.7
"""Seconds after which a machine may be back from upkeep; upkeeps are said to take 2 s."""

UNKNOWN_INCARNATION = "unknown"
"""Stands for the life of an executor on a machine where none was seen before its upkeep."""

HASTE = 0.75
"""Part of a wave's time after which nothing is waited for any more."""


@dataclass(frozen=True, slots=True)
class Wave:
    """A request that each of these machines has its upkeep in time."""

    number: int
    machines: tuple[str, ...]
    duration: float
    """Seconds."""

    most_away: int
    """Machines of the wave that may be away for their upkeep at the same time."""


@dataclass(slots=True)
class WaveProgress:
    """How far a wave has come."""

    wave: Wave
    first_seen: float
    """Clock of decisions when it was first seen."""

    decided: set[str] = field(default_factory=set)
    """Machines whose upkeep was decided; stored before the order goes out."""

    confirmed: set[str] = field(default_factory=set)
    """Machines whose upkeep has begun for certain, or that will never have one."""

    away: dict[str, str] = field(default_factory=dict)
    """Machines that are away, each with the life of the executor that it had before."""

    ordered: dict[str, float] = field(default_factory=dict)
    """Clock of decisions at which the latest order for each machine went out."""

    closed: dict[str, float] = field(default_factory=dict)
    """Machines being emptied, each with the time at which that began."""

    completed: bool = False

    def past_wait_deadline(self, now: float) -> bool:
        """Tell whether so much time has passed that nothing is waited for any more."""
        return self.unhurried_for(now) < 0

    def unhurried_for(self, now: float) -> float:
        """Return the seconds for which tasks may be waited for; negative once that is over."""
        return self.first_seen + HASTE * self.wave.duration - now

    @property
    def unconfirmed(self) -> set[str]:
        """Return the machines whose order went out, or may have, and got no answer."""
        return self.decided - self.confirmed

    def decide(self, machine: str, life: str) -> None:
        """Note that the upkeep of a machine was decided; `life` is the executor's on it."""
        self.decided.add(machine)
        self.away[machine] = life
        self.closed.pop(machine, None)

    def release_returned(
        self, lives: Mapping[str, str], up: Collection[str], listed: float
    ) -> None:
        """Free the places of machines that are back.

        `lives` tells which life each machine has now, `up` which ones the list of machines showed
        as up when it was asked for at `listed`. A new life alone proves nothing: it may have been
        on its way before the order. Nor does an older list, which shows each machine as up. One on
        which nothing lives, such as one on standby, is back if it is up after the time that an
        upkeep takes. One whose order is in doubt keeps its place: the order may be carried out
        later still, and is repeated.
        """
        for machine, before in list(self.away.items()):
            if machine in self.unconfirmed:
                continue
            age = listed - self.ordered.get(machine, 0.0)
            changed = before == UNKNOWN_INCARNATION or lives.get(machine, before) != before
            over = machine in self.confirmed and machine not in lives and age > MIN_UPKEEP_DURATION
            if age > LIST_LAG and (changed or over) and machine in up:
                del self.away[machine]


def incarnation_id(executor: Executor) -> str:
    """Return what tells two lives of an executor apart."""
    return f"{executor.name}@{executor.facts.incarnation}"


def machines_to_close(
    progress: WaveProgress, executors: Mapping[str, Executor], now: float
) -> list[str]:
    """Return machines that should be emptied now.

    Lasting tasks are moved one after the other as their steps allow, which decides how long a wave
    takes; so the machines that hold them begin at once, beside those with least work. Machines that
    are down for other reasons are left for later.
    """
    wave = progress.wave
    room = wave.most_away + EMPTIED_AHEAD - len(progress.away) - len(progress.closed)
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
    time_left = progress.unhurried_for(now)
    most = {
        (service, lasting): _emptied_at_once(
            sizes[service], left[service, lasting], lasting, time_left
        )
        for service, lasting in left
    }
    chosen: list[str] = []
    for name in waiting:
        kind = kinds[name]
        if len(chosen) < room and closed[kind] < most[kind]:
            chosen.append(name)
            closed[kind] += 1
    return chosen


def _emptying_kind(executor: Executor) -> tuple[str, bool]:
    """Return the service, and whether lasting tasks have to be moved away."""
    return executor.facts.service, has_long_running(executor)


def _emptied_at_once(size: int, left: int, lasting: bool, time_left: float) -> int:
    """Return how many machines of one kind of a service may be in emptying at the same time.

    Few, so that a pool loses no more room than needed; but as many as it takes for those that are
    `left` to be through in time. An owner that comes late in a wave finds most of them before it.
    """
    rounds = max(1.0, time_left / EMPTYING)
    part = EMPTIED_PART_LASTING if lasting else EMPTIED_PART
    return max(1, int(part * size), math.ceil(left / rounds))


def runs_to_move(executor: Executor, can_place_elsewhere: Callable[[Run], bool]) -> list[Run]:
    """Return long-running tasks of an executor that may be moved now, one of a step.

    A task for which no other executor has a place stays at work: stopped now, it would be away
    until a machine has come. The order is the same for each owner: a new one that can't see yet
    what its predecessor stopped chooses the same task, not a second one.
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
    """Tell whether the upkeep of a closed machine may begin."""
    if has_long_running(executor):
        return past_wait_deadline and may_interrupt_all(executor)
    return not executor.runs or past_wait_deadline or now > since + SHORT_TASK_TIMEOUT
