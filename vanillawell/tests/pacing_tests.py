"""Test the pace of background tasks beside tasks with a target for their tail latency."""

from __future__ import annotations

from vanillawell.protocol.work_documents import read_record, write_record
from vanillawell.state.executors import Executor
from vanillawell.state.pacing import INHERITED_PACE, MIN_CHANGE_INTERVAL, Pacer
from vanillawell.state.progress import Run
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job, step

TAIL_TARGET = 0.1
"""Target of the serving task, in seconds."""


class PacedExecutor:
    """An executor with one background task, whose pace orders are all carried out."""

    def __init__(self, serves: bool = True) -> None:
        harness = ShardHarness(facts("i-1"))
        harness.admit(job(step(fills=True)))
        (self.background,) = harness.place()
        self.serving: Run | None = None
        if serves:
            harness.admit(job(step(long_running=True, tail_target=TAIL_TARGET)))
            (self.serving,) = harness.place()
            self.serving.is_available = True
        self.executor: Executor = harness.shard.ledger.executors["i-1"]
        self.harness = harness

    def set_tail(self, ratio: float) -> None:
        """Let the serving task report a tail latency, as a part of its target."""
        assert self.serving is not None
        self.serving.tail = ratio * TAIL_TARGET

    def inherit(self) -> None:
        """Let another owner take the shard over, which reads the run from its job's record."""
        record = self.background.task.step.record
        _, (inherited,) = read_record(record.job, write_record(record), 0.0, 0.0)
        self.background.pace = inherited.pace

    def pace(self, pacer: Pacer) -> list[int]:
        """Carry out the orders of one report and return their percentages."""
        self.harness.now += MIN_CHANGE_INTERVAL
        orders = list(pacer.decide(self.executor, self.harness.now))
        for run, percent in orders:
            run.pace = percent
        return [percent for _, percent in orders]


def test_task_paused_by_a_previous_owner_is_resumed() -> None:
    """An owner pauses a background task and is lost. If the next one took its pace for full, it
    would send no order and the task would never go on."""
    built = PacedExecutor()
    former = Pacer()
    built.set_tail(2.0)
    assert [built.pace(former) for _ in range(3)] == [[40], [16], [0]]
    built.inherit()
    built.set_tail(0.1)
    pacer = Pacer()
    assert [built.pace(pacer) for _ in range(6)] == [[20], [40], [60], [80], [100], []]


def test_inherited_task_alone_on_its_executor_is_set_to_full_pace_once() -> None:
    """No task with a target is beside it, so that nothing else would ever change its pace."""
    built = PacedExecutor(serves=False)
    built.inherit()
    pacer = Pacer()
    assert [built.pace(pacer) for _ in range(2)] == [[100], []]


def test_task_is_resumed_once_no_task_with_a_target_is_left_beside_it() -> None:
    """The serving task that it was paused for ends or moves. No tail latency is reported any more,
    so that the task would stay paused although it disturbs nobody."""
    built = PacedExecutor()
    pacer = Pacer()
    built.set_tail(2.0)
    assert [built.pace(pacer) for _ in range(3)] == [[40], [16], [0]]
    assert built.serving is not None
    built.harness.end(built.serving)
    assert [built.pace(pacer) for _ in range(2)] == [[100], []]


def test_unknown_pace_is_set_again_until_the_order_is_carried_out() -> None:
    """The order is lost. The pace must not rise meanwhile, since the tail latency says nothing of a
    pace that is unknown."""
    built = PacedExecutor()
    built.inherit()
    pacer = Pacer()
    for _ in range(3):
        built.harness.now += MIN_CHANGE_INTERVAL
        orders = list(pacer.decide(built.executor, built.harness.now))
        assert [percent for _, percent in orders] == [INHERITED_PACE]


def test_task_of_this_owner_keeps_its_full_pace_without_an_order() -> None:
    """Each order to an executor is a call; a task that begins here runs at full pace already."""
    built = PacedExecutor()
    built.set_tail(0.1)
    assert built.pace(Pacer()) == []
