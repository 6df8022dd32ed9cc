"""Test that an odd entry of another writer costs nobody but itself."""

from __future__ import annotations

import base64
import dataclasses
import functools
import json
from typing import Any

import anyio
import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from vanillawell.platform.documents import UnreadableDocumentError, read_executor
from vanillawell.platform.http import _render_request
from vanillawell.protocol.executor_calls import Target
from vanillawell.state.work import Resources
from vanillawell.tests.registration_documents import registration
from vanillawell.tests.scheduler_cluster import Cluster, cluster, until_state
from vanillawell.tests.scheduler_documents import POOL, PREFIX, job
from vanillawell.tests.scheduling_builders import ShardHarness

entry = functools.partial(registration, service=POOL, machine="machine-of-stray")

NESTED = b"[" * 5_000 + b"]" * 5_000
"""A document that no parser with bounded recursion reads."""

ODD_ENTRIES: dict[str, tuple[str, bytes]] = {
    "port that is a digit but no number": ("stray", entry(address="127.0.0.1:\u00b2")),
    "port out of range": ("stray", entry(address="127.0.0.1:65536")),
    "port zero": ("stray", entry(address="127.0.0.1:0")),
    "host with letters that no header carries": ("stray", entry(address="\ufffd:80")),
    "host name": ("stray", entry(address="stray.example:80")),
    "host with an empty label": ("stray", entry(address="a..b:80")),
    "host with NUL": ("stray", entry(address="127.0.0.1\0:80")),
    "address that continues the header": (
        "stray",
        entry(address="127.0.0.1:80\r\nX-Other: 1:80"),
    ),
    "id that no header carries": ("stray-\ufffd", entry()),
    "id that ends the header": ("stray\r\nX-Other: 1", entry()),
    "no id": ("", entry()),
    "start beyond any clock": ("stray", entry(born=2**64 - 1)),
    "capacity beyond any machine": (
        "stray",
        entry(capacity={"cpu": 2**64 - 1, "memMb": 2**64 - 1, "gpu": 2**64 - 1}),
    ),
    "slow for longer than any clock": ("stray", entry(coldRemainingMs=1e308)),
    "leaves later than any clock": (
        "stray",
        entry(state="draining", remainingMs=1e308),
    ),
    "number beyond floating point": (
        "stray",
        entry(seq=77).replace(b'"seq":77', b'"seq":1e400'),
    ),
    "whole number beyond 64 bits": (
        "stray",
        entry(seq=77).replace(b'"seq":77', b'"seq":' + b"9" * 40),
    ),
    "deep nesting": ("stray", entry(labels="X").replace(b'"X"', NESTED)),
    "nothing but nesting": ("stray", NESTED),
    "bytes that are no text": ("stray", b"\xff\xfe\x00"),
}
"""Id and value of an entry, by what is odd about it."""


async def _run_beside(built: Cluster, name: str, value: bytes) -> None:
    """Run two jobs beside an entry of the registry; fail if they wait or the shard is dropped."""
    owner = built.members[0]
    term = owner.node.term
    built.store.put(f"servers/{name}", base64.b64encode(value).decode())
    await anyio.sleep(0.3)
    for _ in range(2):
        job_id = built.new_id()
        reply = await owner.call("POST", PREFIX + job_id, job(spec={"seconds": 0.1}))
        assert reply.status == 200
        await until_state(owner, job_id, "completed")
    assert owner.node.telemetry.shard_drops.get({}) == 0
    assert owner.node.term is term


@pytest.mark.parametrize("oddity", ODD_ENTRIES)
def test_odd_entry_of_the_registry_ends_no_owner(oddity: str) -> None:
    """One unusable entry under the executors' prefix ended each owner in turn, and nothing ran."""
    name, value = ODD_ENTRIES[oddity]

    async def run() -> None:
        async with cluster() as built:
            await _run_beside(built, name, value)

    anyio.run(run)


JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats(allow_nan=False)
    | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=8,
)

ENTRY: dict[str, Any] = {
    **json.loads(entry()),
    "state": "draining",
    "remainingMs": 2_000,
}


@given(st.dictionaries(st.sampled_from(sorted(ENTRY)), JSON, min_size=1, max_size=3), st.text())
def test_any_entry_of_the_registry_is_rejected_or_can_be_used(
    changes: dict[str, Any], name: str
) -> None:
    """A value passed the decoding and failed in a later use: a call, arithmetic or a document."""
    value = json.dumps({**ENTRY, **changes}).encode()
    try:
        facts = read_executor(f"servers/{name}", value)
    except UnreadableDocumentError:
        return
    harness = ShardHarness()
    for life in (facts, dataclasses.replace(facts, incarnation=facts.incarnation + 1)):
        harness.shard.register(life, harness.now)
    executor = harness.shard.ledger.executors[facts.executor]
    executor.contacted = True
    harness.place()
    fleet = [executor] * 4_000
    total = sum((item.free for item in fleet), Resources())
    orjson.dumps(dataclasses.asdict(facts), default=sorted)
    orjson.dumps(total)
    target = Target(facts.executor, facts.address, facts.incarnation)
    headers = {"X-Expect-Instance": target.executor}
    _render_request(target.address, "POST", "/hold", {"fence": 1}, headers)
