"""Test when an executor counts as replaced by a later one on its machine."""

from __future__ import annotations

from base64 import b64encode

import anyio

from vanillawell.state.end_proofs import EndProof
from vanillawell.state.ledger import InheritedLeaseBound
from vanillawell.state.progress import RunPhase
from vanillawell.tests.registration_documents import registration
from vanillawell.tests.scheduler_cluster import Cluster, until, with_cluster
from vanillawell.tests.scheduler_documents import POOL, PREFIX
from vanillawell.tests.scheduler_documents import job as body_of_job
from vanillawell.tests.scheduler_documents import step as step_in_body
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job, step

LATER = 2
"""Start of an executor that began after those of the builders."""


def harness_with_run() -> ShardHarness:
    """Return a shard with an executor, i-0, that runs a task and answers."""
    harness = ShardHarness(facts("i-0"))
    harness.admit(job(step(long_running=True)))
    assert len(harness.place()) == 1
    return harness


def has_run(harness: ShardHarness, name: str = "i-0") -> bool:
    """Return whether a run is charged to an executor."""
    harness.shard.close_replaced(harness.now, harness.now)
    executor = harness.shard.ledger.executors.get(name)
    return executor is not None and bool(executor.runs)


def silence(harness: ShardHarness, name: str = "i-0") -> None:
    """Let an executor leave a call unanswered."""
    harness.shard.ledger.executors[name].unresponsive_since = harness.now


def test_registration_of_a_later_executor_ends_no_runs_of_one_that_answers() -> None:
    """The entry names the machine by mistake: both executors live at the same time."""
    harness = harness_with_run()
    harness.register(facts("i-1", incarnation=LATER, machine="m-i-0"))
    assert has_run(harness)


def test_registration_of_a_later_executor_that_does_not_answer_ends_no_runs() -> None:
    """The clock of the machine was set back between two lives: the entry of the former one looks
    like the later one, and the present one is behind a broken path."""
    harness = harness_with_run()
    harness.shard.register(facts("i-1", incarnation=LATER, machine="m-i-0"), harness.now)
    silence(harness)
    assert has_run(harness)
    silence(harness, "i-1")
    assert has_run(harness)


def test_silent_executor_is_replaced_as_soon_as_a_later_one_answers() -> None:
    harness = harness_with_run()
    silence(harness)
    harness.shard.register(facts("i-1", incarnation=LATER, machine="m-i-0"), harness.now)
    assert has_run(harness)
    harness.shard.ledger.executors["i-1"].record_answer(harness.now)
    assert not has_run(harness)
    assert harness.shard.closed_runs[EndProof.NEXT_ON_MACHINE] == 1


def test_machine_that_changes_its_service_replaces_its_executor() -> None:
    harness = harness_with_run()
    silence(harness)
    harness.register(facts("i-1", incarnation=LATER, machine="m-i-0", service="other"))
    assert not has_run(harness)


def test_earlier_executor_whose_entry_is_read_late_replaces_none() -> None:
    harness = harness_with_run()
    harness.register(facts("i-1", incarnation=LATER, machine="m-i-0"))
    harness.admit(job(step(8, long_running=True)))
    assert {run.executor for run in harness.place()} == {"i-1"}
    harness.shard.ledger.unregister("i-0")
    harness.register(facts("i-0", machine="m-i-0"))
    silence(harness, "i-1")
    assert has_run(harness, "i-1")


def test_entry_that_is_deleted_after_a_newer_one_came_ends_no_runs() -> None:
    harness = harness_with_run()
    harness.register(facts("i-1", incarnation=LATER, machine="m-i-0"))
    harness.shard.ledger.unregister("i-0")
    assert has_run(harness)
    silence(harness)
    assert not has_run(harness)


def test_new_owner_asks_a_registered_executor_before_it_counts_as_replaced() -> None:
    """Right after a change of owner no executor has answered; the later one is only the first."""
    harness = harness_with_run()
    harness.shard.ledger.executors["i-0"].contacted = False
    harness.register(facts("i-1", incarnation=LATER, machine="m-i-0"))
    assert has_run(harness)
    silence(harness)
    assert not has_run(harness)


def test_new_owner_cannot_ask_an_executor_without_a_registration() -> None:
    """Its entry is gone and its address unknown, so that the later executor's answer is enough."""
    harness = harness_with_run()
    (run,) = harness.shard.ledger.runs()
    after = ShardHarness()
    bound = InheritedLeaseBound(after.now + 9.0, after.now, "m-i-0", 1)
    run.phase = RunPhase.INHERITED
    after.shard.ledger.restore(run.task, run, bound)
    after.shard.register(facts("i-1", incarnation=LATER, machine="m-i-0"), after.now)
    assert has_run(after)
    after.shard.ledger.executors["i-1"].record_answer(after.now)
    assert not has_run(after)


def test_executor_that_seems_replaced_gets_no_tasks_until_it_answers() -> None:
    """Its entry remains for seconds after its end. Tasks that are placed there wait in vain."""
    harness = ShardHarness(facts("i-0"))
    executor = harness.shard.ledger.executors["i-0"]
    harness.now += 1.0
    harness.shard.register(facts("i-1", incarnation=LATER, machine="m-i-0"), harness.now)
    harness.admit(job())
    executor.record_answer(harness.now - 0.1)
    assert harness.place() == []
    executor.record_answer(harness.now)
    assert [run.executor for run in harness.place()] == ["i-0"]


def test_answer_does_not_release_an_executor_that_an_order_may_still_end() -> None:
    """A former owner's order for the machine may take effect after the answer."""
    harness = ShardHarness(facts("i-0"))
    harness.shard.ledger.withhold({"m-i-0": ""})
    harness.shard.register(facts("i-1", incarnation=LATER, machine="m-i-0"), harness.now)
    executor = harness.shard.ledger.executors["i-0"]
    executor.record_answer(harness.now + 1.0)
    assert not executor.accepts_tasks(harness.now + 1.0)


@with_cluster(executors=2)
async def test_entry_that_names_a_machine_in_use_starts_no_task_twice(built: Cluster) -> None:
    """A complete entry of a known service names the machine of an executor at work. Nobody listens
    at its address, and the executor goes on and gets further tasks."""
    owner, first, second = built.members[0], built.new_id(), built.new_id()
    body = body_of_job(step_in_body(16), spec={"seconds": 2.5})
    assert (await owner.call("POST", PREFIX + first, body)).status == 200
    await until(lambda: sum(built.audit.started.values()) == 16)
    host = built.hosts["i-0"]
    later = registration(service=POOL, machine=host.machine, born=host.executor.born + 60_000)
    built.store.put("servers/i-9", b64encode(later).decode())
    await anyio.sleep(1.5)
    assert (await owner.call("POST", PREFIX + second, body)).status == 200
    await until(lambda: sum(built.audit.started.values()) == 32, 8)
    assert set(built.audit.started.values()) == {1}
    assert host.executor.start_count == 16
