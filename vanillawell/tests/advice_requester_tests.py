"""Prove for which steps advice is asked for, and that lasting tasks move with it in time."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio

from vanillawell import clock
from vanillawell.coordination.advice_requester import AdviceRequester
from vanillawell.state.upkeep import SHORT_TASK_TIMEOUT
from vanillawell.state.work_policy import AdviceRule, Queue, Service
from vanillawell.tests.scheduler_cluster import HINTED_PREFIX, Cluster, until, with_cluster
from vanillawell.tests.scheduler_cluster import job as body_of_job
from vanillawell.tests.scheduler_cluster import step as step_in_body
from vanillawell.tests.scheduling_builders import POOL, QUEUE, ShardHarness, facts, job, step

if TYPE_CHECKING:
    from collections.abc import Sequence

    from vanillawell.state.work import Job, Run, TaskId

RULE = AdviceRule(0.005, 0.001, 3.0)

NOTICE = 3.0
"""Seconds for which an executor that leaves goes on."""

IN_TIME = 1.6
"""Seconds within which a task leaves; well before the last moment, in which place or not counts."""


class AskedAdvice:
    """Allow all executors, and note what was asked."""

    def __init__(self) -> None:
        self.asked: list[tuple[str, list[str]]] = []

    async def ask(self, task: TaskId, executors: Sequence[str]) -> dict[str, str]:
        self.asked.append((task.job_id, sorted(executors)))
        return dict.fromkeys(executors, "ticket")


def _bench(*names: str) -> ShardHarness:
    """Return a shard on the running clock whose queue needs advice."""
    queues = {
        QUEUE: Queue(QUEUE, "h", "/q/", POOL, 0, 3, 1.6, 0.6, False, RULE),
        "other": Queue("other", "h", "/o/", "elsewhere", 0, 3, 1.6, 0.6, False, RULE),
    }
    services = {name: Service(name, False, False) for name in (POOL, "elsewhere")}
    harness = ShardHarness(queues=queues, services=services)
    harness.now = clock.read()
    for name in names:
        harness.register(facts(name))
    return harness


def _lasting_run(harness: ShardHarness) -> tuple[Job, Run]:
    """Place a lasting task, whose tickets expire meanwhile."""
    item = job(step(long_running=True))
    harness.admit(item)
    harness.shard.tickets[item.job_id, 0, 0] = {"i-0": "ticket"}
    (run,) = harness.place()
    harness.shard.tickets.clear()
    return item, run


def _ask(harness: ShardHarness) -> list[tuple[str, list[str]]]:
    """Let the desk work for a moment; returns what it asked."""
    advice = AskedAdvice()

    async def work() -> None:
        with anyio.move_on_after(0.1):
            await AdviceRequester(harness.shard, advice, lambda: None).run()

    anyio.run(work)
    return advice.asked


def test_nothing_is_asked_for_a_task_that_stays_where_it_is() -> None:
    """Each question takes the service's time, and answers expire."""
    harness = _bench("i-0")
    _lasting_run(harness)
    assert _ask(harness) == []


def test_advice_is_asked_ahead_for_a_lasting_task_on_an_executor_that_leaves() -> None:
    """Nothing waits yet. Asked only once the task is stopped, nobody would know that it may be."""
    harness = _bench("i-0")
    item, run = _lasting_run(harness)
    harness.register(facts("i-1"))
    harness.register(facts("i-0", draining=True, remaining=4.0))
    assert not harness.shard.can_place_elsewhere(run, harness.now)
    assert _ask(harness) == [(item.job_id, ["i-1"])]
    assert harness.shard.can_place_elsewhere(run, harness.now)


def test_advice_is_asked_ahead_for_a_lasting_task_on_a_closed_machine() -> None:
    harness = _bench("i-0")
    item, _ = _lasting_run(harness)
    harness.register(facts("i-1"))
    harness.shard.ledger.cordon_machine("m-i-0")
    assert _ask(harness) == [(item.job_id, ["i-1"])]


def test_a_step_that_nobody_could_run_now_keeps_no_other_from_being_asked_for() -> None:
    """The only executor of a pool leaves. Its lasting task, which is late by nature, would come
    first in each look, and no step of another pool would get its tickets."""
    harness = _bench("i-0")
    _lasting_run(harness)
    harness.register(facts("i-0", draining=True, remaining=4.0))
    harness.register(facts("e-0", service="elsewhere"))
    harness.now += 60.0
    other = job(queue="other")
    harness.admit(other)
    assert _ask(harness) == [(other.job_id, ["e-0"])]


async def _lasting(built: Cluster, **fields: Any) -> None:
    """Start a lasting task of a queue that needs advice, and wait until its tickets are old."""
    lasting = body_of_job(step_in_body(longRunning=True, **fields), spec={"seconds": 99})
    await built.members[0].call("POST", HINTED_PREFIX + built.new_id(), lasting)
    await until(lambda: bool(built.hosts["i-0"].executor.running))
    await built.add_executor("i-1")
    await until(lambda: built.hosts["i-1"].executor.hold_calls > 0)
    await anyio.sleep(RULE.validity)


@with_cluster(executors=1)
async def test_a_lasting_task_that_needs_advice_leaves_in_time(built: Cluster) -> None:
    """Its tickets are long expired when its executor says that it leaves. Moved in the last moment
    only, it would go beyond what its step lets be away, and find no time to go elsewhere."""
    await _lasting(built, maxUnavailable=1)
    built.drain("i-0", NOTICE)
    await until(lambda: bool(built.hosts["i-1"].executor.running), IN_TIME)
    built.leave("i-0")


@with_cluster(executors=1)
async def test_a_lasting_task_stays_while_advice_names_no_other_executor(built: Cluster) -> None:
    """There is another executor with room, which may not run it. Stopped early, the task would be
    away for seconds in which it could still work."""
    built.machines.advised_executors = {"i-0"}
    await _lasting(built)
    built.drain("i-0", NOTICE)
    await anyio.sleep(IN_TIME)
    assert built.hosts["i-0"].executor.running
    built.leave("i-0")


@with_cluster(executors=1)
async def test_a_wave_does_not_wait_for_advice_that_nobody_asks_for(built: Cluster) -> None:
    """A wave closes the machine of a lasting task whose tickets are long expired. The task goes
    where it may as soon as that is known, and not when the wave's patience is over."""
    await _lasting(built, maxUnavailable=1)
    machine = built.machines.machines[built.hosts["i-0"].machine]
    wave = {"wave": 1, "machines": [machine.name], "durationS": 60, "maximum": 1}
    built.store.put_document("op/wave/1", wave)
    await until(lambda: bool(built.hosts["i-1"].executor.running), SHORT_TASK_TIMEOUT / 2)
    await until(lambda: machine.upkeeps == 1, SHORT_TASK_TIMEOUT / 2)
