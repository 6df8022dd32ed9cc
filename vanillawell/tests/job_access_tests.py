"""Test which callers are admitted to a queue, and whose jobs they reach."""

from __future__ import annotations

from typing import Any

from vanillawell.tests.scheduler_cluster import (
    API_KEY,
    PREFIX,
    Cluster,
    Member,
    config,
    job,
    until,
    with_cluster,
)

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
