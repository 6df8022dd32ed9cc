"""Stand-in for executors that records every order that breaks a guarantee of the scheduler."""

from __future__ import annotations

import itertools
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import anyio
import orjson

from vanillawell.transport.asgi import read_body, send_bytes, send_json

if TYPE_CHECKING:
    from vanillawell.transport.asgi import Receive, Scope, Send

MAX_BODY_BYTES = 300_000
"""Bytes of a request body that are read at most."""

CHECK_INTERVAL = 0.005
"""Seconds between two checks for runs that are due to end."""

DEFAULT_RUN_SECONDS = 0.2
"""Seconds that a task runs unless its spec sets `seconds`."""

MAX_REPORTED_ENDS = 500
"""Ended runs in one report, the limit of the published protocol."""


@dataclass(slots=True)
class ActiveRun:
    """One run that is active on an executor."""

    task: str
    number: int
    cpu: int
    ends_at: float
    outcome: str
    stopping: bool = False
    started_at: float = 0.0
    saves_progress: bool = False
    """Whether the run reports its progress, and saves it as a checkpoint when it is stopped."""

    @property
    def percent(self) -> int:
        """Return the progress in percent; always 100 for tasks that don't report it."""
        if not self.saves_progress:
            return 100
        worked = (time.monotonic() - self.started_at) / (self.ends_at - self.started_at)
        return min(100, int(100 * worked))


@dataclass(slots=True)
class OrderFaults:
    """Faults that are currently injected into the handling of orders."""

    unresponsive: bool = False
    """No call is answered, and new calls have no effect."""

    unhealthy: bool = False
    """Every call is refused with 503 and has no effect."""

    lose_answers: int = 0
    """Number of upcoming starts that are carried out but not answered."""

    lose_reports: int = 0
    """Number of upcoming reports that are made but do not arrive."""

    late_start_delay: float = 0.0
    """Seconds after which the next start is carried out without an answer; applies once."""


@dataclass(slots=True)
class Audit:
    """Observations of all executors of a test together."""

    violations: list[str] = field(default_factory=list)
    started: Counter[str] = field(default_factory=Counter)
    """Number of starts, by task."""

    resumed_from: dict[str, str] = field(default_factory=dict)
    """Checkpoint in the latest start of a task, by task."""

    done: set[str] = field(default_factory=set)
    """Tasks with a run that ended successfully and whose end the scheduler confirmed."""


