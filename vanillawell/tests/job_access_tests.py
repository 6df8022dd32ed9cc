"""Test which callers are admitted to a queue, and whose jobs they reach."""

from __future__ import annotations

from typing import Any

from vanillawell.protocol.work_keys import WorkKeys
from vanillawell.tests.scheduler_cluster import Cluster, Member, until, until_state, with_cluster
from vanillawell.tests.scheduler_documents import API_KEY, PREFIX, config, job

KEYS = WorkKeys()

OPEN_PREFIX = "/open/"
"""Prefix of the queue that admits callers without a key."""

SOUTH_KEY = "key-of-south"
"""Key of another organisation."""


def tenants(north: str = "north", keys: tuple[str, ...] = (API_KEY,)) -> list[dict[str, Any]]:
    """Return two organisations, the first with the given name and keys."""
    return [
        {"name": north, "apiKeys": list(keys), "weight": 10},
        {"name": "south", "apiKeys": [SOUTH_KEY], "weight": 10},
    ]


async def configure(built: Cluster, version: int, **changes: Any) -> None:
    """Write a configuration with an open queue, and wait until all entries know it."""
    routes = config()["routes"]
    open_queue = {**routes[0], "name": "open", "prefix": OPEN_PREFIX, "allowAnon": True}
    document = config(version, **{"routes": [*routes, open_queue], "tenants": tenants(), **changes})
    built.store.put_document("op/config", document)
    await until(lambda: all(_version(member) == version for member in built.members))


def _version(member: Member) -> object:
    return member.node.job_service.configuration_fields(0.0)["configuration"]


# Guards against a withdrawn key that still works where callers need none: its holder would hand in
# and cancel jobs there for as long as it likes.
@with_cluster()
async def test_unknown_key_is_refused_also_where_none_is_needed(built: Cluster) -> None:
    (member,) = built.members
    await configure(built, 2)
    first = built.new_id()
    assert (await member.call("POST", OPEN_PREFIX + first, job())).status == 200
    await configure(built, 3, tenants=tenants(keys=("next-key",)))
    for prefix in (PREFIX, OPEN_PREFIX):
        for key in (API_KEY, "never-known"):
            calls = [
                await member.call("POST", prefix + built.new_id(), job(), key=key),
                await member.call("GET", prefix + first, key=key),
                await member.call("DELETE", prefix + first, key=key),
                await member.call("GET", prefix, key=key),
            ]
            assert [reply.status for reply in calls] == [401] * 4
    without_key = await member.call("POST", OPEN_PREFIX + built.new_id(), job(), key=None)
    assert without_key.status == 200
    assert (await member.call("GET", PREFIX, key=None)).status == 401


# Guards against a caller that reads or ends a job of another organisation, whose id it has come to
# know.
@with_cluster()
async def test_job_is_hidden_from_other_organisations(built: Cluster) -> None:
    (member,) = built.members
    await configure(built, 2)
    running, scheduled = built.new_id(), built.new_id()
    await member.call("POST", PREFIX + running, job(spec={"seconds": 30}))
    await member.call("POST", PREFIX + scheduled, job(times=1, startTimeMs=4e12))
    await until_state(member, running, "running")
    for job_id in (running, scheduled):
        for prefix, key in ((PREFIX, SOUTH_KEY), (OPEN_PREFIX, SOUTH_KEY), (OPEN_PREFIX, None)):
            assert (await member.call("GET", prefix + job_id, key=key)).status == 410
            assert (await member.call("DELETE", prefix + job_id, key=key)).status == 410
        assert await member.state(job_id) in ("running", "queued")
    assert (await member.call("DELETE", PREFIX + running)).status == 200
    await until_state(member, running, "cancelled")


# Guards against a caller that is told that its job is accepted, although another organisation's has
# the id, and against an answer that tells of that job.
@with_cluster()
async def test_id_of_another_organisation_s_job_is_refused(built: Cluster) -> None:
    (member,) = built.members
    await configure(built, 2, tenants=tenants(keys=(API_KEY, "next-key")))
    job_id = built.new_id()
    assert (await member.call("POST", PREFIX + job_id, job(spec={"seconds": 30}))).status == 200
    others = await member.call("POST", PREFIX + job_id, job(), key=SOUTH_KEY)
    assert (others.status, others.document["verdict"]) == (409, "not-run")
    assert "north" not in str(others.document)
    await configure(built, 3, tenants=tenants(keys=("next-key",)))
    repeated = await member.call("POST", PREFIX + job_id, job(), key="next-key")
    assert repeated.status == 200
    assert (await member.call("GET", PREFIX + job_id, key="next-key")).status == 200


# Guards against jobs that nobody can query or cancel once the operator has renamed their
# organisation, and against a key that reaches them once it is another organisation's.
@with_cluster()
async def test_renamed_organisation_keeps_its_jobs(built: Cluster) -> None:
    (member,) = built.members
    await configure(built, 2)
    job_id = built.new_id()
    await member.call("POST", PREFIX + job_id, job(spec={"seconds": 30}))
    await until_state(member, job_id, "running")
    await configure(built, 3, tenants=tenants("far-north"))
    assert await member.state(job_id) == "running"
    assert (await member.call("POST", PREFIX + job_id, job())).status == 200
    assert (await member.call("GET", PREFIX + job_id, key=SOUTH_KEY)).status == 410
    moved_key = [{"name": "north", "apiKeys": ["next-key"]}, {"name": "east", "apiKeys": [API_KEY]}]
    await configure(built, 4, tenants=moved_key)
    assert await member.state(job_id) == "status 410"
    assert (await member.call("DELETE", PREFIX + job_id, key="next-key")).status == 200


# Guards against callers without a key that lose sight of the jobs that they handed in.
@with_cluster()
async def test_jobs_without_a_key_belong_to_their_queue(built: Cluster) -> None:
    (member,) = built.members
    await configure(built, 2)
    job_id, keyed = built.new_id(), built.new_id()
    for _ in range(2):
        reply = await member.call("POST", OPEN_PREFIX + job_id, job(spec={"seconds": 30}), key=None)
        assert reply.status == 200
    await member.call("POST", OPEN_PREFIX + keyed, job(spec={"seconds": 30}))
    for accessed, key in ((job_id, None), (job_id, SOUTH_KEY), (keyed, None), (keyed, API_KEY)):
        assert (await member.call("GET", OPEN_PREFIX + accessed, key=key)).status == 200
    assert (await member.call("GET", OPEN_PREFIX + keyed, key=SOUTH_KEY)).status == 410
    assert (await member.call("GET", PREFIX + job_id)).status == 410
    assert (await member.call("DELETE", OPEN_PREFIX + job_id, key=None)).status == 200


# Guards against an owner of an earlier version, whose records name no organisation: callers would
# lose their jobs during a rolling update.
@with_cluster()
async def test_record_that_names_no_organisation_is_told_to_its_caller(built: Cluster) -> None:
    (member,) = built.members
    await configure(built, 2)
    job_id = built.new_id()
    await member.call("POST", PREFIX + job_id, job(spec={"seconds": 0.05}))
    await until_state(member, job_id, "completed")
    record = built.store.read_document(KEYS.record(job_id))
    del record["organisation"], record["queue"]
    built.store.put_document(KEYS.record(job_id), record)
    assert await member.state(job_id) == "completed"
    assert (await member.call("GET", PREFIX + job_id, key=SOUTH_KEY)).status == 410
