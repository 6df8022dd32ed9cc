"""Test that organisations get their shares while one of them sends many times its usual.

The pattern: a pool is full for seconds, and one organisation of several hands in five times as much
as all others together. What it sends beyond its share waits; the others are served as ever.
"""

from __future__ import annotations

from collections import Counter

from vanillawell.state.work import Resources
from vanillawell.state.work_policy import OrganisationLimits
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job, step

CALM = ("east", "south", "west")
CORES = 8


def _bench(**weights: float) -> ShardHarness:
    limits = {
        name: OrganisationLimits(name, weights.get(name, 1), Resources())
        for name in ("north", *CALM)
    }
    return ShardHarness(facts("i-0", CORES * 1_000), organisations=limits)


def _hand_in(harness: ShardHarness, organisation: str, jobs: int) -> None:
    for _ in range(jobs):
        harness.admit(job(step(1, seconds=1.0), organisation=organisation))


def _started(harness: ShardHarness) -> Counter[str]:
    return Counter(run.task.step.record.job.organisation for run in harness.place())


def test_an_organisation_that_floods_a_full_pool_takes_no_room_of_others() -> None:
    """The flood came first, so by deadlines it would take the whole pool."""
    harness = _bench()
    _hand_in(harness, "north", 60)
    harness.now += 0.01
    for name in CALM:
        _hand_in(harness, name, 2)
    assert _started(harness) == {"north": 2, "east": 2, "south": 2, "west": 2}


def test_room_that_others_leave_goes_to_the_flood() -> None:
    harness = _bench()
    _hand_in(harness, "north", 60)
    _hand_in(harness, "east", 1)
    assert _started(harness) == {"north": CORES - 1, "east": 1}


def test_shares_follow_weights() -> None:
    harness = _bench(north=3)
    _hand_in(harness, "east", 60)
    _hand_in(harness, "north", 60)
    assert _started(harness) == {"north": 6, "east": 2}


def test_a_job_that_has_begun_goes_on_before_new_ones_of_others() -> None:
    """A job of the flood has done its first step; given up now, that work would be lost."""
    harness = _bench()
    chain = job(step(CORES), step(CORES, after=(0,)), organisation="north")
    harness.admit(chain)
    first = harness.place()
    _hand_in(harness, "east", 20)
    for run in first:
        harness.end(run)
    assert _started(harness) == {"north": CORES}
