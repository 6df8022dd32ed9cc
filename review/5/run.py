"""Another writer leaves an entry under servers/ whose address can't be read: do jobs still run?"""

from __future__ import annotations

import sys
import time
from pathlib import Path

import anyio

sys.path[:0] = [str(Path(__file__).resolve().parents[level]) for level in (2, 1)]

import standin_fleet_2 as fleet  # noqa: E402

JOBS = [f"{number:016x}" for number in range(1, 7)]
UNREADABLE = "127.0.0.1:\u00b2"
"""An address whose port is what is left of bytes read in the wrong character set: no number."""


def running(job: str, executors: list[fleet.Executor]) -> int:
    return sum(task.startswith(job) for executor in executors for task in executor.running)


async def case(play: fleet.Fleet) -> int:
    executors = [play.add_executor(f"worker-{number}") for number in range(4)]
    if not await play.begin(3):
        return 2
    if fleet.TROUBLE:
        entry = {
            "service": fleet.SERVICE, "address": UNREADABLE, "zone": "riga-a", "version": "v1",
            "slots": 8, "state": "ready", "coldRemainingMs": 0, "machine": "machine-x",
            "born": int(time.time() * 1000), "capacity": {"cpu": 32_000, "memMb": 131_072, "gpu": 0},
            "labels": ["a", "r1"], "seq": 1,
        }
        play.store.put_document("servers/stray", entry)
        play.record.write(f"another writer's entry servers/stray: address {UNREADABLE!a}")
    await anyio.sleep(1)
    step = {"count": 2, "cpu": 1000, "memMb": 100, "estimateMs": 500}
    accepted = []
    for number, job in enumerate(JOBS):
        status, _ = await play.call(number % 3, "POST", job, fleet.job(step, spec={"seconds": 0.5}))
        accepted += [job] if status == 200 else []
        await anyio.sleep(0.5)
    if not accepted:
        return 2
    play.record.write("the traffic has ended")
    await anyio.sleep(fleet.FINISH_S)
    idle: dict[str, int] = dict.fromkeys(accepted, 0)
    broken = set()
    for _ in range(80):
        for job in accepted:
            idle[job] = 0 if running(job, executors) else idle[job] + 1
            if idle[job] > 30:
                broken.add(job)
        await anyio.sleep(0.1)
    late = set()
    for number, job in enumerate(accepted):
        status, document = await play.call(number % 3, "GET", job)
        if status != 200 or document["state"] in ("queued", "running"):
            late.add(job)
    dropped = sum(
        line.get("message") == "shard dropped" for index in range(3) for line in play.log_lines(index)
    )
    play.record.write(f"starts in all: {sum(len(item.starts) for item in executors)}")
    play.record.write(f"log lines 'shard dropped' of the entries: {dropped}")
    play.record.write(f"not done, with nothing running for 3 s: {sorted(broken & late)}")
    return 1 if broken & late else 0


fleet.main(Path(__file__).resolve().parent, case)
