"""Test that an odd document in the store costs only what it tells of.

The documents of the registry have tests of their own (`odd_entries_tests.py`).
"""

from __future__ import annotations

import base64
import dataclasses
from typing import TYPE_CHECKING, Any

import anyio
import orjson
import pytest
from hypothesis import given

from vanillawell.coordination.lease_manager import LeaseManager
from vanillawell.coordination.wave_age import WaveAge
from vanillawell.platform.documents import read_wave
from vanillawell.protocol.lease_bounds import ExecutorBound, LeaseBounds
from vanillawell.protocol.ownership_documents import Contender, TermDocument
from vanillawell.protocol.queue_documents import (
    read_key_id,
    read_pending,
    read_queue,
    write_job_rules,
    write_queues,
)
from vanillawell.protocol.record_parts import count_parts, join
from vanillawell.protocol.work_documents import (
    read_job,
    read_origin,
    read_record,
    read_summary,
    write_job,
    write_record,
)
from vanillawell.protocol.work_keys import WorkKeys
from vanillawell.state.job_access import Access, may_access
from vanillawell.state.ledger import InheritedLeaseBound
from vanillawell.state.work import Ending
from vanillawell.tests.changed_documents import changed
from vanillawell.tests.scheduler_cluster import Cluster, Member, cluster, until_state
from vanillawell.tests.scheduler_documents import PREFIX
from vanillawell.tests.scheduler_documents import job as body_of_job
from vanillawell.tests.scheduling_builders import (
    QUEUE,
    FixedClocks,
    ShardHarness,
    facts,
    job,
    policy,
    step,
)

if TYPE_CHECKING:
    from collections.abc import Callable

KEYS = WorkKeys()
JOB_ID = "00000000000000aa"

ODD_KEYS = [
    KEYS.new_job(JOB_ID),
    KEYS.new_job("zz"),
    KEYS.new_job(""),
    KEYS.cancel(JOB_ID),
    f"{KEYS.inbox}other",
    KEYS.submitted_job(JOB_ID),
    KEYS.record(JOB_ID),
    KEYS.job_rules(JOB_ID),
    KEYS.pending("all"),
    KEYS.queues("all"),
    KEYS.lease_bounds("all"),
    KEYS.machine_orders("all"),
    KEYS.wave(1),
    KEYS.holder("all"),
    KEYS.bid("all"),
    KEYS.holder("other"),
    KEYS.term("all"),
    "op/wave/1",
    "op/wave/x",
    "op/evacuate/",
    "op/evacuate/zz",
    "op/other",
]
"""Keys under the prefixes that entries read, each of which another writer may have written."""

ODD_VALUES = {
    "no text": b"\xff\x00",
    "nothing": b"",
    "number": b"7",
    "list": b"[1]",
    "object": b"{}",
    "nesting": b"[" * 5_000 + b"]" * 5_000,
}


async def _complete_job(built: Cluster, member: Member) -> None:
    """Complete a job at an entry; a few tries may be refused while the shard changes its owner."""
    job_id = built.new_id()
    body = body_of_job(spec={"seconds": 0.05})
    while (await member.call("POST", PREFIX + job_id, body)).status != 200:
        await anyio.sleep(0.1)
    await until_state(member, job_id, "completed", 8)


# Guards against an unreadable document that ends owners or entries, or keeps the shard from having
# an owner: under `term/` it ended each entry that tried to take the shard.
@pytest.mark.parametrize("kind", ODD_VALUES)
def test_unreadable_documents_stop_no_jobs(kind: str) -> None:
    value = base64.b64encode(ODD_VALUES[kind]).decode()

    async def run() -> None:
        async with cluster() as built:
            (owner,) = built.members
            for key in ODD_KEYS:
                built.store.put(key, value)
            await anyio.sleep(0.2)
            with anyio.fail_after(10):
                await _complete_job(built, owner)
            assert (await owner.call("GET", PREFIX)).status in (200, 503)
            successor = built.add_member("entry-next")
            await anyio.sleep(0.2)
            await built.kill(owner)
            with anyio.fail_after(15):
                await _complete_job(built, successor)
            drops = [item.node.telemetry.shard_drops.get({}) for item in (owner, successor)]
            assert not any(drops)

    anyio.run(run)


def _use(harness: ShardHarness) -> None:
    """Do with what was read all that an owner does with it in its scheduling cycles."""
    table = harness.shard.job_table
    harness.plan()
    table.pending()
    harness.shard.expire(harness.now, harness.now)
    harness.shard.place(harness.now + 100, harness.now + 100)
    table.next_due()
    list(table.removable(harness.now + 1e6))
    for record in table.jobs.values():
        write_record(record)
        write_job(record.job)
    write_queues(harness.shard.queues.in_use())


STORED_JOB = job(
    step(2, saves_progress=True, data_rack="r1", required_label="r1"),
    step(3, after=(0,), gang=True, same_rack=True),
    step(1, long_running=True, most_away=1, image="i", tail_target=0.1),
    times=2,
    first_due=1.0,
    interval=1.0,
)


def _use_job(data: bytes) -> None:
    stored = read_job(data, STORED_JOB.job_id)
    harness = ShardHarness(facts("e1"), facts("e2"))
    harness.shard.admit(stored, harness.now, age=0.1)
    _use(harness)


