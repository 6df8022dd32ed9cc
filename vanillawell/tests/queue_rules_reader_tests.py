"""Test how an owner reads the rules of queues that its configuration lacks."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, cast

import anyio

from vanillawell.coordination.queue_rules_reader import QueueRulesReader
from vanillawell.exceptions import StoreUnavailableError
from vanillawell.protocol.queue_documents import write_job_rules
from vanillawell.protocol.store import KeyValue
from vanillawell.protocol.work_keys import WorkKeys
from vanillawell.state.work_policy import Queue
from vanillawell.tests.scheduling_builders import POOL, QUEUE, ShardHarness, job

if TYPE_CHECKING:
    from vanillawell.protocol.store import PolledStore

KEYS = WorkKeys()
READING_TIME = 0.6
"""Seconds in which a reader reads everything, with one wait after a failure."""

RULES = Queue(QUEUE, "h", "/q/", POOL, 0, 5, 1.6, 0.6, False)


@dataclass
class FakeStore:
    """A store with fixed values whose first reads may fail."""

    values: dict[str, bytes]
    failures: int = 0
    read: list[str] = field(default_factory=list)

    async def get(self, key: str) -> KeyValue | None:
        self.read.append(key)
        if self.failures:
            self.failures -= 1
            raise StoreUnavailableError("injected by the test")
        value = self.values.get(key)
        return None if value is None else KeyValue(key, value, 1)


def read_all(harness: ShardHarness, store: FakeStore) -> None:
    """Run a reader until it has nothing left to read."""

    async def run() -> None:
        polled = cast("PolledStore", store)
        reader = QueueRulesReader(polled, KEYS, harness.shard, lambda: None)
        with anyio.move_on_after(READING_TIME):
            await reader.run()

    anyio.run(run)


def test_one_job_is_read_for_each_queue() -> None:
    """Hundreds of jobs of a dropped queue wait. A read for each would delay the owner's writes."""
    harness = ShardHarness(queues={})
    jobs = [job(accepted_at=float(number)) for number in range(100)]
    harness.admit(*jobs)
    store = FakeStore({KEYS.job_rules(item.job_id): write_job_rules(RULES, "") for item in jobs})
    read_all(harness, store)
    assert store.read == [KEYS.job_rules(jobs[-1].job_id)]
    assert harness.shard.queues.attempts(QUEUE) == RULES.attempts


def test_rules_are_found_beside_jobs_that_brought_none() -> None:
    """During a rolling update some jobs were accepted by an earlier version, which stored no rules,
    and one document is damaged. A later job of the same queue would never begin without rules."""
    harness = ShardHarness(queues={})
    first, damaged, last = (job(accepted_at=float(number)) for number in range(3))
    harness.admit(first, damaged, last)
    values = {
        KEYS.job_rules(first.job_id): write_job_rules(RULES, ""),
        KEYS.job_rules(damaged.job_id): b"{}",
    }
    store = FakeStore(values, failures=1)
    read_all(harness, store)
    assert harness.shard.queues.get(QUEUE) == RULES
    assert store.read.count(KEYS.job_rules(last.job_id)) == 2


def test_nothing_is_read_for_queues_of_the_configuration() -> None:
    """The rules in force apply to all jobs of a queue, whatever it was when they were accepted."""
    harness = ShardHarness()
    harness.admit(job())
    store = FakeStore({})
    read_all(harness, store)
    assert store.read == []
