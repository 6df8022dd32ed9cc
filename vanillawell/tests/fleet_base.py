"""Provide shared helpers for tests with real processes."""

from __future__ import annotations

import itertools
import random
from collections.abc import Awaitable, Callable, Iterator, Sequence
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any, TypeVar

import anyio

from vanillawell.standins.fleet import Fleet
from vanillawell.standins.processes import wait_until
from vanillawell.tests.builders import deployment
from vanillawell.tests.caller import Call, Callers, Reply

if TYPE_CHECKING:
    from pathlib import Path

    from vanillawell.standins.fleet import EntryHandle

Result = TypeVar("Result")


@contextmanager
def running_fleet(folder: Path, **changes: Any) -> Iterator[Fleet]:
    """Run a fleet for one test; `changes` override parts of the default deployment."""
    with Fleet(deployment(**changes), folder) as fleet:
        yield fleet


def run_async(function: Callable[[], Awaitable[Result]]) -> Result:
    """Run the asynchronous part of a test."""
    return anyio.run(function, backend_options={"use_uvloop": True})


def send_all(requests: Sequence[tuple[EntryHandle, Call]]) -> list[Reply]:
    """Send requests concurrently and return their replies in order."""

    async def send() -> list[Reply]:
        replies: dict[int, Reply] = {}
        async with Callers() as callers, anyio.create_task_group() as tasks:

            async def one(number: int, entry: EntryHandle, call: Call) -> None:
                replies[number] = await callers.send(entry, call)

            for number, (entry, call) in enumerate(requests):
                tasks.start_soon(one, number, entry, call)
        return [replies[number] for number in range(len(requests))]

    return run_async(send)


def send_one(entry: EntryHandle, call: Call) -> Reply:
    """Send one request."""
    return send_all([(entry, call)])[0]


class SteadyCallers:
    """Keep a number of requests open until stopped, and record every reply."""

    def __init__(
        self,
        entries: Sequence[EntryHandle],
        make_call: Callable[[int], Call],
        open_requests: int,
        seed: int = 1,
        interval: float = 0.0,
    ) -> None:
        self._entries = list(entries)
        self._make_call = make_call
        self._open = open_requests
        self._rng = random.Random(seed)
        self._numbers = itertools.count(1)
        self._pause = interval
        self.replies: list[Reply] = []
        self.stopping = False

    def remove_entry(self, entry: EntryHandle) -> None:
        """Stop sending requests to an entry, as the load balancer does when it is not ready."""
        self._entries.remove(entry)

    async def run(self) -> None:
        """Send until `stopping` is set and all requests have ended."""
        async with Callers() as callers, anyio.create_task_group() as tasks:
            for _ in range(self._open):
                tasks.start_soon(self._repeat, callers)

    async def _repeat(self, callers: Callers) -> None:
        while not self.stopping:
            entry = self._rng.choice(self._entries)
            reply = await callers.send(entry, self._make_call(next(self._numbers)))
            self.replies.append(reply)
            if reply.status != 200:
                await anyio.sleep(0.02)
            await anyio.sleep(self._pause)


def run_during_load(callers: SteadyCallers, script: Callable[[], None]) -> list[Reply]:
    """Run a blocking script in a thread while callers send requests; return their replies."""

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(callers.run)
            try:
                await anyio.to_thread.run_sync(script)
            finally:
                callers.stopping = True

    run_async(run)
    return callers.replies


def wait_for_answers(callers: SteadyCallers, count: int, what: str) -> None:
    """Wait until `count` more requests have been answered."""
    wanted = sum(reply.status == 200 for reply in callers.replies) + count
    wait_until(lambda: sum(r.status == 200 for r in callers.replies) >= wanted, what)


def runs_by_mark(fleet: Fleet) -> dict[str, int]:
    """Return how often each marked request was run by a backend server."""
    marks = sorted(run["mark"] for run in fleet.backend_runs())
    return {mark: len(list(group)) for mark, group in itertools.groupby(marks)}


def units_held(entry: EntryHandle) -> int:
    """Return the units of the guild's limit that an entry reports to hold."""
    return int(entry.status()["organisations"]["guild"]["units_held"])