def _stored_record() -> tuple[Any, bytes]:
    harness = ShardHarness(facts("e1"), facts("e2"))
    item = job(step(3), step(2, after=(0,), gang=True), step(1, speculative=True))
    harness.admit(item)
    runs = harness.place()
    harness.end(runs[0])
    harness.end(runs[1], Ending.FAILED)
    harness.place()
    return item, write_record(harness.shard.job_table.jobs[item.job_id])


RECORDED_JOB, STORED_RECORD = _stored_record()


def _use_record(data: bytes) -> None:
    read_summary(data)
    whole_record = join("key", count_parts(data), {"key": data})
    record, runs = read_record(RECORDED_JOB, whole_record, 100.0, 100.0)
    harness = ShardHarness(facts("e1"), facts("e2"))
    harness.shard.restore(record, runs, lambda _: InheritedLeaseBound(105.0, 100.0))
    _use(harness)
    for executor in harness.shard.ledger.executors.values():
        orjson.dumps(executor.free)
        sorted(executor.runs)


STORED_BOUNDS = LeaseBounds(
    3,
    {"e1": ExecutorBound(1.0, 2.0, "m", 5)},
    {"e2": ExecutorBound(1.0, 2.0, "m", 5)},
    {"e1/5": 7.0},
)


def _use_bounds(data: bytes) -> None:
    bounds = LeaseBounds.from_bytes(data)
    bounds.adopted_by(bounds.token + 1).to_bytes()
    manager = LeaseManager("key", 4, bounds, 9.0, FixedClocks({"e1/5": 8.0}))
    manager.begin(100.0)
    manager.inherited_bound("e1", 100.0)
    put = manager.draft([], 100.0, final=True)
    assert put is not None
    LeaseBounds.from_bytes(put.value)


def _use_queue(data: bytes) -> None:
    queue = read_queue(data)
    harness = ShardHarness(facts("e1"), queues={})
    harness.admit(job(step(2)))
    harness.shard.restore_queue_rules({QUEUE: queue})
    _use(harness)


def _use_term(data: bytes) -> None:
    term = TermDocument.from_bytes(data)
    TermDocument(term.token + 1, "entry", term.sequence + 1).to_bytes()


def _use_contender(data: bytes) -> None:
    contender = Contender.from_bytes(data)
    assert contender.weakness - 0.4 < 1e300
    contender.to_bytes()


def _use_wave(data: bytes) -> None:
    orjson.dumps(dataclasses.asdict(read_wave(data)))


def _use_wave_age(data: bytes) -> None:
    age = WaveAge.from_document(orjson.loads(data))
    age.estimate_first_seen(FixedClocks({"e1/5": 8.0}), 100.0)
    orjson.dumps(age.updated(0.0, FixedClocks({}), 100.0).to_document())


def _use_pending(data: bytes) -> None:
    assert sum(read_pending(data).values()) >= 0


def _use_origin(data: bytes) -> None:
    access = Access(policy().queues[QUEUE], "north", "0123")
    may_access(access, read_origin(data), policy())


def _use_key_id(data: bytes) -> None:
    assert isinstance(read_key_id(data), str)


DOCUMENTS: dict[str, tuple[bytes, Callable[[bytes], None]]] = {
    "job": (write_job(STORED_JOB), _use_job),
    "record": (STORED_RECORD, _use_record),
    "lease bounds": (STORED_BOUNDS.to_bytes(), _use_bounds),
    "rules of a queue": (write_job_rules(policy().queues[QUEUE], ""), _use_queue),
    "origin of a job": (write_job(STORED_JOB), _use_origin),
    "key of a job": (write_job_rules(policy().queues[QUEUE], "0123"), _use_key_id),
    "term": (TermDocument(3, "entry", 4).to_bytes(), _use_term),
    "contender": (Contender("entry", 0.5).to_bytes(), _use_contender),
    "wave": (b'{"wave":1,"machines":["a","b"],"durationS":10,"maximum":1}', _use_wave),
    "age of a wave": (orjson.dumps({"age": 4.0, "clocks": {"e1/5": 7.0}}), _use_wave_age),
    "pending jobs": (b'{"q":3}', _use_pending),
}


# Guards against a value that is read as if it was sound and fails in a later use, which ends the
# owner of all jobs.
@pytest.mark.parametrize("kind", DOCUMENTS)
def test_changed_document_is_rejected_or_can_be_used(kind: str) -> None:
    document, use = DOCUMENTS[kind]

    @given(changed(orjson.loads(document)))
    def check(data: bytes) -> None:
        try:
            use(data)
        except ValueError as error:
            assert _is_from_a_reader(error), data

    use(document)
    check()


def _is_from_a_reader(error: ValueError) -> bool:
    """Return whether an error was raised as a document was read, not in a later use of it."""
    trace = error.__traceback__
    names = []
    while trace is not None:
        names.append(trace.tb_frame.f_code.co_name)
        trace = trace.tb_next
    return any(name.startswith(("read_", "from_", "count_parts", "join")) for name in names)


# Guards against a job that is taken in under the id of another one.
def test_document_under_the_key_of_another_job_is_rejected() -> None:
    with pytest.raises(ValueError, match="that of job"):
        read_job(write_job(STORED_JOB), "f" * 16)
