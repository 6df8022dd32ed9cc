"""One incarnation of an executor: it starts, stops and reports runs by the platform's rules."""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import anyio
import orjson

from vanillawell.standins.scheduler.executor import MAX_REPORTED_ENDS
from vanillawell.standins.soak.record import RunRecord

if TYPE_CHECKING:
    from vanillawell.standins.soak.record import Life, Record

LEASE_MAX = 6.0
"""Seconds that a lease lasts at most."""

STOP_SECONDS = 0.3
"""Seconds that a run takes to end after a stop."""


@dataclass(slots=True)
class _ActiveRun:
    record: RunRecord
    ends_at: float
    ending: str


class SoakExecutor:
    """One incarnation. `now` is the steady clock of the stand-ins, in seconds."""

    def __init__(self, life: Life, record: Record, now: float) -> None:
        self.life = life
        self.began_at = now
        self.run_ended = anyio.Event()
        self._record = record
        self._fence = 0
        self._lease_end: float | None = None
        self._lapsed_at = float("-inf")
        self._active: dict[tuple[str, int], _ActiveRun] = {}
        self._closed: dict[str, int] = {}
        self._ends: list[list[Any]] = []
        self._ended: dict[int, RunRecord] = {}
        self._end_numbers = itertools.count(1)

    @property
    def has_ends(self) -> bool:
        """Return whether there are ends to report."""
        return bool(self._ends)

    def clock_ms(self, now: float) -> int:
        """Return the milliseconds since this incarnation began."""
        return int((now - self.began_at) * 1000)

    def accepts_fence(self, fence: int) -> bool:
        """Return whether a fencing token is as high as any before, and remember it."""
        if fence < self._fence:
            return False
        self._fence = fence
        return True

    def start(
        self, document: dict[str, Any], received_at: float, now: float, late: bool = False
    ) -> str:
        """Start a run; return the reason of the refusal, or an empty string."""
        task, number = document["task"], document["run"]
        if (task, number) in self._active:
            return ""
        if document["deadlineMs"] <= self.clock_ms(now):
            return "late"
        self.extend_lease(document["deadlineMs"], now)
        if number <= self._closed.get(task, 0):
            return "old"
        spec = orjson.loads(document["spec"])
        cost = (spec["cpu"], spec["memory"])
        run = RunRecord(
            task, number, self.life, document["fence"], *cost, received_at, began_at=now, late=late
        )
        self._record.runs.append(run)
        ends_at = now + spec["seconds"] if spec["seconds"] else float("inf")
        self._active[task, number] = _ActiveRun(run, ends_at, "done")
        return ""

    def stop(self, task: str, number: int, now: float) -> None:
        """Begin to stop a run, and refuse it if it is yet to begin."""
        self._closed[task] = max(self._closed.get(task, 0), number)
        for (name, _), active in self._active.items():
            if name == task and active.record.number <= number and active.ending != "stopped":
                active.record.stop_requested_at = now
                active.ending = "stopped"
                active.ends_at = min(active.ends_at, now + STOP_SECONDS)

    def extend_lease(self, deadline_ms: int, now: float) -> None:
        """Extend the lease of all runs; it never becomes shorter."""
        if self._lease_end is not None and now > self._lease_end:
            self._lapsed_at = self._lease_end
        end = min(self.began_at + deadline_ms / 1000, now + LEASE_MAX)
        self._lease_end = end if self._lease_end is None else max(self._lease_end, end)

    def confirm_ends(self, last_seen: int, now: float) -> None:
        """Forget the ends up to `last_seen`, and record that the scheduler has noted them."""
        confirmed = [row for row in self._ends if row[0] <= last_seen]
        self._ends = self._ends[len(confirmed) :]
        for row in confirmed:
            run = self._ended[row[0]]
            expired = self._lease_end is not None and now > self._lease_end
            if not expired and run.ended_at is not None and self._lapsed_at < run.ended_at:
                run.noted_at = now

    def report(self, now: float) -> dict[str, Any]:
        """Return the lists of active and ended runs."""
        running = [
            [task, number, "", 100 if now - active.record.began_at > 0.1 else 0, 0]
            for (task, number), active in self._active.items()
        ]
        return {"running": running, "finished": self._ends[:MAX_REPORTED_ENDS]}

    def end_due_runs(self, now: float) -> None:
        """End the runs whose work is done, whose stop is due, or whose lease has expired."""
        lease_end = self._lease_end if self._lease_end is not None else float("inf")
        for key, active in list(self._active.items()):
            if active.ends_at <= min(now, lease_end):
                self._end(key, active.ending, now)
            elif now > lease_end:
                self._end(key, "lapsed", lease_end)

    def _end(self, key: tuple[str, int], ending: str, now: float) -> None:
        run = self._active.pop(key).record
        run.ended_at, run.ending = now, ending
        self._closed[run.task] = max(self._closed.get(run.task, 0), run.number)
        number = next(self._end_numbers)
        self._ended[number] = run
        self._ends.append([number, run.task, run.number, ending, ""])
        self.run_ended.set()
        self.run_ended = anyio.Event()

    def die(self, now: float) -> None:
        """End everything without a report."""
        for active in self._active.values():
            active.record.ended_at, active.record.ending = now, "died"
        self._active.clear()
