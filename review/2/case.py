"""An owner is killed while more than 500 short tasks end on one executor."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.standin_executor import Log  # noqa: E402
from review.standin_installation import Installation, finish, job, run  # noqa: E402
from review.standin_twice import started_twice  # noqa: E402

FOLDER = Path(__file__).resolve().parent
JOBS, WIDTH = 26, 24
FIRST_END, LAST_END = 3.6, 4.1
"""Seconds after the first start between which the tasks end; each works for less than that."""
TASK_CPU = 100
POOL, EXECUTORS = "obnova", 6
STEP = {"cpu": TASK_CPU, "memMb": 128, "estimateMs": 3000}


class TaskLengths:
    """How long each task works: jobs that began later are shorter, as on any day by chance."""

    def __init__(self) -> None:
        self._first: float | None = None

    def __call__(self, task: str) -> float:
        now = time.monotonic()
        self._first = self._first or now
        number = int(task.partition(".")[0], 16) & 0xFFFF
        end = self._first + FIRST_END + (LAST_END - FIRST_END) * number / JOBS
        return max(0.8, end - now)


async def main(trouble: bool) -> int:
    async with Installation({POOL: EXECUTORS}, TaskLengths()) as place:
        ids = [f"{0x5EED_0000_0000_0000 + number:016x}" for number in range(JOBS)]
        answers = await asyncio.gather(
            *(place.call("POST", name, job(WIDTH, **STEP), place.entries[n % 3])
              for n, name in enumerate(ids))
        )
        accepted = [name for name, (status, _) in zip(ids, answers) if status == 200]
        until = time.monotonic() + 20
        while not any(item.how == "done" for item in place.log.runs):
            if time.monotonic() > until:
                raise RuntimeError("no task ended")
            await asyncio.sleep(0.01)
        busiest = max(place.executors.values(), key=lambda item: item.running)
        place.log.write(f"{busiest.name} runs {busiest.running} tasks as the first ones end")
        if trouble:
            owner = place.owner()
            if owner is None:
                raise RuntimeError("nobody owns the work")
            place.log.write(f"SIGKILL {owner.name}")
            owner.signal(signal.SIGKILL)
            await asyncio.sleep(3.0)
            owner.process.wait()
            owner.start()  # the platform starts it again
        states: dict[str, str] = {}
        until = time.monotonic() + 30
        while len(states) < len(accepted) and time.monotonic() < until:
            for name in accepted:
                if name not in states:
                    _, content = await place.call("GET", name)
                    if content and content.get("state") == "completed":
                        states[name] = "completed"
            await asyncio.sleep(0.5)
        await asyncio.sleep(3.0)
        verdict = started_twice(place.log)
        starts = len(place.log.runs)
        summary = [
            f"trouble: {trouble}",
            f"jobs sent {len(ids)}, accepted {len(accepted)}, completed {len(states)}",
            f"tasks {len(accepted) * WIDTH}, starts {starts}, "
            f"most at a time on one executor {max_at_once(place.log)}",
            f"starts that break TWICE: {len(verdict)}",
        ]
        return finish(FOLDER, place.log, verdict, summary)


def max_at_once(log: Log) -> int:
    most = 0
    for name in {item.executor for item in log.runs}:
        moments = [(item.began, 1) for item in log.runs if item.executor == name]
        moments += [(item.ended, -1) for item in log.runs if item.executor == name and item.ended]
        level = 0
        for _, change in sorted(moments):
            level += change
            most = max(most, level)
    return most


if __name__ == "__main__":
    run(main)
