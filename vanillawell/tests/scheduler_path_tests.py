"""Test the path of a job from submission to completion, in the formats of the platform."""

from __future__ import annotations

import anyio
import orjson

from vanillawell.tests.scheduler_cluster import Cluster, until, until_state, with_cluster
from vanillawell.tests.scheduler_documents import ADVICE_PREFIX, API_KEY, PREFIX, config, job, step


@with_cluster(members=2)
async def test_job_runs_from_acceptance_to_completion(built: Cluster) -> None:
    job_id = built.new_id()
    first, second = built.members
    reply = await first.call("POST", PREFIX + job_id, job(step(3), step(2, after=[0])))
    assert reply.status == 200
    await until_state(second, job_id, "completed")
    assert sum(built.audit.started.values()) == 5
    await until(lambda: len(built.audit.done) == 5)


@with_cluster()
async def test_resubmitted_job_runs_once(built: Cluster) -> None:
    job_id, member = built.new_id(), built.members[0]
    for _ in range(3):
        assert (await member.call("POST", PREFIX + job_id, job())).status == 200
    await until_state(member, job_id, "completed")
    assert (await member.call("POST", PREFIX + job_id, job())).status == 200
    await anyio.sleep(0.3)
    assert sum(built.audit.started.values()) == 1


@with_cluster()
async def test_later_steps_wait_for_all_tasks_of_earlier_ones(built: Cluster) -> None:
    job_id, member = built.new_id(), built.members[0]
    await member.call("POST", PREFIX + job_id, job(step(4), step(1, after=[0])))
    await until(lambda: bool(built.audit.started))
    assert f"{job_id}.0.1.0" not in built.audit.started
    await until(lambda: f"{job_id}.0.1.0" in built.audit.started)
    await until_state(member, job_id, "completed")


@with_cluster()
async def test_invalid_calls_get_specific_status_codes(built: Cluster) -> None:
    member, job_id = built.members[0], built.new_id()
    cases = [
        ("POST", PREFIX + job_id, b"{", API_KEY, 400),
        ("POST", PREFIX + job_id, b'{"steps": []}', API_KEY, 400),
        ("POST", PREFIX + job_id, job(step(count=0)), API_KEY, 400),
        ("POST", PREFIX + job_id, job(step(after=[0])), API_KEY, 400),
        ("POST", PREFIX + "nothing-like-an-id", job(), API_KEY, 404),
        ("POST", PREFIX + job_id, b"x" * 200_000, API_KEY, 413),
        ("POST", PREFIX + job_id, job(), "another key", 401),
        ("POST", PREFIX + job_id, job(), None, 401),
        ("POST", "/nowhere/" + job_id, job(), API_KEY, 404),
        ("GET", PREFIX + job_id, b"", API_KEY, 410),
        ("DELETE", PREFIX + job_id, b"", API_KEY, 410),
        ("PATCH", PREFIX + job_id, b"", API_KEY, 400),
    ]
    for method, path, body, key, status in cases:
        assert (await member.call(method, path, body, key)).status == status, (method, path, body)
    assert (await member.call("GET", PREFIX)).document == {"pending": 0}
    assert not built.audit.started


@with_cluster()
async def test_unreadable_documents_in_the_store_are_ignored(built: Cluster) -> None:
    """Another writer stores invalid documents; callers are not affected."""
    member = built.members[0]
    built.store.put("servers/i-odd", "AAAA")
    built.store.put_document("servers/i-poor", {"service": 7, "state": "ready"})
    built.store.put("vanillawell/inbox/job/00000000000000ff", "AAAA")
    built.store.put("op/wave/1", "AAAA")
    built.store.put("op/config", "AAAA")
    job_id = built.new_id()
    assert (await member.call("POST", PREFIX + job_id, job())).status == 200
    await until_state(member, job_id, "completed")


@with_cluster(members=2)
async def test_unreadable_record_affects_only_its_own_job(built: Cluster) -> None:
    """The record of one job is damaged, and then the owner is lost. All other jobs must continue,
    and queries for the damaged one get a definite answer."""
    owner = await built.owner()
    damaged, other = built.new_id(), built.new_id()
    await owner.call("POST", PREFIX + damaged, job())
    await until_state(owner, damaged, "completed")
    built.store.put(f"vanillawell/record/{damaged}", "e30=")
    await built.kill(owner)
    survivor = built.members[0]
    await until(lambda: survivor.owns, 4)
    assert (await survivor.call("POST", PREFIX + other, job())).status == 200
    await until_state(survivor, other, "completed")
    assert (await survivor.call("GET", PREFIX + damaged)).status == 503


