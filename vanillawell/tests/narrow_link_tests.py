"""Prove that an entry behind a narrow link still reads what it needs."""

from __future__ import annotations

import time
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import anyio
from anyio.abc import SocketAttribute

from vanillawell.platform.http import HttpClient
from vanillawell.protocol.call_errors import NoAnswerError
from vanillawell.protocol.work_documents import WorkKeys
from vanillawell.tests.scheduler_cluster import (
    PREFIX,
    Cluster,
    job,
    step,
    until,
    until_state,
    with_cluster,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from anyio.abc import SocketStream

PARTS = 6
"""Parts in which an answer arrives."""

PAUSE = 0.1
"""Seconds between two parts."""

BOUND = 0.25
"""Seconds that the caller gives an answer; shorter than all parts take together."""

HEAD = f"HTTP/1.1 200 OK\r\nContent-Length: {2 * PARTS}\r\n\r\n".encode()


@asynccontextmanager
async def trickling(parts: int) -> AsyncIterator[str]:
    """Serve one answer of which only the first `parts` parts are ever sent."""

    async def answer(stream: SocketStream) -> None:
        async with stream:
            await stream.receive()
            await stream.send(HEAD)
            for _ in range(parts):
                await anyio.sleep(PAUSE)
                await stream.send(b"[]")
            await anyio.sleep_forever()

    listener: Any = await anyio.create_tcp_listener(local_host="127.0.0.1")
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, answer)
        yield f"127.0.0.1:{listener.extra(SocketAttribute.local_port)}"
        tasks.cancel_scope.cancel()


async def _call(parts: int) -> bytes | None:
    """Return the body of an answer; None if it was given up."""
    async with trickling(parts) as address:
        try:
            answer = await HttpClient().call(address, "GET", "/kv-range", timeout=BOUND)
        except NoAnswerError:
            return None
        return answer.body


def test_an_answer_is_not_given_up_while_it_is_arriving() -> None:
    """A page of the store's listing takes longer over a narrow link than an answer may take.

    Given up and asked for again from its first byte, it would never be read: an owner would take
    in no new jobs and no cancellations, and start tasks of cancelled jobs.
    """
    assert anyio.run(_call, PARTS) == b"[]" * PARTS


def test_an_answer_that_stops_arriving_is_given_up() -> None:
    """The path loses the connection in the middle of an answer. The caller waits no longer than for
    one that never began."""
    began = time.monotonic()
    assert anyio.run(_call, PARTS // 2) is None
    assert time.monotonic() - began < PARTS // 2 * PAUSE + BOUND + 0.3


@with_cluster(members=2)
async def test_an_entry_that_reads_jobs_for_longer_than_a_lease_keeps_the_shard(
    built: Cluster,
) -> None:
    """The owner is killed, and the entry that takes over needs longer to read all jobs than its
    lease lasts. Without renewals it loses the shard each time as soon as it has read them."""
    await built.kill(await built.owner())
    survivor, job_id = built.members[0], built.new_id()
    survivor.store.listing_time = 1.0
    assert (await survivor.call("POST", PREFIX + job_id, job())).status == 200
    await until_state(survivor, job_id, "completed", 7.0)


@with_cluster(members=1)
async def test_the_shard_falls_to_an_entry_that_can_carry_it(built: Cluster) -> None:
    """Most entries have half a core and a narrow link, a few have more. Drawn by lot, the shard
    falls to one that can't keep up with its executors; ends, moves and new jobs then wait."""
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
async def test_a_weak_entry_takes_the_shard_if_no_other_does(built: Cluster) -> None:
    """All entries with more than half a core are gone. Callers wait for the others a little
    longer, not for good."""
    weak = built.add_member("weak", {"processor_share": 0.5, "link_mbit": 5})
    await anyio.sleep(0.3)
    await built.kill(built.members[0])
    await until(lambda: weak.owns, 3.0)


@with_cluster(members=2)
async def test_a_new_owner_starts_nothing_before_it_knows_what_was_cancelled(
    built: Cluster,
) -> None:
    """The owner is killed, a job that waits for room is cancelled, and the next owner needs seconds
    to read what callers asked for. It must not start the job when room comes; nor may it say that
    nothing waits, while a job that it hasn't read of does."""
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
async def test_a_new_owner_reads_the_inbox_once_at_a_time(built: Cluster) -> None:
    """The inbox takes seconds to arrive. A second reading beside the first would halve what each
    gets of a narrow link, so that both take longer still."""
    await built.kill(await built.owner())
    survivor, inbox = built.members[0], WorkKeys().inbox
    survivor.store.listing_time, survivor.store.slow_prefix = 2.0, inbox
    await until(lambda: inbox in survivor.store.listed)
    await anyio.sleep(1.5)
    assert survivor.store.listed.count(inbox) == 1
