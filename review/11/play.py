"""A tenant sends many times its usual to a queue that needs advice; another tenant's job waits."""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins_3 as s  # noqa: E402

OTHER = "00000000000000c9"
FINISH_S = 14
EXECUTORS = 6
USUAL, TIMES = 12, 2.6
MAXIMUM = 8000


def job(cpu: int, seconds: float) -> dict:
    step = {"count": 1, "cpu": cpu, "memMb": 100, "estimateMs": int(seconds * 1000)}
    return {"spec": json.dumps({"seconds": seconds, "cpu": cpu}), "steps": [step]}


async def play(record: s.Record, folder: Path) -> None:
    store = s.Store()
    fleet = s.Fleet(record, store)
    cloud = s.Cloud(fleet, ["alpha"])
    cloud.decide_s, cloud.each_s = 0.08, 0.01
    executors = [
        s.Executor(fleet, f"i-{n}", "alpha", rack=f"r{n // 3}", zone="abc"[n % 3])
        for n in range(EXECUTORS)
    ]
    for server in (store.http, cloud.http, *(item.http for item in executors)):
        await server.start()
    document = s.config(1, ["alpha"])
    document["routes"][0]["hint"] = {"decideMs": 80, "eachMs": 10, "validityMs": 3000}
    for tenant in document["tenants"]:
        tenant["maximum"] = {"cpu": MAXIMUM}
    store.put("op/config", document)
    entries = s.Entries(record, store.http.address, cloud.http.address, folder)
    background = [asyncio.ensure_future(x) for x in (store.tick(), fleet.tick(), fleet.beat())]

    async def submit(name: str, body: dict, key: str) -> None:
        for _ in range(5):
            status, _ = await s.call(front, "POST", f"/alpha/{name}", body, key=key)
            record.write("submit", name, key, status)
            if status == 200:
                return
            await asyncio.sleep(0.5)
        raise s.CannotRun(f"job {name} was not accepted")

    try:
        names = ["entry-0", "entry-1", "entry-2"]
        for name in names:
            entries.start(name)
        if not await entries.wait_ready(names):
            raise s.CannotRun("the entries are not ready")
        await asyncio.sleep(2)
        front = entries.front["entry-0"]
        for number in range(4):
            await submit(f"{0xC000 + number:016x}", job(2000, 90.0), "key-1")
        await asyncio.sleep(2)
        count = int(USUAL * (TIMES if s.TROUBLE else 1))
        began = record.now()
        for number in range(count):
            await submit(f"{0xC100 + number:016x}", job(1000, 0.5), "key-1")
            await asyncio.sleep(max(0.0, began + 3.9 * (number + 1) / count - record.now()))
        await asyncio.sleep(4)
        await submit(OTHER, job(1000, 0.5), "key-2")
        await asyncio.sleep(FINISH_S)
        status, answer = await s.call(front, "GET", f"/alpha/{OTHER}", key="key-2")
        record.write("state of the other tenant's job", status, answer)
        idle = 0.0
        while not any(task.startswith(OTHER) for _, task, *_ in fleet.starts) and idle < 3.2:
            used = sum(run.cpu for item in executors for run in item.runs.values())
            if used * 2 >= sum(item.cpu for item in executors):
                raise s.CannotRun("too little is free")
            await asyncio.sleep(0.1)
            idle += 0.1
        record.write("in use", used if idle else "-", "advice calls", cloud.advice_calls)
        if idle >= 3.0:
            record.breaks("LOST", f"job {OTHER} had nothing running for 3 s, with room for it twice")
    finally:
        for item in background:
            item.cancel()
        entries.end_all()


s.run_case(str(Path(__file__).parent), play)
