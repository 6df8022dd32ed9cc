"""Test that an organisation that exceeds its agreed rate takes nothing from the others."""

from __future__ import annotations

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from vanillawell.state.contention.agreed_rates import BURST_SECONDS, AgreedRates
from vanillawell.state.work import Resources
from vanillawell.state.work_policy import OrganisationLimits
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job, job_ids, step

RATE = 10.0


def _limits(**rates: float | None) -> dict[str, OrganisationLimits]:
    return {
        name: OrganisationLimits(name, rate or 1.0, Resources(), rate)
        for name, rate in rates.items()
    }


@given(st.lists(st.floats(0, 0.3), max_size=200))
def test_no_more_than_rate_and_burst_count_as_agreed_in_any_span(gaps: list[float]) -> None:
    rates, now, agreed = AgreedRates(), 100.0, []
    for gap in gaps:
        now += gap
        if not rates.is_surplus("north", RATE, now):
            agreed.append(now)
    for first, began in enumerate(agreed):
        for last, ended in enumerate(agreed[first:], start=first):
            assert last - first + 1 <= RATE * (ended - began + BURST_SECONDS) + 1


@given(st.lists(st.floats(0.1, 3), max_size=50))
def test_an_organisation_that_keeps_to_its_rate_sends_no_surplus(gaps: list[float]) -> None:
    rates, now = AgreedRates(), 100.0
    for gap in gaps:
        now += gap
        assert not rates.is_surplus("north", RATE, now)


def test_without_an_agreed_rate_nothing_is_surplus() -> None:
    rates = AgreedRates()
    assert not any(rates.is_surplus("north", None, 100.0) for _ in range(1_000))


def test_an_entry_with_a_late_clock_credits_nothing() -> None:
    """Entries' clocks differ by seconds. If times that alternate between two of them were credited
    each time, an organisation would have no limit at all."""
    rates = AgreedRates()
    times = [100.0, 97.0] * 100
    assert sum(not rates.is_surplus("north", RATE, at) for at in times) == RATE * BURST_SECONDS


def test_jobs_within_the_agreed_rate_start_before_surplus() -> None:
    """One organisation sends seven times its rate, before all others. Without a rank of their own
    its jobs would fill the pool, and whoever keeps to what was agreed would wait for them."""
    names = [f"o{number}" for number in range(6)]
    harness = ShardHarness(
        facts("e1", cpu=14_000), organisations=_limits(large=2.0, **dict.fromkeys(names, 2.0))
    )
    pressing = [job(organisation="large") for _ in range(14)]
    others = [job(organisation=name) for name in names for _ in range(2)]
    harness.admit(*pressing, *others)
    started = Counter(
        harness.shard.job_table.jobs[job_id].job.organisation for job_id in job_ids(harness.place())
    )
    assert started == dict.fromkeys(["large", *names], 2)


def test_surplus_gets_what_is_left_and_is_not_taken_away() -> None:
    harness = ShardHarness(facts("e1", cpu=4_000), organisations=_limits(large=1.0, small=1.0))
    harness.admit(*(job(organisation="large") for _ in range(4)))
    assert len(harness.place()) == 4
    harness.admit(job(organisation="small"))
    assert harness.place() == []
    assert not any(run.stop_requested for run in harness.shard.ledger.runs())


def test_long_running_tasks_are_never_put_behind() -> None:
    """They are placed once and stay; behind surplus they would be away until the peak is over."""
    harness = ShardHarness(facts("e1", cpu=2_000), organisations=_limits(large=1.0))
    lasting = job(step(1, long_running=True), organisation="large")
    harness.admit(job(organisation="large"), job(organisation="large"), lasting)
    assert lasting.job_id in job_ids(harness.place())


def test_surplus_calls_no_machines_by_forecast() -> None:
    harness = ShardHarness(facts("e1"), organisations=_limits(large=1.0))
    harness.admit(*(job(organisation="large") for _ in range(50)))
    alone = harness.shard.arrivals.required_cores("pool", harness.now)
    assert alone <= 3.0


def test_a_next_owner_judges_the_jobs_alike() -> None:
    """The owner is lost in the middle of a press. A successor that began with full allowances would
    let the organisation that presses take the place of others once more."""
    times = [100.0 + 0.02 * number for number in range(100)]
    first, second = AgreedRates(), AgreedRates()
    judged = [first.is_surplus("north", RATE, at) for at in times]
    assert [second.is_surplus("north", RATE, at) for at in times] == judged
    assert first == second