class StandInExecutor:
    """One incarnation of an executor, as an ASGI application."""

    def __init__(
        self,
        name: str,
        audit: Audit,
        executors: list[StandInExecutor],
        cpu: int = 8_000,
        born: int = 1_000,
    ) -> None:
        self.name = name
        self.cpu = cpu
        self.born = born
        self.faults = OrderFaults()
        self.hold_calls = 0
        self.start_count = 0
        """Number of runs that this incarnation has started."""

        self._audit = audit
        self._executors = executors
        self._started_at = time.monotonic()
        self._fence = 0
        self._lease_end = 0.0
        self._active_runs: dict[str, ActiveRun] = {}
        self._last_closed_runs: dict[str, int] = {}
        self._unconfirmed_ends: list[list[Any]] = []
        self._end_numbers = itertools.count(1)
        self._run_ended = anyio.Event()

    @property
    def running(self) -> set[str]:
        """Return the tasks that have an active run."""
        return set(self._active_runs)

    @property
    def clock(self) -> int:
        """Return the milliseconds since this incarnation started."""
        return int((time.monotonic() - self._started_at) * 1000)

    def crash(self, cpu: int | None = None) -> StandInExecutor:
        """End this incarnation; return the next one, which keeps no state of it.

        The next one has as many millicores as this one unless `cpu` is given.
        """
        self._active_runs.clear()
        successor = StandInExecutor(
            self.name,
            self._audit,
            self._executors,
            self.cpu if cpu is None else cpu,
            self.born + 5_000,
        )
        self._executors[self._executors.index(self)] = successor
        return successor

    @property
    def unconfirmed_end_count(self) -> int:
        """Return the number of ended runs whose end is not confirmed."""
        return len(self._unconfirmed_ends)

    def end_all(self) -> None:
        """Let all active runs end now."""
        for run in list(self._active_runs.values()):
            self._end_run(run, run.outcome)

    def leave(self) -> None:
        """End all runs and stop answering calls."""
        self._active_runs.clear()
        self.faults.unresponsive = True

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one order."""
        body = await read_body(receive, MAX_BODY_BYTES)
        if self.faults.unresponsive:
            await anyio.sleep_forever()
        self._end_due_runs()
        document = orjson.loads(body)
        expected = dict(scope["headers"]).get(b"x-expect-instance", b"").decode()
        if expected and expected != self.name:
            await send_bytes(send, 421, b"{}")
            return
        if self.faults.unhealthy:
            await send_bytes(send, 503, b"{}")
            return
        if document.get("fence", 0) < self._fence:
            await self._answer(send, {"reason": "fence"}, 409)
            return
        self._fence = document.get("fence", 0)
        handler = {
            "/run-start": self._start,
            "/run-stop": self._stop,
            "/hold": self._hold,
            "/pace": self._pace,
        }[scope["path"]]
        await handler(document, send)

    async def _answer(self, send: Send, document: dict[str, Any], status: int = 200) -> None:
        if self.faults.unresponsive:
            await anyio.sleep_forever()
        await send_json(send, {**document, "clockMs": self.clock, "born": self.born}, status)

    async def _start(self, document: dict[str, Any], send: Send) -> None:
        if self.faults.late_start_delay:
            delay, self.faults.late_start_delay = self.faults.late_start_delay, 0.0
            await anyio.sleep(delay)
            if document["fence"] >= self._fence:
                self._start_run(document)
            await anyio.sleep_forever()
        reason = self._start_run(document)
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            await anyio.sleep_forever()
        if reason:
            await self._answer(send, {"reason": reason}, 409)
        else:
            await self._answer(send, {})

    def _start_run(self, document: dict[str, Any]) -> str:
        """Start a run; return the reason of the refusal, or an empty string."""
        task, number = document["task"], document["run"]
        active = self._active_runs.get(task)
        if active and active.number == number:
            return ""
        if number <= self._last_closed_runs.get(task, 0):
            return "old"
        if document["deadlineMs"] <= self.clock:
            return "late"
        self._lease_end = max(self._lease_end, document["deadlineMs"])
        self._check_guarantees(task)
        spec = orjson.loads(document["spec"] or "{}")
        started_at = time.monotonic()
        checkpoint = document.get("lastCheckpoint", "")
        ends_at = started_at + spec.get("seconds", DEFAULT_RUN_SECONDS) * (
            1 - int(checkpoint or 0) / 100
        )
        outcome = "failed" if spec.get("fails") else "done"
        self._active_runs[task] = ActiveRun(
            task,
            number,
            spec.get("cpu", 1_000),
            ends_at,
            outcome,
            started_at=started_at,
            saves_progress=spec.get("saves", False),
        )
        self.start_count += 1
        self._audit.started[task] += 1
        self._audit.resumed_from[task] = checkpoint
        if sum(run.cpu for run in self._active_runs.values()) > self.cpu:
            self._audit.violations.append(f"{self.name} exceeds its CPU capacity with {task}")
        return ""

    def _check_guarantees(self, task: str) -> None:
        if task in self._audit.done:
            self._audit.violations.append(f"{task} starts after its end was confirmed")
        if any(task in other.running for other in self._executors if other is not self):
            self._audit.violations.append(f"{task} runs on two executors at the same time")

    async def _stop(self, document: dict[str, Any], send: Send) -> None:
        task, number = document["task"], document["run"]
        self._last_closed_runs[task] = max(self._last_closed_runs.get(task, 0), number)
        active = self._active_runs.get(task)
        if active and active.number <= number:
            self._end_run(active, "stopped")
        await self._answer(send, {})

    async def _hold(self, document: dict[str, Any], send: Send) -> None:
        self.hold_calls += 1
        if "deadlineMs" in document:
            self._lease_end = max(self._lease_end, document["deadlineMs"])
        last_seen = document["lastSeen"]
        for number, task, _, outcome, _ in self._unconfirmed_ends:
            if number <= last_seen and outcome == "done":
                self._audit.done.add(task)
        self._unconfirmed_ends = [end for end in self._unconfirmed_ends if end[0] > last_seen]
        if not self._unconfirmed_ends:
            with anyio.move_on_after(document.get("waitMs", 0) / 1000):
                await self._run_ended.wait()
        running = [[run.task, run.number, "", run.percent, 0] for run in self._active_runs.values()]
        ended = list(self._unconfirmed_ends[:MAX_REPORTED_ENDS])
        if self.faults.lose_reports:
            self.faults.lose_reports -= 1
            await anyio.sleep_forever()
        await self._answer(send, {"running": running, "finished": ended})

    async def _pace(self, document: dict[str, Any], send: Send) -> None:
        await self._answer(send, {})

    def _end_run(self, run: ActiveRun, outcome: str) -> None:
        del self._active_runs[run.task]
        self._last_closed_runs[run.task] = max(self._last_closed_runs.get(run.task, 0), run.number)
        checkpoint = str(run.percent) if run.saves_progress and outcome == "stopped" else ""
        self._unconfirmed_ends.append(
            [next(self._end_numbers), run.task, run.number, outcome, checkpoint]
        )
        self._run_ended.set()
        self._run_ended = anyio.Event()

    def _end_due_runs(self) -> None:
        now = time.monotonic()
        lease_expired = self._lease_end and self.clock > self._lease_end
        for run in list(self._active_runs.values()):
            if lease_expired:
                self._end_run(run, "lapsed")
            elif run.ends_at <= now:
                self._end_run(run, run.outcome)

    async def tick(self) -> None:
        """End due runs on time even while no calls arrive."""
        while True:
            await anyio.sleep(CHECK_INTERVAL)
            self._end_due_runs()
