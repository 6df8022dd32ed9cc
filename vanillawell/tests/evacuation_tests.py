"""Test that an evacuated zone gets no new tasks, through every fault between request and start.

The stand-in executors record every second run of a task, every start after a confirmed end, and
every overload. Each test on a cluster fails if they recorded any.
"""

from __future__ import annotations

import functools
from typing import Any

import anyio
import pytest

from vanillawell.state.progress import RunPhase
from vanillawell.tests.scheduler_cluster import Cluster, until, until_state, with_cluster
from vanillawell.tests.scheduler_documents import PREFIX, job, step

IN_FORCE_BOUND = 0.3
"""Seconds from the store's acknowledgement of an evacuation until no more task starts there."""

SLOW_ANSWER_TIME = 0.4
"""Seconds by which a slow store delays its answers to writes."""


def _started_in(built: Cluster, zone: str) -> int:
    """Return the number of starts on the executors of a zone."""
    return sum(host.executor.start_count for host in built.hosts.values() if host.zone == zone)


async def _submit(
    built: Cluster, *steps: dict[str, Any], job_id: str = "", seconds: float = 0.05
) -> str:
    """Submit a job whose tasks run for `seconds`, and return its id."""
    job_id = job_id or built.new_id()
    body = job(*steps, spec={"seconds": seconds})
    reply = await built.members[0].call("POST", PREFIX + job_id, body)
    assert reply.status == 200
    return job_id


async def _evacuate_before_starts(built: Cluster, zone: str, *steps: dict[str, Any]) -> str:
    """Submit a job and evacuate a zone between the decision to start tasks and the orders."""
    member, job_id = await built.owner(), built.new_id()
    member.store.answer_time = SLOW_ANSWER_TIME
    built.tasks.start_soon(functools.partial(_submit, built, *steps, job_id=job_id))
    shard = member.node.owned_shard
    assert shard is not None
    await until(lambda: any(run.phase is RunPhase.PLANNED for run in shard.ledger.runs()))
    built.evacuate(zone)
    await until(lambda: bool(shard.ledger.evacuated_zones))
    member.store.answer_time = 0.0
    return job_id


async def _add_zone(built: Cluster, zone: str, cpu: int = 8_000) -> None:
    """Add two executors of another zone and wait until tasks can be placed on them."""
    names = [f"{zone}-{number}" for number in range(2)]
    for name in names:
        await built.add_executor(name, cpu, zone=zone)
    await until(lambda: all(built.hosts[name].executor.hold_calls for name in names))


@with_cluster()
async def test_no_task_starts_in_a_zone_once_its_evacuation_is_known(built: Cluster) -> None:
    jobs = [await _submit(built, step(6))]
    await until(lambda: bool(built.audit.started))
    await _add_zone(built, "b")
    built.evacuate("a")
    await anyio.sleep(IN_FORCE_BOUND)
    before = _started_in(built, "a")
    jobs += [await _submit(built, step(6)) for _ in range(3)]
    for job_id in jobs:
        await until_state(built.members[0], job_id, "completed")
    assert before > 0 and _started_in(built, "a") == before


@with_cluster()
async def test_running_tasks_of_an_evacuated_zone_go_on(built: Cluster) -> None:
    """An evacuation stops new work only. Tasks that end soon and tasks that last keep running, and
    their leases are renewed."""
    await _submit(built, step(2, longRunning=True), seconds=99)
    await until(lambda: sum(len(item.running) for item in built.executors) == 2)
    running = [set(item.running) for item in built.executors]
    built.evacuate("a")
    await anyio.sleep(2.0)
    assert [set(item.running) for item in built.executors] == running
    assert all(count == 1 for count in built.audit.started.values())


