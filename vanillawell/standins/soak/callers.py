"""Callers that submit, follow and cancel jobs over connections that they keep open."""

from __future__ import annotations

import random
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import anyio
import orjson

from vanillawell.platform.http import HttpClient
from vanillawell.protocol.call_errors import NoAnswerError, NotSentError
from vanillawell.standins.soak.job_checks import FINAL_STATES, JobHistory

if TYPE_CHECKING:
    from collections.abc import Sequence

    from anyio.abc import TaskGroup

    from vanillawell.standins.soak.entries import Entry

HOST = "127.0.0.1"
"""Host of all queues, which is that of the entries' addresses."""

KEY = "key"
"""API key of the callers that send jobs throughout."""

PRESSING_KEY = "pressing-key"
"""API key of the organisation that hands in many tasks at once."""

CALL_TIMEOUT = 3.0
"""Seconds that a caller waits for an answer."""

ATTEMPTS = 5
"""Attempts of a call, each at another entry."""

RETRY_DELAY = 0.3
"""Seconds between two attempts."""

RETRY_DELAY_AFTER_REFUSAL = 1.0
"""Seconds between two attempts if the first was refused; what entries state as Retry-After."""

POLL_INTERVAL = 0.8
"""Seconds between the first two questions for the state of a job."""

POLL_BACKOFF = 1.3
"""Factor by which that interval grows with each question, since entries and store are to be asked
less by callers of long jobs."""

MAX_POLL_INTERVAL = 4.0
"""Seconds between two such questions at most."""

PEAK_SECONDS = 6.0
"""Seconds for which one queue asks more than the others."""

PEAK_FACTOR = 4.0
OFF_PEAK_FACTOR = 0.4

CANCEL_SHARE = 0.1
"""Share of the short jobs that are cancelled."""

TASKS_PER_SERVING_JOB = 8
"""Executors for each task of a long-running job."""

LONG_RUNNING_SECONDS = (8.0, 20.0)
"""Seconds after which a long-running job is cancelled."""


