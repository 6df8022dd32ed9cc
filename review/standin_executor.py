"""Stand-in of an executor, as PROTOCOL.md describes it, and the log of all that they do."""

from __future__ import annotations

import asyncio
import itertools
import json
import time
from dataclasses import dataclass, field
from typing import Any, Callable

REPORTED_ENDS = 500
"""Ends in one report ("500 at a time")."""


@dataclass
class RunLog:
    """One run of a task, as its executor saw it."""

    task: str
    number: int
    executor: str
    began: float
    ended: float | None = None
    how: str = ""
    noted: float | None = None
    """When `lastSeen` reached its end."""

    fence: int = 0


@dataclass
class Log:
    """All that the executors and the client saw, in order."""

    started_at: float = field(default_factory=time.monotonic)
    runs: list[RunLog] = field(default_factory=list)
    lines: list[str] = field(default_factory=list)

    def write(self, text: str) -> None:
        self.lines.append("%8.3f %s" % (time.monotonic() - self.started_at, text))


@dataclass
class _Active:
    log: RunLog
    ends_at: float
    how: str
    stopping: bool = False


class Executor:
    """One life of an executor with `capacity` thousandths of a core."""

    def __init__(
        self,
        name: str,
        log: Log,
        seconds: Callable[[str], float],
        hold_max: float,
        kill_grace: float,
    ) -> None:
        self.name = name
        self.born = int(time.time() * 1000)
        self._log = log
        self._seconds = seconds
        self._hold_max = hold_max
        self._kill_grace = kill_grace
        self._began = time.monotonic()
        self._fence = 0
        self._lease_end: float | None = None
        self._lapsed_at = 0.0
        self._active: dict[str, _Active] = {}
        self._closed: dict[str, int] = {}
        self._ends: list[list[Any]] = []
        self._ended_runs: dict[int, RunLog] = {}
        self._numbers = itertools.count(1)
        self._changed = asyncio.Event()
        self.last_call: float | None = None

    @property
    def clock_ms(self) -> int:
        return int((time.monotonic() - self._began) * 1000)

    @property
    def running(self) -> int:
        return len(self._active)

    async def tick(self) -> None:
        while True:
            await asyncio.sleep(0.005)
            self._end_due()

    async def handle(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, Any]:
        self._end_due()
        self.last_call = time.monotonic()
        expected = headers.get("x-expect-instance", "")
        if expected and expected != self.name:
            return 421, {"clockMs": self.clock_ms}
        if method == "GET":
            return 200, {"clockMs": self.clock_ms}
        document = json.loads(body)
        fence = document.get("fence", 0)
        if fence < self._fence:
            return 409, {"reason": "fence", "clockMs": self.clock_ms}
        self._fence = fence
        if target == "/run-start":
            answer = self._start(document, fence)
        elif target == "/run-stop":
            answer = self._stop(document)
        elif target == "/hold":
            answer = await self._hold(document)
        else:
            answer = 200, {}
        status, content = answer
        return status, {"clockMs": self.clock_ms, **content}

    def _extend(self, deadline_ms: int) -> None:
        now = time.monotonic()
        if self._lease_end is not None and now > self._lease_end:
            self._lapsed_at = self._lease_end
        end = min(self._began + deadline_ms / 1000, now + self._hold_max)
        self._lease_end = end if self._lease_end is None else max(self._lease_end, end)

    def _start(self, document: dict[str, Any], fence: int) -> tuple[int, Any]:
        task, number = document["task"], document["run"]
        active = self._active.get(task)
        if active is not None and active.log.number == number:
            return 200, {}
        if document["deadlineMs"] <= self.clock_ms:
            return 409, {"reason": "late"}
        self._extend(document["deadlineMs"])
        if active is not None or number <= self._closed.get(task, 0):
            return 409, {"reason": "old"}
        now = time.monotonic()
        run = RunLog(task, number, self.name, now, fence=fence)
        self._log.runs.append(run)
        self._log.write(f"start {task} run {number} on {self.name} fence {fence}")
        self._active[task] = _Active(run, now + self._seconds(task), "done")
        return 200, {}

    def _stop(self, document: dict[str, Any]) -> tuple[int, Any]:
        task, number = document["task"], document["run"]
        self._closed[task] = max(self._closed.get(task, 0), number)
        active = self._active.get(task)
        if active is not None and active.log.number <= number and not active.stopping:
            active.stopping = True
            active.how = "stopped"
            active.ends_at = min(active.ends_at, time.monotonic() + self._kill_grace / 2)
        return 200, {}

    async def _hold(self, document: dict[str, Any]) -> tuple[int, Any]:
        if "deadlineMs" in document:
            self._extend(document["deadlineMs"])
        self._forget(document["lastSeen"])
        deadline = time.monotonic() + document.get("waitMs", 0) / 1000
        while not self._ends:
            left = deadline - time.monotonic()
            if left <= 0:
                break
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                pass
        now = time.monotonic()
        if len(self._ends) > REPORTED_ENDS:
            self._log.write(
                f"hold on {self.name} fence {document.get('fence', 0)} lists {REPORTED_ENDS} of "
                f"{len(self._ends)} ends and {len(self._active)} runs"
            )
        rows = [
            [task, item.log.number, "", min(100, self._percent(item, now)), 0]
            for task, item in self._active.items()
        ]
        return 200, {"running": rows, "finished": self._ends[:REPORTED_ENDS], "born": self.born}

    @staticmethod
    def _percent(item: _Active, now: float) -> int:
        length = max(0.001, item.ends_at - item.log.began)
        return int(100 * (now - item.log.began) / length)

    def _forget(self, last_seen: int) -> None:
        now = time.monotonic()
        seen = [row for row in self._ends if row[0] <= last_seen]
        if not seen:
            return
        self._ends = [row for row in self._ends if row[0] > last_seen]
        for row in seen:
            run = self._ended_runs[row[0]]
            ended = run.ended or now
            lapsed = self._lease_end is not None and now > self._lease_end
            if not lapsed and self._lapsed_at < ended:
                run.noted = now

    def _end_due(self) -> None:
        now = time.monotonic()
        if self._lease_end is not None and now > self._lease_end:
            for item in list(self._active.values()):
                self._end(item, "lapsed", now)
            return
        for item in list(self._active.values()):
            if item.ends_at <= now:
                self._end(item, item.how, now)

    def _end(self, item: _Active, how: str, now: float) -> None:
        run = item.log
        del self._active[run.task]
        self._closed[run.task] = max(self._closed.get(run.task, 0), run.number)
        run.ended, run.how = now, how
        number = next(self._numbers)
        self._ended_runs[number] = run
        self._ends.append([number, run.task, run.number, how, ""])
        self._log.write(f"end {run.task} run {run.number} on {self.name} {how} as end {number}")
        self._changed.set()
        self._changed = asyncio.Event()
