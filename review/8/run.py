"""A consumer cancels a job whose acceptance got no answer: is the job gone after that?"""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

import anyio

sys.path[:0] = [str(Path(__file__).resolve().parents[level]) for level in (2, 1)]

import standin_fleet_2 as fleet  # noqa: E402

JOB = "00000000000000bb"
MAX_SHARE = 0.35
"""Share of the store's writes that may go unanswered, as in the site file (for 4.5 s at most)."""

LATE_S = 5.5
"""The store carries the write out so much later, within the 1 to 6 s of the kind's page."""


async def other_consumers(play: fleet.Fleet) -> None:
    """Hand in small jobs at the other entries, whose writes are answered."""
    step = {"count": 1, "cpu": 1000, "memMb": 100, "estimateMs": 200}
    for number in range(1, 25):
        body = fleet.job(step, spec={"seconds": 0.2})
        await play.call(1 + number % 2, "POST", f"{number:016x}", body, "south")
        await anyio.sleep(0.1)


async def case(play: fleet.Fleet) -> int:
    executors = [play.add_executor(f"worker-{number}") for number in range(4)]
    if not await play.begin(3):
        return 2
    key = f"vanillawell/order/{JOB}"
    if fleet.TROUBLE:
        play.store.late[key] = LATE_S
    step = {"count": 2, "cpu": 1000, "memMb": 100, "estimateMs": 20_000}
    body = fleet.job(step, spec={"seconds": 25.0})
    began = time.monotonic()
    before = play.store.writes
    others = asyncio.create_task(other_consumers(play))
    status, _ = await play.call(0, "POST", JOB, body)
    share = play.store.unanswered / max(1, play.store.writes - before)
    play.record.write(f"share of the store's writes without an answer meanwhile: {share:.2f}")
    if share > MAX_SHARE:
        return 2
    play.store.late.clear()  # the last disturbance but for what is on its way
    if status not in (200, 504, 0):
        return 0
    cancel = 0
    for entry in (1, 2, 1, 2):
        cancel, _ = await play.call(entry, "DELETE", JOB)
        if cancel:
            break
    if cancel not in (200, 410):
        return 2
    acknowledged = time.monotonic()
    # Even if the late write itself counts as a disturbance of the store: `stabilityMs` after it the
    # core is stable, and after a further stretch of `cancel_ms` + `killGraceMs` all has to be gone.
    quiet_from = max(acknowledged, began + 1.7 + LATE_S)
    await others
    until = quiet_from + fleet.STABILITY_S + fleet.CANCEL_S + fleet.KILL_GRACE_S + 0.6
    await anyio.sleep(until - time.monotonic())
    alive = [
        (item.name, task) for item in executors for task in item.running if task.startswith(JOB)
    ]
    late = [
        round(at - acknowledged, 3)
        for item in executors
        for at, task, _ in item.starts
        if task.startswith(JOB) and at > acknowledged + fleet.CANCEL_S
    ]
    await play.call(1, "GET", JOB)
    play.record.write(f"cancel answered {cancel}; starts after it, in seconds: {late}")
    play.record.write(f"still running {until - acknowledged:.1f} s after that answer: {alive}")
    return 1 if alive else 0


fleet.main(Path(__file__).resolve().parent, case)
