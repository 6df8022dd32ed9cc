"""Test that an entry with little bandwidth or CPU still reads what it needs."""

from __future__ import annotations

import time
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import anyio
from anyio.abc import SocketAttribute

from vanillawell.platform.http import HttpClient
from vanillawell.protocol.call_errors import NoAnswerError
from vanillawell.protocol.work_keys import WorkKeys
from vanillawell.tests.scheduler_cluster import Cluster, until, until_state, with_cluster
from vanillawell.tests.scheduler_documents import PREFIX, job, step

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from anyio.abc import SocketStream

ANSWER_PARTS = 6
"""Parts in which an answer arrives."""

PART_INTERVAL = 0.3
"""Seconds between two parts; far below the timeout, since a busy machine delays the stand-in."""

CALL_TIMEOUT = 1.0
"""Seconds that the caller waits for an answer; shorter than all parts take together."""

RESPONSE_HEAD = f"HTTP/1.1 200 OK\r\nContent-Length: {2 * ANSWER_PARTS}\r\n\r\n".encode()


@asynccontextmanager
async def serve_slowly(parts: int) -> AsyncIterator[str]:
    """Serve one answer of which only the first `parts` parts are ever sent."""

    async def answer(stream: SocketStream) -> None:
        async with stream:
            await stream.receive()
            await stream.send(RESPONSE_HEAD)
            for _ in range(parts):
                await anyio.sleep(PART_INTERVAL)
                await stream.send(b"[]")
            await anyio.sleep_forever()

    listener: Any = await anyio.create_tcp_listener(local_host="127.0.0.1")
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, answer)
        yield f"127.0.0.1:{listener.extra(SocketAttribute.local_port)}"
        tasks.cancel_scope.cancel()


async def _call(parts: int) -> bytes | None:
    """Return the body of an answer, or None if the call timed out."""
    async with serve_slowly(parts) as address:
        try:
            answer = await HttpClient().call(address, "GET", "/kv-range", timeout=CALL_TIMEOUT)
        except NoAnswerError:
            return None
        return answer.body


def test_answer_is_not_abandoned_while_it_is_arriving() -> None:
    """Over a narrow link, a page of the store's listing takes longer than the call timeout.

    If the read were abandoned and restarted from the first byte, it would never complete: an owner
    would read no new jobs and no cancellations, and would start tasks of cancelled jobs.
    """
    assert anyio.run(_call, ANSWER_PARTS) == b"[]" * ANSWER_PARTS


def test_answer_that_stops_arriving_times_out() -> None:
    """The connection is lost in the middle of an answer. The caller waits no longer than for an
    answer that never began."""
    began = time.monotonic()
    assert anyio.run(_call, ANSWER_PARTS // 2) is None
    assert time.monotonic() - began < ANSWER_PARTS // 2 * PART_INTERVAL + CALL_TIMEOUT + 0.3


@with_cluster(members=2)
async def test_entry_keeps_shard_while_loading_takes_longer_than_lease(
    built: Cluster,
) -> None:
    """The owner is killed, and the entry that takes over needs longer than its lease to read all
    jobs. Without renewals it would lose the shard each time it has read them."""
    await built.kill(await built.owner())
    survivor, job_id = built.members[0], built.new_id()
    survivor.store.listing_time = 1.0
    assert (await survivor.call("POST", PREFIX + job_id, job())).status == 200
    await until_state(survivor, job_id, "completed", 7.0)


@with_cluster(members=1)
async def test_strongest_entry_takes_shard(built: Cluster) -> None:
    """Most entries have half a core and a narrow link, a few have more. If the owner were chosen at
    random, one that cannot keep up with its executors might own the shard and delay ends, moves and
    new jobs."""
    for _ in range(3):
        owner = built.members[0]
        for number in range(5):
            built.add_member(f"weak-{number}", {"processor_share": 0.5, "link_mbit": 5})
        strong = built.add_member("strong", {"processor_speed": 2, "link_mbit": 100})
        await anyio.sleep(0.3)
        await built.kill(owner)
        assert await built.owner() is strong
        for member in [member for member in built.members if member is not strong]:
            await built.kill(member)


@with_cluster(members=1)
async def test_weak_entry_takes_shard_if_no_other_is_left(built: Cluster) -> None:
    """All entries with more than half a core are lost. Callers wait a little longer until the weak
    entry takes the shard, but not indefinitely."""
    weak = built.add_member("weak", {"processor_share": 0.5, "link_mbit": 5})
    await anyio.sleep(0.3)
    await built.kill(built.members[0])
    await until(lambda: weak.owns, 3.0)


@with_cluster(members=2)
async def test_new_owner_starts_nothing_before_reading_cancellations(
    built: Cluster,
) -> None:
    """The owner is killed, a job that waits for capacity is cancelled, and the next owner needs
    seconds to read the requests of callers. It must not start the job when capacity becomes free,
    nor report that no job waits while there is one that it has not read yet."""
    blocking, cancelled, waiting = built.new_id(), built.new_id(), built.new_id()
    owner = await built.owner()
    await owner.call("POST", PREFIX + blocking, job(step(16), spec={"seconds": 2.0}))
    await until(lambda: len(built.audit.started) == 16)
    await owner.call("POST", PREFIX + cancelled, job())
    await anyio.sleep(0.3)
    await built.kill(owner)
    survivor = built.members[0]
    survivor.store.listing_time, survivor.store.slow_prefix = 3.5, WorkKeys().inbox
    assert (await survivor.call("DELETE", PREFIX + cancelled)).status == 200
    assert (await survivor.call("POST", PREFIX + waiting, job())).status == 200
    await until_state(survivor, blocking, "completed", 4.0)
    assert f"{cancelled}.0.0.0" not in built.audit.started
    assert (await survivor.call("GET", PREFIX)).document["pending"] > 0
    await until_state(survivor, cancelled, "cancelled")
    await until_state(survivor, waiting, "completed")
    assert f"{cancelled}.0.0.0" not in built.audit.started


@with_cluster(members=2)
async def test_new_owner_runs_one_inbox_read_at_a_time(built: Cluster) -> None:
    """The inbox takes seconds to arrive. A second read in parallel would halve the bandwidth of
    each, so that both take even longer."""
    await built.kill(await built.owner())
    survivor, inbox = built.members[0], WorkKeys().inbox
    survivor.store.listing_time, survivor.store.slow_prefix = 2.0, inbox
    await until(lambda: inbox in survivor.store.listed)
    await anyio.sleep(1.5)
    assert survivor.store.listed.count(inbox) == 1
