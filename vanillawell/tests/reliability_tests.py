"""Test how executors are judged by what they do, and how often the judgement is wrong."""

from __future__ import annotations

import itertools
import random

import pytest

from vanillawell.state.executors import QUARANTINE_TIME
from vanillawell.state.reliability.failure_evidence import FailureEvidence, PoolFailureRate
from vanillawell.state.reliability.restart_penalty import MAX_PENALTY, RestartHistory
from vanillawell.state.work import Ending
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job, step

POOLS = 1_000
EXECUTORS = 10
RUNS = 40
"""Runs of each executor."""


def judge_pool(rates: list[float], seed: int) -> list[int | None]:
    """Return after how many of its runs each executor is judged faulty; None if it is not."""
    source = random.Random(seed)
    pool = PoolFailureRate()
    evidence = [FailureEvidence() for _ in rates]
    judged: list[int | None] = [None] * len(rates)
    for number, executor in itertools.product(range(RUNS), range(len(rates))):
        if judged[executor] is not None:
            continue
        failed = source.random() < rates[executor]
        pool.record(failed)
        if evidence[executor].record(failed, f"j{source.randrange(1_000)}", pool.rate):
            judged[executor] = number + 1
    return judged


def test_sound_executors_are_rarely_set_aside() -> None:
    """Tasks that fail by themselves must not cost a pool its sound executors."""
    judged = [item for seed in range(POOLS) for item in judge_pool([0.01] * EXECUTORS, seed)]
    assert sum(item is not None for item in judged) <= 0.01 * len(judged)


def test_an_executor_that_fails_four_runs_in_ten_is_found() -> None:
    """It completes a run now and then, so failures in a row never add up."""
    rates = [0.45, *[0.01] * (EXECUTORS - 1)]
    judged = [judge_pool(rates, seed) for seed in range(POOLS)]
    found = [item[0] for item in judged if item[0] is not None]
    assert len(found) >= 0.99 * POOLS
    assert sum(found) / len(found) <= 10
    wrong = sum(item is not None for rows in judged for item in rows[1:])
    assert wrong <= 0.02 * POOLS * (EXECUTORS - 1)


def test_where_all_fail_alike_nobody_is_set_aside_for_it() -> None:
    """Jobs that can never be done fail on each executor. Judged by a fixed rate, most of the pool
    would be set aside, and all other jobs would wait."""
    judged = [item for seed in range(100) for item in judge_pool([0.3] * EXECUTORS, seed)]
    assert sum(item is not None for item in judged) <= 0.1 * len(judged)


@pytest.mark.parametrize("seed", range(20))
def test_failing_everything_is_found_within_three_runs(seed: int) -> None:
    judged = judge_pool([1.0, *[0.01] * (EXECUTORS - 1)], seed)[0]
    assert judged is not None
    assert judged <= 4


def test_failures_of_one_job_are_no_verdict() -> None:
    evidence = FailureEvidence()
    assert not any(evidence.record(True, "j1", 0.0) for _ in range(20))
    assert evidence.record(True, "j2", 0.0)


def test_a_faulty_executor_gets_no_tasks_and_is_tried_again() -> None:
    """An executor fails a part of its runs. Its jobs need a second run each, and are late."""
    harness = ShardHarness(facts("e1", cpu=4_000), facts("e2", cpu=4_000, rack="r2"))
    executors = harness.shard.ledger.executors
    for number in range(8):
        harness.admit(job(step(1)))
        (run,) = harness.place()
        harness.end(run, Ending.FAILED if number % 4 else Ending.DONE)
        for again in harness.place():
            harness.end(again)
        if not all(item.accepts_tasks(harness.now) for item in executors.values()):
            break
    faulty = [item for item in executors.values() if not item.accepts_tasks(harness.now)]
    assert len(faulty) == 1
    harness.now += QUARANTINE_TIME + 0.1
    assert faulty[0].accepts_tasks(harness.now)
    assert faulty[0].evidence.score > 0


def test_an_executor_that_comes_and_goes_is_left_out() -> None:
    """It restarts each second. Each time it looks idle, gets tasks and loses all of them."""
    harness = ShardHarness(facts("e1"))
    executor = harness.shard.ledger.executors["e1"]
    for incarnation in (2, 3):
        harness.now += 1.4
        harness.register(facts("e1", incarnation=incarnation))
    assert not executor.accepts_tasks(harness.now + 1.0)
    assert executor.accepts_tasks(harness.now + MAX_PENALTY)


def test_one_restart_costs_nothing_and_old_ones_are_forgotten() -> None:
    history = RestartHistory()
    assert [history.record(now) for now in (100.0, 120.0, 140.0)] == [0.0, 0.0, 0.0]
    assert [history.record(140.0 + number) for number in (1, 2, 3, 4)] == [2.0, 4.0, 8.0, 8.0]