@dataclass(frozen=True, slots=True)
class JobKind:
    """Jobs that are alike."""

    name: str
    steps: int
    tasks: int
    cpu: int
    memory: int
    seconds: float
    """Mean run time of a task; 0 for tasks that run until they are cancelled."""

    key: str = KEY

    def core_seconds(self) -> float:
        """Return the work of a job; a long-running one counts for its usual life."""
        seconds = self.seconds or sum(LONG_RUNNING_SECONDS) / 2
        return self.steps * self.tasks * self.cpu / 1000 * seconds

    def body(self, chance: random.Random) -> dict[str, Any]:
        """Return the body of a job."""
        seconds = self.seconds * chance.uniform(0.6, 1.5)
        cost = {"cpu": self.cpu, "memory": self.memory}
        step: dict[str, Any] = {"count": self.tasks, "cpu": self.cpu, "memMb": self.memory}
        step["estimateMs"] = round(seconds * 1000) or 900
        if not self.seconds:
            step |= {"longRunning": True, "maxUnavailable": max(1, self.tasks // 10)}
        steps = [
            {**step, "after": [number - 1]} if number else step for number in range(self.steps)
        ]
        spec = orjson.dumps({"seconds": seconds, **cost}).decode()
        return {"spec": spec, "steps": steps}


PRESSING = JobKind("pressing", 1, 1_000, 2, 1, 0.5, PRESSING_KEY)
"""Jobs of many tasks that need almost nothing."""

PRICE = JobKind("price", 2, 8, 1_500, 2_800, 0.64)
MATCH = JobKind("match", 2, 8, 3_300, 6_200, 1.3)


def job_kinds(executors: int) -> list[tuple[JobKind, float]]:
    """Return the kinds of jobs and their shares of the work, for some number of executors."""
    serve = JobKind("serve", 1, max(2, executors // TASKS_PER_SERVING_JOB), 2_000, 1_500, 0)
    return [(PRICE, 0.6), (MATCH, 0.3), (serve, 0.1)]


@dataclass(slots=True)
class Callers:
    """All callers of a play."""

    entries: Sequence[Entry]
    pools: Sequence[str]
    kinds: Sequence[tuple[JobKind, float]]
    cores: float
    """Cores of work that the callers ask for on average."""

    chance: random.Random
    outcomes: Counter[str] = field(default_factory=Counter)
    jobs: list[JobHistory] = field(default_factory=list)
    """What was told about each job, in the order of their submissions."""

    _tasks: TaskGroup | None = None
    _http: HttpClient = field(default_factory=HttpClient)
    stopping: bool = False
    """Whether no more jobs are submitted; those that were are followed until they have ended."""

    async def run(self) -> None:
        """Submit jobs until told to stop, and follow each until it has ended."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            for kind, share in self.kinds:
                for index in range(len(self.pools)):
                    tasks.start_soon(self._submit_all, tasks, kind, share, index)

    async def _submit_all(self, tasks: Any, kind: JobKind, share: float, index: int) -> None:
        mean_interval = kind.core_seconds() * len(self.pools) / (self.cores * share)
        while not self.stopping:
            peak = int(time.monotonic() / PEAK_SECONDS) % len(self.pools) == index
            factor = PEAK_FACTOR if peak else OFF_PEAK_FACTOR
            await anyio.sleep(min(PEAK_SECONDS, self.chance.expovariate(factor / mean_interval)))
            tasks.start_soon(self._follow, kind, self.pools[index])

    def press(self, jobs: int) -> None:
        """Submit jobs of many tasks, all at once; they are followed like all others."""
        assert self._tasks is not None
        for _ in range(jobs):
            self._tasks.start_soon(self._follow, PRESSING, self.chance.choice(self.pools))

    async def _follow(self, kind: JobKind, pool: str) -> None:
        """Submit a job and ask for its state until it has ended; cancel some."""
        job = JobHistory(f"{self.chance.getrandbits(64):016x}", kind=kind.name)
        self.jobs.append(job)
        path = f"/{pool}/{job.job_id}"
        body = kind.body(self.chance)
        status, _ = await self._call("POST", path, kind.key, body, job.statuses)
        job.accepted_at = time.monotonic()
        self.outcomes[f"{kind.name} submitted {status}"] += 1
        if status != 200:
            return
        ends_at = time.monotonic() + self.chance.uniform(*LONG_RUNNING_SECONDS)
        cancels = not kind.seconds or self.chance.random() < CANCEL_SHARE
        interval = POLL_INTERVAL
        while job.state not in FINAL_STATES:
            await anyio.sleep(interval)
            interval = min(interval * POLL_BACKOFF, MAX_POLL_INTERVAL)
            is_due = bool(kind.seconds) or self.stopping or time.monotonic() > ends_at
            if cancels and is_due and job.cancelled_at is None:
                await self._cancel(kind, path, job)
            status, content = await self._call("GET", path, kind.key)
            job.state = content["state"] if status == 200 else f"status {status}"
        self.outcomes[f"{kind.name} {job.state}"] += 1

    async def _cancel(self, kind: JobKind, path: str, job: JobHistory) -> None:
        job.asked_to_cancel = True
        status, _ = await self._call("DELETE", path, kind.key)
        self.outcomes[f"{kind.name} cancelled {status}"] += 1
        if status == 200:
            job.cancelled_at = time.monotonic()

    async def _call(
        self,
        method: str,
        path: str,
        key: str,
        body: object = None,
        statuses: list[int] | None = None,
    ) -> tuple[int, Any]:
        """Make a call, again at other entries after no answer; status 0 means none came.

        `statuses` receives the status of each attempt.
        """
        headers = {"X-Key": key, "X-Deadline-Ms": str(int(CALL_TIMEOUT * 1000))}
        status = 0
        for _ in range(ATTEMPTS):
            entry = self.chance.choice(self.entries)
            try:
                answer = await self._http.call(
                    entry.caller, method, path, body, CALL_TIMEOUT, headers
                )
            except (NoAnswerError, NotSentError):
                answer = None
            status = answer.status if answer else 0
            if statuses is not None:
                statuses.append(status)
            if answer and status < 500 and status != 429:
                return status, answer.document() if answer.body else None
            is_refused = status in (429, 503)
            await anyio.sleep(RETRY_DELAY_AFTER_REFUSAL if is_refused else RETRY_DELAY)
        return status, None
