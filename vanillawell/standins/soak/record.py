"""Record of every run that executors began, as they saw it."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field
from typing import TYPE_CHECKING

import orjson

if TYPE_CHECKING:
    from pathlib import Path


@dataclass(frozen=True, slots=True)
class Life:
    """One incarnation of an executor, and what it has room for."""

    executor: str
    born: int
    """Unix milliseconds."""

    cpu: int
    """Millicores."""

    memory: int
    """Megabytes."""


@dataclass(slots=True)
class RunRecord:
    """One run of a task. All times are seconds on the steady clock of the stand-ins."""

    task: str
    number: int
    life: Life
    fence: int
    cpu: int
    memory: int
    received_at: float
    began_at: float
    late: bool = False
    """Whether the order was left unanswered and carried out late, or reached the next life."""

    stop_requested_at: float | None = None
    ended_at: float | None = None
    ending: str = ""
    noted_at: float | None = None
    """When the scheduler confirmed the end, unless the lease had expired by then."""

    def describe(self) -> str:
        """Return a line about the run."""
        times = [self.received_at, self.began_at, self.stop_requested_at]
        received, began, stop, ended, noted = (
            "-" if moment is None else f"{moment:.3f}"
            for moment in [*times, self.ended_at, self.noted_at]
        )
        return (
            f"{self.task} run {self.number} on {self.life.executor} life {self.life.born} "
            f"fence {self.fence}, received {received} began {began} late {str(self.late).lower()}, "
            f"stop {stop} end {ended} {self.ending} noted {noted}"
        )


@dataclass(slots=True)
class Record:
    """All runs in the order in which they began, and the faults that were injected."""

    runs: list[RunRecord] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)

    def write(self, path: Path) -> None:
        """Write one line of JSON for each run."""
        path.write_bytes(b"".join(orjson.dumps(asdict(run)) + b"\n" for run in self.runs))
