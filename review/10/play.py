"""One lasting job that no executor can hold keeps an executor free for ever; others' jobs wait."""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins_3 as s  # noqa: E402

LASTING, HOPELESS, SHORT = "00000000000000b1", "00000000000000b2", "00000000000000b3"
FINISH_S = 14
EXECUTORS = 6


def lasting(count: int, cpu: int, mem: int) -> dict:
    step = {"count": count, "cpu": cpu, "memMb": mem, "estimateMs": 900, "longRunning": True}
    spec = json.dumps({"lasts": 0.5, "cpu": cpu})
    return {"spec": spec, "steps": [{**step, "maxPerServer": 1}]}


def short(cpu: int) -> dict:
    step = {"count": 1, "cpu": cpu, "memMb": 100, "estimateMs": 500}
    return {"spec": json.dumps({"seconds": 0.5, "cpu": cpu}), "steps": [step]}


async def play(record: s.Record, folder: Path) -> None:
    store = s.Store()
    fleet = s.Fleet(record, store)
    cloud = s.Cloud(fleet, ["alpha"])
    executors = [
        s.Executor(fleet, f"i-{n}", "alpha", rack=f"r{n // 3}", zone="abc"[n % 3])
        for n in range(EXECUTORS)
    ]
    for server in (store.http, cloud.http, *(item.http for item in executors)):
        await server.start()
    store.put("op/config", s.config(1, ["alpha"]))
    entries = s.Entries(record, store.http.address, cloud.http.address, folder)
    background = [asyncio.ensure_future(x) for x in (store.tick(), fleet.tick(), fleet.beat())]

    async def submit(job: str, body: dict, key: str) -> None:
        for _ in range(5):
            status, _ = await s.call(front, "POST", f"/alpha/{job}", body, key=key)
            record.write("submit", job, key, status, body["steps"])
            if status == 200:
                return
            await asyncio.sleep(0.5)
        raise s.CannotRun(f"job {job} was not accepted")

    try:
        names = ["entry-0", "entry-1", "entry-2"]
        for name in names:
            entries.start(name)
        if not await entries.wait_ready(names):
            raise s.CannotRun("the entries are not ready")
        await asyncio.sleep(2)
        front = entries.front["entry-0"]
        await submit(LASTING, lasting(5, 4500, 100), "key-1")
        await asyncio.sleep(2)
        for number in range(24):
            await submit(f"{0xB100 + number:016x}", short(1000), "key-2")
            if number == 12 and s.TROUBLE:
                await submit(HOPELESS, lasting(1, 500, 100_000), "key-2")
            await asyncio.sleep(0.1)
        await asyncio.sleep(1)
        await submit(SHORT, short(4000), "key-1")
        await asyncio.sleep(FINISH_S)
        status, answer = await s.call(front, "GET", f"/alpha/{SHORT}")
        record.write("state of the short job", status, answer)
        idle = 0.0
        while not any(task.startswith(SHORT) for _, task, *_ in fleet.starts) and idle < 3.2:
            used = sum(run.cpu for item in executors for run in item.runs.values())
            free = [item.cpu - sum(run.cpu for run in item.runs.values()) for item in executors]
            places = sum(max(0, room) // 4000 for room in free)
            if places < 2 or used * 2 >= sum(item.cpu for item in executors):
                raise s.CannotRun(f"too little is free: {free}")
            await asyncio.sleep(0.1)
            idle += 0.1
        record.write("free millicores", free if idle else "-", "in use", used if idle else "-")
        if idle >= 3.0:
            record.breaks("LOST", f"job {SHORT} had nothing running for 3 s, with room for it twice")
    finally:
        for item in background:
            item.cancel()
        entries.end_all()


s.run_case(str(Path(__file__).parent), play)