@with_cluster()
async def test_work_waits_without_loss_while_all_zones_are_evacuated(built: Cluster) -> None:
    """With every zone evacuated nothing starts. Accepted jobs wait with a cause that their log
    names, and start as soon as a zone is taken back."""
    built.evacuate("a")
    await anyio.sleep(IN_FORCE_BOUND)
    job_id = await _submit(built, step(2))
    await anyio.sleep(0.5)
    shard = (await built.owner()).node.owned_shard
    assert shard is not None
    record = shard.job_table.jobs[job_id]
    assert [item.held_by for item in record.occurrences[0]] == ["room outside evacuated zones"]
    assert not built.audit.started
    built.take_back("a")
    await until_state(built.members[0], job_id, "completed")


@with_cluster()
async def test_evacuation_taken_back_and_requested_again_at_once_holds(built: Cluster) -> None:
    await _add_zone(built, "b")
    built.evacuate("a")
    await anyio.sleep(0.1)
    built.take_back("a")
    built.evacuate("a")
    await anyio.sleep(IN_FORCE_BOUND)
    before = _started_in(built, "a")
    await until_state(built.members[0], await _submit(built, step(4)), "completed")
    assert _started_in(built, "a") == before


@with_cluster(members=2)
async def test_next_owner_keeps_an_evacuation(built: Cluster) -> None:
    """The owner is lost right after an evacuation was acknowledged, perhaps before it knew."""
    await _add_zone(built, "b")
    owner = await built.owner()
    built.evacuate("a")
    before = _started_in(built, "a")
    await built.kill(owner)
    jobs = [await _submit(built, step(4)) for _ in range(3)]
    for job_id in jobs:
        await until_state(built.members[0], job_id, "completed", 8)
    assert _started_in(built, "a") == before


@with_cluster()
async def test_all_entries_restarted_keep_an_evacuation(built: Cluster) -> None:
    await _add_zone(built, "b")
    built.evacuate("a")
    for member in list(built.members):
        await built.kill(member)
    built.add_member("entry-after")
    await built.owner()
    await until(lambda: built.members[0].node.job_service.is_ready(anyio.current_time()))
    before = _started_in(built, "a")
    await until_state(built.members[0], await _submit(built, step(4)), "completed")
    assert _started_in(built, "a") == before


@pytest.mark.parametrize("is_ended", [False, True])
def test_evacuation_is_known_after_the_history_was_compacted(is_ended: bool) -> None:
    """The store forgets its changes while an entry can't reach it. The listing that follows shows
    evacuations that have begun, and the absence of those that have ended."""

    @with_cluster()
    async def run(built: Cluster) -> None:
        await _add_zone(built, "b")
        if is_ended:
            built.evacuate("b")
            await anyio.sleep(IN_FORCE_BOUND)
        built.store.faults.withhold_changes = True
        if is_ended:
            built.take_back("b")
        built.evacuate("a")
        built.store.compact_history()
        built.store.faults.withhold_changes = False
        await anyio.sleep(1.2)
        before = _started_in(built, "a")
        await until_state(built.members[0], await _submit(built, step(4)), "completed")
        assert _started_in(built, "a") == before

    run()


@with_cluster()
async def test_start_decided_before_an_evacuation_is_withdrawn(built: Cluster) -> None:
    """A start was stored but not yet sent when the owner learned of the evacuation. It is not sent,
    and the task starts in another zone."""
    await _add_zone(built, "b", cpu=4_000)
    job_id = await _evacuate_before_starts(built, "a", step(10))
    await until_state(built.members[0], job_id, "completed")
    assert not _started_in(built, "a")


@with_cluster()
async def test_gang_is_not_split_by_an_evacuation(built: Cluster) -> None:
    """Some members of a gang were decided for a zone that is evacuated before they start. The
    others must not wait for them; all start together elsewhere."""
    await _add_zone(built, "b", cpu=16_000)
    job_id = await _evacuate_before_starts(built, "a", step(18, gang=True))
    await until_state(built.members[0], job_id, "completed")


@with_cluster()
async def test_request_without_a_zone_changes_nothing(built: Cluster) -> None:
    """A key that names no zone, or one that nobody has, is reported and has no other effect."""
    built.store.put_document("op/evacuate/", {})
    built.evacuate("nowhere")
    await anyio.sleep(IN_FORCE_BOUND)
    await until_state(built.members[0], await _submit(built, step(4)), "completed")
