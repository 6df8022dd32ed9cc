"""Test that organisations get their shares while one of them sends many times its usual.

The pattern: a pool is full for seconds, and one organisation of several hands in five times as much
as all others together. What it sends beyond its share waits; the others are served as ever.
"""

from __future__ import annotations

from collections import Counter

from vanillawell.state.work import Resources
from vanillawell.state.work_policy import OrganisationLimits
from vanillawell.tests.scheduling_builders import Bench, facts, job, step

CALM = ("east", "south", "west")
CORES = 8


def _bench(**weights: float) -> Bench:
    limits = {
        name: OrganisationLimits(name, weights.get(name, 1), Resources())
        for name in ("north", *CALM)
    }
    return Bench(facts("i-0", CORES * 1_000), organisations=limits)


def _hand_in(bench: Bench, organisation: str, jobs: int) -> None:
    for _ in range(jobs):
        bench.admit(job(step(1, seconds=1.0), organisation=organisation))


def _started(bench: Bench) -> Counter[str]:
    return Counter(run.task.step.record.job.organisation for run in bench.place())


def test_an_organisation_that_floods_a_full_pool_takes_no_room_of_others() -> None:
    """The flood came first, so by deadlines it would take the whole pool."""
    bench = _bench()
    _hand_in(bench, "north", 60)
    bench.now += 0.01
    for name in CALM:
        _hand_in(bench, name, 2)
    assert _started(bench) == {"north": 2, "east": 2, "south": 2, "west": 2}


def test_room_that_others_leave_goes_to_the_flood() -> None:
    bench = _bench()
    _hand_in(bench, "north", 60)
    _hand_in(bench, "east", 1)
    assert _started(bench) == {"north": CORES - 1, "east": 1}


def test_shares_follow_weights() -> None:
    bench = _bench(north=3)
    _hand_in(bench, "east", 60)
    _hand_in(bench, "north", 60)
    assert _started(bench) == {"north": 6, "east": 2}


def test_a_job_that_has_begun_goes_on_before_new_ones_of_others() -> None:
    """A job of the flood has done its first step; given up now, that work would be lost."""
    bench = _bench()
    chain = job(step(CORES), step(CORES, after=(0,)), organisation="north")
    bench.admit(chain)
    first = bench.place()
    _hand_in(bench, "east", 20)
    for run in first:
        bench.end(run)
    assert _started(bench) == {"north": CORES}