@with_cluster()
async def test_cancelled_job_is_stopped_and_starts_no_more_tasks(built: Cluster) -> None:
    job_id, member = built.new_id(), built.members[0]
    body = job(step(2), step(1, after=[0]), spec={"seconds": 5})
    await member.call("POST", PREFIX + job_id, body)
    await until(lambda: len(built.audit.started) == 2)
    assert (await member.call("DELETE", PREFIX + job_id)).status == 200
    await until(lambda: not any(executor.running for executor in built.executors), 2)
    assert await member.state(job_id) == "cancelled"
    await anyio.sleep(0.3)
    assert len(built.audit.started) == 2


@with_cluster()
async def test_job_fails_after_too_many_failures_of_a_task(built: Cluster) -> None:
    job_id, member = built.new_id(), built.members[0]
    body = job(spec={"seconds": 0.05, "fails": True})
    await member.call("POST", PREFIX + job_id, body)
    await until_state(member, job_id, "failed")
    await anyio.sleep(0.2)
    assert built.audit.started[f"{job_id}.0.0.0"] == 2


@with_cluster()
async def test_long_running_task_is_restarted_whenever_it_ends(built: Cluster) -> None:
    job_id, member = built.new_id(), built.members[0]
    await member.call(
        "POST", PREFIX + job_id, job(step(longRunning=True), spec={"seconds": 0.1, "fails": True})
    )
    await until(lambda: built.audit.started[f"{job_id}.0.0.0"] >= 3)
    assert await member.state(job_id) == "running"
    await member.call("DELETE", PREFIX + job_id)


@with_cluster()
async def test_occurrences_start_when_they_are_due(built: Cluster) -> None:
    import time

    job_id, member = built.new_id(), built.members[0]
    due = time.time() + 0.4
    body = job(times=2, startTimeMs=due * 1000, intervalMs=300, spec={"seconds": 0.05})
    await member.call("POST", PREFIX + job_id, body)
    await anyio.sleep(0.2)
    assert not built.audit.started
    await until_state(member, job_id, "completed")
    assert set(built.audit.started) == {f"{job_id}.0.0.0", f"{job_id}.1.0.0"}
    assert time.time() >= due + 0.3


@with_cluster(executors=1)
async def test_capacity_and_the_maximum_of_an_organisation_are_respected(built: Cluster) -> None:
    """An executor that accepts every start never gets more tasks than it has capacity for."""
    member = built.members[0]
    tenants = [{"name": "north", "apiKeys": [API_KEY], "weight": 1, "maximum": {"cpu": 3_000}}]
    built.store.put_document("op/config", config(2, tenants=tenants))
    await anyio.sleep(0.2)
    ids = [built.new_id() for _ in range(4)]
    for job_id in ids:
        await member.call("POST", PREFIX + job_id, job(step(4)))
    max_running = 0
    with anyio.fail_after(8):
        while any([await member.state(job_id) != "completed" for job_id in ids]):
            max_running = max(
                max_running, sum(len(executor.running) for executor in built.executors)
            )
    assert 1 <= max_running <= 3


@with_cluster()
async def test_queue_with_advice_uses_only_the_named_executors(built: Cluster) -> None:
    built.machines.advised_executors = {"i-1"}
    job_id, member = built.new_id(), built.members[0]
    await member.call("POST", ADVICE_PREFIX + job_id, job(step(3)))
    await until(lambda: len(built.audit.started) == 3)
    assert not built.hosts["i-0"].executor.running


@with_cluster(executors=3)
async def test_wave_takes_each_machine_once_and_moves_long_running_tasks(built: Cluster) -> None:
    """Upkeep ends all runs on a machine; at most one long-running task may be unavailable."""
    job_id, member = built.new_id(), built.members[0]

    async def upkeep(machine: object) -> None:
        name = machine.executor  # type: ignore[attr-defined]
        if machine.state == "upkeep":  # type: ignore[attr-defined]
            built.store.delete(f"servers/{name}")
        built.restart(name)
        if machine.state == "up":  # type: ignore[attr-defined]
            built.register(name)

    built.machines.on_upkeep = upkeep
    long_running = step(2, longRunning=True, maxUnavailable=1, maxPerServer=1)
    await member.call("POST", PREFIX + job_id, job(long_running, spec={"seconds": 60}))
    await until(lambda: sum(len(executor.running) for executor in built.executors) == 2)
    built.request_wave(built.machines.machines, 20)

    def completed() -> bool:
        item = built.store.items.get("status/wave/1")
        return item is not None and orjson.loads(_decode(item.value))["state"] == "completed"

    await until(completed, 15)
    assert [machine.upkeeps for machine in built.machines.machines.values()] == [1, 1, 1]
    assert built.machines.max_away == 1
    await until(lambda: sum(len(executor.running) for executor in built.executors) == 2)


def _decode(text: str) -> bytes:
    import base64

    return base64.b64decode(text)
