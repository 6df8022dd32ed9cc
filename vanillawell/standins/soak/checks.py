"""Find the starts that break a rule, in the record of the executors."""

from __future__ import annotations

import itertools
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from vanillawell.standins.soak.record import RunRecord


@dataclass(frozen=True, slots=True)
class Violation:
    """A start that breaks a rule, and the earlier runs that it breaks it with."""

    rule: str
    start: RunRecord
    others: tuple[RunRecord, ...]

    @property
    def late(self) -> bool:
        """Return whether an order that an executor carried out late takes part."""
        return any(run.late for run in (self.start, *self.others))

    def describe(self) -> str:
        """Return the violation, one run a line."""
        late = " (late order involved)" if self.late else ""
        head = f"{self.rule}{late}: {self.start.describe()}"
        return "\n".join([head, *(f"    beside/after {run.describe()}" for run in self.others)])


def find_violations(runs: Iterable[RunRecord]) -> list[Violation]:
    """Return all violations, in the order in which the starts happened."""
    recorded = list(runs)
    found = [*_over_capacity(recorded), *_second_runs(recorded)]
    return sorted(found, key=lambda violation: violation.start.began_at)


def _over_capacity(runs: list[RunRecord]) -> Iterator[Violation]:
    """Yield the starts that bring an executor over its capacity; runs count until they end."""
    active_by_life: defaultdict[object, list[RunRecord]] = defaultdict(list)
    for start in runs:
        active = [run for run in active_by_life[start.life] if _runs_at(run, start.began_at)]
        active_by_life[start.life] = [*active, start]
        cpu = start.cpu + sum(run.cpu for run in active)
        memory = start.memory + sum(run.memory for run in active)
        if cpu > start.life.cpu or memory > start.life.memory:
            yield Violation("LIMIT", start, tuple(active))


def _second_runs(runs: list[RunRecord]) -> Iterator[Violation]:
    """Yield the starts beside another run of the task, or after an end as done that was noted."""
    by_task: defaultdict[str, list[RunRecord]] = defaultdict(list)
    for run in runs:
        by_task[run.task].append(run)
    pairs = itertools.chain.from_iterable(
        itertools.combinations(group, 2) for group in by_task.values() if len(group) > 1
    )
    for earlier, start in pairs:
        if _runs_at(earlier, start.began_at):
            yield Violation("TWICE at once", start, (earlier,))
        elif earlier.ending == "done" and earlier.noted_at is not None:
            yield Violation("TWICE after done", start, (earlier,))


def _runs_at(run: RunRecord, moment: float) -> bool:
    return run.ended_at is None or run.ended_at > moment
