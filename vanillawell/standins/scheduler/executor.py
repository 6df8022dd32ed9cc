"""Stand in for executors, and note from their side every promise that an order breaks."""

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

LARGEST_BODY = 300_000
"""Bytes of a request that are read."""

STEP = 0.005
"""Seconds between two looks at what has ended."""

DEFAULT_SECONDS = 0.2
"""Seconds that a task works whose text says nothing else."""

SHOWN_ENDS = 500
"""Ends in one report, as published."""


@dataclass(slots=True)
class Present:
    """One run on an executor."""

    task: str
    number: int
    need: int
    ends_at: float
    how: str
    stopping: bool = False
    began: float = 0.0
    saves: bool = False
    """Whether it tells how far it has come, and leaves that as a checkpoint when it is stopped."""

    @property
    def percent(self) -> int:
        """Return how far it has come; tasks that don't tell are shown as being at work."""
        if not self.saves:
            return 100
        worked = (time.monotonic() - self.began) / (self.ends_at - self.began)
        return min(100, int(100 * worked))


@dataclass(slots=True)
class OrderFaults:
    """What goes wrong with orders now."""

    unresponsive: bool = False
    """No call is answered, and new ones have no effect."""

    unhealthy: bool = False
    """Every call is refused and has no effect."""

    lose_answers: int = 0
    """So many of the next starts are carried out and get no answer."""

    lose_reports: int = 0
    """So many of the next reports are made and do not arrive."""

    late_start_delay: float = 0.0
    """Seconds after which the next start, once, is carried out without an answer."""


@dataclass(slots=True)
class Audit:
    """What all executors together have seen."""

    violations: list[str] = field(default_factory=list)
    started: Counter[str] = field(default_factory=Counter)
    """Starts by task."""

    resumed_from: dict[str, str] = field(default_factory=dict)
    """Checkpoint that the latest start of a task carried, by task."""

    done: set[str] = field(default_factory=set)
    """Tasks one of whose runs has ended well and was confirmed."""


class StandInExecutor:
    """One life of an executor, an ASGI application."""

    def __init__(
        self,
        name: str,
        audit: Audit,
        siblings: list[StandInExecutor],
        cpu: int = 8_000,
        born: int = 1_000,
    ) -> None:
        self.name = name
        self.cpu = cpu
        self.born = born
        self.faults = OrderFaults()
        self.hold_calls = 0
        self._audit = audit
        self._siblings = siblings
        self._began = time.monotonic()
        self._fence = 0
        self._lease_end = 0.0
        self._present: dict[str, Present] = {}
        self._closed: dict[str, int] = {}
        self._ends: list[list[Any]] = []
        self._numbers = itertools.count(1)
        self._ended = anyio.Event()

    @property
    def running(self) -> set[str]:
        """Return the tasks that are present."""
        return set(self._present)

    @property
    def clock(self) -> int:
        """Return the milliseconds since the life began."""
        return int((time.monotonic() - self._began) * 1000)

    def crash(self) -> StandInExecutor:
        """End this life; returns the next one, which knows nothing of it."""
        self._present.clear()
        successor = StandInExecutor(
            self.name, self._audit, self._siblings, self.cpu, self.born + 5_000
        )
        self._siblings[self._siblings.index(self)] = successor
        return successor

    def leave(self) -> None:
        """End everything that runs here and answer nothing any more."""
        self._present.clear()
        self.faults.unresponsive = True

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one order."""
        body = await read_body(receive, LARGEST_BODY)
        if self.faults.unresponsive:
            await anyio.sleep_forever()
        self._end_due()
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
                self._carry_out(document)
            await anyio.sleep_forever()
        reason = self._carry_out(document)
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            await anyio.sleep_forever()
        if reason:
            await self._answer(send, {"reason": reason}, 409)
        else:
            await self._answer(send, {})

    def _carry_out(self, document: dict[str, Any]) -> str:
        """Begin a run; returns why not, or an empty string."""
        task, number = document["task"], document["run"]
        present = self._present.get(task)
        if present and present.number == number:
            return ""
        if number <= self._closed.get(task, 0):
            return "old"
        if document["deadlineMs"] <= self.clock:
            return "late"
        self._lease_end = max(self._lease_end, document["deadlineMs"])
        self._inspect(task)
        text = orjson.loads(document["spec"] or "{}")
        began = time.monotonic()
        saved = document.get("lastCheckpoint", "")
        ends_at = began + text.get("seconds", DEFAULT_SECONDS) * (1 - int(saved or 0) / 100)
        how = "failed" if text.get("fails") else "done"
        self._present[task] = Present(
            task,
            number,
            text.get("cpu", 1_000),
            ends_at,
            how,
            began=began,
            saves=text.get("saves", False),
        )
        self._audit.started[task] += 1
        self._audit.resumed_from[task] = saved
        if sum(item.need for item in self._present.values()) > self.cpu:
            self._audit.violations.append(f"{self.name} is over its capacity with {task}")
        return ""

    def _inspect(self, task: str) -> None:
        if task in self._audit.done:
            self._audit.violations.append(f"{task} starts after a confirmed end")
        if any(task in other.running for other in self._siblings if other is not self):
            self._audit.violations.append(f"{task} runs twice at the same time")

    async def _stop(self, document: dict[str, Any], send: Send) -> None:
        task, number = document["task"], document["run"]
        self._closed[task] = max(self._closed.get(task, 0), number)
        present = self._present.get(task)
        if present and present.number <= number:
            self._end(present, "stopped")
        await self._answer(send, {})

    async def _hold(self, document: dict[str, Any], send: Send) -> None:
        self.hold_calls += 1
        if "deadlineMs" in document:
            self._lease_end = max(self._lease_end, document["deadlineMs"])
        seen = document["lastSeen"]
        for number, task, _, how, _ in self._ends:
            if number <= seen and how == "done":
                self._audit.done.add(task)
        self._ends = [end for end in self._ends if end[0] > seen]
        if not self._ends:
            with anyio.move_on_after(document.get("waitMs", 0) / 1000):
                await self._ended.wait()
        running = [[item.task, item.number, "", item.percent, 0] for item in self._present.values()]
        ended = list(self._ends[:SHOWN_ENDS])
        if self.faults.lose_reports:
            self.faults.lose_reports -= 1
            await anyio.sleep_forever()
        await self._answer(send, {"running": running, "finished": ended})

    async def _pace(self, document: dict[str, Any], send: Send) -> None:
        await self._answer(send, {})

    def _end(self, present: Present, how: str) -> None:
        del self._present[present.task]
        self._closed[present.task] = max(self._closed.get(present.task, 0), present.number)
        saved = str(present.percent) if present.saves and how == "stopped" else ""
        self._ends.append([next(self._numbers), present.task, present.number, how, saved])
        self._ended.set()
        self._ended = anyio.Event()

    def _end_due(self) -> None:
        now = time.monotonic()
        lapsed = self._lease_end and self.clock > self._lease_end
        for present in list(self._present.values()):
            if lapsed:
                self._end(present, "lapsed")
            elif present.ends_at <= now:
                self._end(present, present.how)

    async def tick(self) -> None:
        """End runs in time even if nobody calls."""
        while True:
            await anyio.sleep(STEP)
            self._end_due()
