"""One accepted job of many small tasks, then a few small jobs: do the small ones ever start?"""

from __future__ import annotations

import sys
from pathlib import Path

import anyio

sys.path[:0] = [str(Path(__file__).resolve().parents[level]) for level in (2, 1)]

import standin_fleet_2 as fleet  # noqa: E402

LARGE, COUNT, CPU = "00000000000000aa", 20_000, 2
SMALL = [f"{number:016x}" for number in range(1, 7)]


def running(job: str, executors: list[fleet.Executor]) -> int:
    return sum(task.startswith(job) for executor in executors for task in executor.running)


async def case(play: fleet.Fleet) -> int:
    executors = [play.add_executor(f"gatekeeper-riga-{zone}-{n}") for zone in "abc" for n in (1, 2)]
    if not await play.begin(3):
        return 2
    if fleet.TROUBLE:
        step = {"count": COUNT, "cpu": CPU, "memMb": 1, "estimateMs": 1000}
        body = fleet.job(step, spec={"seconds": 1.0, "cpu": CPU})
        status, _ = await play.call(0, "POST", LARGE, body, "south")
        if status != 200:
            return 0
    await anyio.sleep(2)
    step = {"count": 2, "cpu": 1000, "memMb": 100, "estimateMs": 500}
    accepted = []
    for number, job in enumerate(SMALL):
        status, _ = await play.call(number % 3, "POST", job, fleet.job(step, spec={"seconds": 0.5}))
        accepted += [job] if status == 200 else []
        await anyio.sleep(0.5)
    if not accepted:
        return 2
    play.record.write("the traffic has ended")
    await anyio.sleep(fleet.FINISH_S)
    # From here on, no accepted job may have nothing running for 3 s on end while it is not done,
    # a task's turn has come and the service is nearly empty.
    idle: dict[str, int] = dict.fromkeys(accepted, 0)
    broken = set()
    for _ in range(80):
        used = sum(run.cpu for item in executors for run in item._active_runs.values())
        for job in accepted:
            begun = running(job, executors)
            idle[job] = 0 if begun or used > 0.4 * 6 * 32_000 else idle[job] + 1
            if idle[job] > 30:
                broken.add(job)
        await anyio.sleep(0.1)
    late = set()
    for number, job in enumerate(accepted):
        status, document = await play.call(number % 3, "GET", job)
        if status != 200 or document["state"] in ("queued", "running"):
            late.add(job)
    starts = sum(len(item.starts) for item in executors)
    play.record.write(f"starts in all: {starts}; refused writes: {play.store.oversized}")
    play.record.write(f"not done, with nothing running for 3 s: {sorted(broken & late)}")
    return 1 if broken & late else 0


fleet.main(Path(__file__).resolve().parent, case)
