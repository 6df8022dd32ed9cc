"""Compare a complete session of a caller with a golden file."""

from __future__ import annotations

import re
import socket
import time
from pathlib import Path
from typing import TYPE_CHECKING

import anyio

from vanillawell.standins.processes import free_port, wait_until
from vanillawell.tests.builders import uuid7
from vanillawell.tests.caller import Call, Callers, Reply
from vanillawell.tests.fleet_base import run_async, running_fleet, send_one

if TYPE_CHECKING:
    from vanillawell.standins.fleet import EntryHandle, Fleet

GOLDEN = Path(__file__).with_name("golden") / "session.txt"

SHOWN_HEADERS = (
    "vanillawell-verdict",
    "content-type",
    "www-authenticate",
    "idempotency-replayed",
    "executor",
)

MALFORMED_REQUEST = b"NONSENSE\r\n\r\n"

VARIABLE_PARTS = ((r"entry-1-1/[0-9a-f]{12}-\d+", "REQUEST"), (r'"retry_after_ms":\d+', "RETRY"))


def render(title: str, reply: Reply) -> str:
    """Render one step of the session without the parts that differ between runs."""
    body = reply.body.decode()
    for pattern, word in VARIABLE_PARTS:
        body = re.sub(pattern, word, body)
    headers = [f"{name}: {reply.header(name)}" for name in SHOWN_HEADERS if reply.header(name)]
    if reply.header("retry-after"):
        headers.append("retry-after: present")
    call = f"{reply.call.method} /{reply.call.service}/item"
    return "\n".join([f"# {title}", f"> {call}", f"< {reply.status}", *headers, body, ""])


def raw_exchange(entry: EntryHandle, data: bytes) -> str:
    with socket.create_connection((entry.host, entry.ports.caller), 5) as connection:
        connection.sendall(data)
        return connection.recv(4096).decode().partition("\r\n")[0]


def queue_over_the_limit(fleet: Fleet, entry: EntryHandle) -> Reply:
    """Use the organisation's single unit and its single place in the queue, then send a request."""
    slow = Call(organisation="small", run_seconds=1.0)

    def running() -> bool:
        return bool(fleet.backend_counts()["running"].get("small", 0) == 1)

    def queued() -> bool:
        return bool(entry.status()["pools"]["pool-check"]["queued"] == 1)

    async def send_three() -> Reply:
        replies = []
        async with Callers() as callers, anyio.create_task_group() as tasks:
            tasks.start_soon(callers.send, entry, slow)
            await anyio.to_thread.run_sync(wait_until, running, "the first request runs")
            tasks.start_soon(callers.send, entry, slow)
            await anyio.to_thread.run_sync(wait_until, queued, "the second request is queued")
            replies.append(await callers.send(entry, slow))
        return replies[0]

    return run_async(send_three)


def send_until_replayed(entry: EntryHandle, call: Call) -> Reply:
    """Repeat a call until its stored answer is replayed; until then it is refused."""
    wait_until(lambda: send_one(entry, call).status == 200, "the answer is stored")
    return send_one(entry, call)


def run_session(fleet: Fleet) -> str:
    entry = fleet.entries["entry-1-1"]
    key = uuid7(int(time.time() * 1000))
    stamp = Call(method="POST", body=b"tig-2026", idempotency_key=key)
    steps = [
        render("accepted", send_one(entry, Call())),
        render("a stamp with an idempotency key", send_one(entry, stamp)),
        render("the same stamp again", send_until_replayed(entry, stamp)),
        render(
            "the same key for another stamp",
            send_one(entry, Call(method="POST", body=b"mig-2026", idempotency_key=key)),
        ),
        render(
            "an idempotency key without a time",
            send_one(entry, Call(method="POST", idempotency_key="abc")),
        ),
        render("no key", send_one(entry, Call(key=""))),
        render("wrong key", send_one(entry, Call(key="vw-guess"))),
        render("no such service", send_one(entry, Call(service="checks"))),
        render("oversized", send_one(entry, Call(method="POST", body=b"x" * 2000))),
        render("malformed timeout", send_one(entry, Call(timeout=-1.0))),
        render("over the limit", queue_over_the_limit(fleet, entry)),
        render("backend server down", send_one(entry, Call(service="down"))),
        render("deadline", send_one(entry, Call(run_seconds=0.6, timeout=0.2))),
        f"# malformed HTTP\n< {raw_exchange(entry, MALFORMED_REQUEST)}\n",
    ]
    fleet.cli("key", "withdraw", "guild", "first", "--wait")
    wait_until(lambda: send_one(entry, Call()).status == 401, "the withdrawn key is refused")
    steps.append(render("withdrawn key", send_one(entry, Call())))
    return "\n".join(steps)


def test_a_complete_session_matches_its_golden_file(tmp_path: Path) -> None:
    with running_fleet(
        tmp_path,
        executors_per_service=1,
        services={"check": {"mean_seconds": 0.01, "budget": 1}, "down": {"budget": 1}},
        organisations={"guild": {"limit": 8}, "small": {"limit": 1}},
        fleet_settings={"body_bound": 1000, "attempts": 2},
    ) as fleet:
        document = fleet.tree_document()
        document["nodes"]["small"]["settings"]["queue_length"] = 1
        address = document["nodes"]["pool-down"]["instances"]["down-1"]["address"]
        address["port"] = free_port()
        fleet.push(document, "--wait")
        session = run_session(fleet)
    (tmp_path / "session.txt").write_text(session)
    assert session == GOLDEN.read_text()
