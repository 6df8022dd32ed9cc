"""A key is taken away; its holder goes on with it, on a route that also admits callers without one."""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins_3 as s  # noqa: E402

REVOKE_S = 5.0
BEFORE, LATER, OTHERS = "00000000000000e1", "00000000000000e2", "00000000000000e3"


def job(seconds: float) -> dict:
    step = {"count": 1, "cpu": 1000, "memMb": 100, "estimateMs": int(seconds * 1000)}
    return {"spec": json.dumps({"seconds": seconds, "cpu": 1000}), "steps": [step]}


async def play(record: s.Record, folder: Path) -> None:
    store = s.Store()
    fleet = s.Fleet(record, store)
    cloud = s.Cloud(fleet, ["alpha"])
    executors = [s.Executor(fleet, f"i-{n}", "alpha", zone="abc"[n % 3]) for n in range(6)]
    for server in (store.http, cloud.http, *(item.http for item in executors)):
        await server.start()
    document = s.config(3, ["alpha", "beta"])
    document["routes"][1] |= {"service": "alpha", "allowAnon": True}
    store.put("op/config", document)
    entries = s.Entries(record, store.http.address, cloud.http.address, folder)
    background = [asyncio.ensure_future(x) for x in (store.tick(), fleet.tick(), fleet.beat())]

    async def call(name: str, method: str, path: str, body=None, key: str = "key-1") -> int:
        status, answer = await s.call(entries.front[name], method, path, body, key=key)
        record.write(name, method, path, "with", key, "->", status, answer)
        return status

    try:
        names = ["entry-0", "entry-1", "entry-2"]
        for name in names:
            entries.start(name)
        if not await entries.wait_ready(names):
            raise s.CannotRun("the entries are not ready")
        await asyncio.sleep(2)
        if await call("entry-0", "POST", f"/beta/{BEFORE}", job(0.3)) != 200:
            raise s.CannotRun("the key does not work while it is valid")
        if await call("entry-0", "POST", f"/alpha/{OTHERS}", job(60), key="key-2") != 200:
            raise s.CannotRun("the other tenant's job is not accepted")
        keys = [] if s.TROUBLE else ["key-1"]
        tenants = [{**document["tenants"][0], "apiKeys": ["key-9", *keys]}, document["tenants"][1]]
        store.put("op/config", {**document, "version": 7, "tenants": tenants})
        record.write("config 7 is acknowledged; the keys of t-1 are", ["key-9", *keys])
        await asyncio.sleep(REVOKE_S + 3.0)
        control = await call("entry-1", "POST", "/alpha/00000000000000e4", job(0.3))
        if control != (401 if s.TROUBLE else 200):
            raise s.CannotRun(f"the route that needs a key answers {control}")
        ran = []
        for number, name in enumerate(names):
            other = f"{int(LATER, 16) + 16 * number:016x}"
            if await call(name, "POST", f"/beta/{other}", job(0.3)) == 200:
                ran.append(f"{name} POST")
            if await call(name, "GET", f"/beta/{OTHERS}") == 200:
                ran.append(f"{name} GET of another tenant's job")
        if await call("entry-2", "DELETE", f"/beta/{OTHERS}") == 200:
            ran.append("entry-2 DELETE of another tenant's job")
        await asyncio.sleep(2)
        await call("entry-0", "GET", f"/alpha/{OTHERS}", key="key-2")
        started = {task.split(".")[0] for _, task, *_ in fleet.starts}
        record.write("answered with success:", ran, "jobs that were started:", sorted(started))
        if s.TROUBLE and ran:
            record.breaks("CONFIG", f"calls with a key taken away 8 s before ran: {ran}")
    finally:
        for item in background:
            item.cancel()
        entries.end_all()


s.run_case(str(Path(__file__).parent), play)
