"""Play crashes of executors that start again under their ids, while short tasks keep them busy."""

from __future__ import annotations

import random
from dataclasses import dataclass

import anyio

from vanillawell.tests.executor_hosts import Connections, Crash
from vanillawell.tests.scheduler_cluster import Cluster, cluster, until, until_state
from vanillawell.tests.scheduler_documents import PREFIX, job, step

LOAD_SECONDS = 3.0
"""Seconds for which jobs are submitted."""

SUBMIT_INTERVAL = 0.1
"""Seconds between two jobs."""

TASKS = 4
"""Tasks of one job for each executor, of one core each."""

SMALL_KIND = 2_000
"""Millicores of an incarnation of the smaller kind; others have 8,000."""

DOWN_TIMES = (0.05, 0.1, 0.3)
"""Seconds until a crashed executor listens again."""

COMPLETION_TIMEOUT = 25.0
"""Seconds from the end of the load until all jobs have completed."""


@dataclass(frozen=True, slots=True)
class Play:
    """What happens in one play."""

    seed: int
    crash: Crash
    crashed_at: float
    """Seconds after the first job."""

    executors: int
    owner_lost_after: float | None
    """Seconds from the first crash until the owner is killed; None if it lives on."""


def draw(seed: int, down_times: tuple[float, ...] = DOWN_TIMES) -> Play:
    """Return the play of a seed."""
    rng = random.Random(seed)
    crash = Crash(
        connections=rng.choice(tuple(Connections)),
        down_for=rng.choice(down_times),
        registered_after=rng.choice((0.0, 0.8, 1.2, 2.5)),
        cpu=SMALL_KIND if rng.random() < 0.5 else None,
    )
    owner_lost_after = rng.uniform(0.0, 1.0) if rng.random() < 0.4 else None
    return Play(seed, crash, rng.uniform(0.6, 1.2), rng.choice((1, 2)), owner_lost_after)


async def run(play: Play) -> list[str]:
    """Run a play; return the broken guarantees."""
    members = 1 if play.owner_lost_after is None else 2
    async with cluster(members, play.executors) as built:
        submitted: list[str] = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_submit_jobs, built, play, submitted)
            tasks.start_soon(_crash, built, play)
        owner = await built.owner()
        with anyio.fail_after(COMPLETION_TIMEOUT):
            for job_id in submitted:
                await until_state(owner, job_id, "completed", COMPLETION_TIMEOUT)
        return built.audit.violations


async def _submit_jobs(built: Cluster, play: Play, submitted: list[str]) -> None:
    rng = random.Random(play.seed)
    count = TASKS * play.executors
    for _ in range(round(LOAD_SECONDS / SUBMIT_INTERVAL)):
        spec = {"seconds": rng.choice((0.05, 0.1, 0.2))}
        job_id = built.new_id()
        reply = await built.members[-1].call("POST", PREFIX + job_id, job(step(count), spec=spec))
        if reply.status == 200:
            submitted.append(job_id)
        await anyio.sleep(SUBMIT_INTERVAL)


async def _crash(built: Cluster, play: Play) -> None:
    await anyio.sleep(play.crashed_at)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(built.crash, "i-0", play.crash)
        if play.owner_lost_after is not None:
            await anyio.sleep(play.owner_lost_after)
            await built.kill(await built.owner())
            await until(lambda: any(member.owns for member in built.members), 12.0)
