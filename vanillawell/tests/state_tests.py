"""Test the decision logic of requests on plain data."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from vanillawell.protocol.verdict import Verdict
from vanillawell.state.admission import QueueState, admit, worth_starting
from vanillawell.state.burn import BurnCounters, burn_rate
from vanillawell.state.charges import ChargeCounter
from vanillawell.state.health import MINIMUM_SAMPLE, PoolHealth
from vanillawell.state.limits import Demand, Ledger, LimitChange, plan_ledger, usable_units
from vanillawell.state.queueing import FairQueue, SlotUse, WaitingRequest
from vanillawell.state.response_times import MIN_OVERDUE_TIME, ServiceTime
from vanillawell.state.retries import FailedAttempt, Failure, RetryBudget, RetryDecision, decide
from vanillawell.state.routing import connection_bound, executor_subset
from vanillawell.state.slot_allocation import (
    PoolDemand,
    executor_quotas,
    fair_slots,
    round_parts,
    source_targets,
)
from vanillawell.tests.builders import organisation_limit

ORGANISATION_NAMES = st.sampled_from(["a", "b", "c", "d"])

DEMANDS = st.dictionaries(ORGANISATION_NAMES, st.integers(0, 60), min_size=1)

SHARES = {"a": 4.0, "b": 2.0, "c": 1.0, "d": 0.5}


@given(demand=DEMANDS, slots=st.integers(0, 48))
def test_fair_slots_are_work_conserving_and_do_not_exceed_demand(
    demand: dict[str, int], slots: int
) -> None:
    parts = fair_slots(slots, demand, SHARES)
    assert abs(sum(parts.values()) - min(slots, sum(demand.values()))) < 1e-6
    assert all(parts[organisation] <= demand[organisation] + 1e-6 for organisation in demand)


def test_fair_slots_follow_shares_in_an_overloaded_pool() -> None:
    parts = fair_slots(48, dict.fromkeys(SHARES, 100), SHARES)
    assert [round(parts[organisation], 3) for organisation in SHARES] == [25.6, 12.8, 6.4, 3.2]


@given(rows=st.dictionaries(st.sampled_from(["e1", "e2", "e3", "e4"]), DEMANDS, min_size=1))
@settings(deadline=None)
def test_executor_quotas_of_all_sources_never_overlap(rows: dict[str, dict[str, int]]) -> None:
    names = tuple(f"x{number}" for number in range(6))
    targets = source_targets(48, PoolDemand(rows), SHARES)
    parts = round_parts({name: sum(row.values()) for name, row in targets.items()}, 48)
    quotas = [executor_quotas(parts, names, 8, source) for source in parts]
    for name in names:
        assert sum(quota[name] for quota in quotas) <= 8
    wanted = sum(sum(row.values()) for row in rows.values())
    assert sum(sum(quota.values()) for quota in quotas) == min(48, wanted)


def test_a_lowered_limit_scales_every_holder_at_once() -> None:
    ledger = Ledger(limit=20, version=1, holders={"a": 12, "b": 8})
    changes = (LimitChange(1, 20), LimitChange(2, 10))
    assert [usable_units(ledger, name, changes) for name in "ab"] == [6, 4]


def test_an_old_ledger_copy_never_exceeds_a_limit_that_was_raised_and_lowered() -> None:
    """A limit changed from 20 to 40 and back to 20 while this entry's copy is still the first one.

    Other holders may have taken 30 units meanwhile; using all ten held here would exceed the limit.
    """
    old_copy = Ledger(limit=20, version=1, holders={"a": 10})
    changes = (LimitChange(1, 20), LimitChange(2, 40), LimitChange(3, 20))
    new_copy = Ledger(limit=40, version=2, holders={"a": 10, "b": 30})
    assert usable_units(old_copy, "a", changes) + usable_units(new_copy, "b", changes) <= 20


def test_an_older_configuration_never_raises_a_ledger() -> None:
    ledger = Ledger(limit=5, version=7, holders={"a": 5})
    plan = plan_ledger(ledger, "b", organisation_limit(50, version=3), Demand(9, 0, 9), set())
    assert plan is None


def test_units_of_a_terminated_holder_are_reallocated() -> None:
    ledger = Ledger(limit=10, version=1, holders={"old/1": 10})
    plan = plan_ledger(ledger, "new/2", organisation_limit(10), Demand(4, 0, 4), {"old/1"})
    assert plan is not None
    assert plan.holders == {"new/2": 4}


def test_rounding_leaves_no_entry_without_units() -> None:
    """Six entries request two units each of a limit of eight, and four of them hold two each.

    Each entry's part is at least one unit. Rounded up, the four entries would keep all units and
    requests at the other two would wait until their deadlines.
    """
    ledger = Ledger(limit=8, version=1, holders=dict.fromkeys("abcd", 2))
    organisation = organisation_limit(8, entries=6)
    plan = plan_ledger(ledger, "a", organisation, Demand(2, 1, 2, needed_elsewhere=10), set())
    assert plan is not None
    assert plan.holders["a"] == 1


def test_an_idle_entry_holds_an_even_share_until_others_lack_units() -> None:
    """Free units in the ledger cannot be used by any entry while the store is down."""
    ledger = Ledger(limit=12, version=1, holders={"b": 4, "c": 4})
    organisation = organisation_limit(12, entries=3)
    idle = plan_ledger(ledger, "a", organisation, Demand(0, 0, 0), set())
    assert idle is not None
    assert idle.holders["a"] == 4
    contended = plan_ledger(idle, "a", organisation, Demand(0, 0, 0, needed_elsewhere=11), set())
    assert contended is not None
    assert contended.holders["a"] == 1


def test_urgent_requests_precede_deferrable_ones() -> None:
    queue = FairQueue()
    queue.add(WaitingRequest("a", urgent=False, arrived=0.0, deadline=9.0))
    urgent = WaitingRequest("b", urgent=True, arrived=1.0, deadline=9.0)
    queue.add(urgent)
    assert (
        queue.pick(lambda _: True, lambda item: {"a": 0.0, "b": 50.0}[item.organisation]) is urgent
    )


def test_the_organisation_with_the_least_use_of_its_share_is_next() -> None:
    queue = FairQueue()
    for organisation in ("a", "b"):
        queue.add(WaitingRequest(organisation, urgent=True, arrived=0.0, deadline=9.0))
    picked = queue.pick(lambda _: True, lambda item: {"a": 3.0, "b": 1.0}[item.organisation])
    assert picked is not None
    assert picked.organisation == "b"


def test_slot_use_counts_occupied_time_with_decay() -> None:
    use = SlotUse(0.0)
    use.change(2, 0.0)
    use.change(-2, 1.0)
    assert 1.8 < use.used(1.0) < 2.0
    assert use.used(60.0) < 0.01


def test_a_request_that_cannot_finish_is_refused_with_a_retry_time() -> None:
    state = QueueState(length=10, bound=100, service_time=0.5, slots=1.0)
    verdict = admit(state, 2.0, random.Random(1))
    assert not verdict.admitted
    assert verdict.retry_after is not None
    assert verdict.retry_after >= 3.5


def test_running_requests_count_in_the_estimated_wait() -> None:
    state = QueueState(length=2, bound=100, service_time=1.0, slots=1.0)
    assert not admit(state, 3.5, random.Random(1)).admitted
    assert admit(state, 4.0, random.Random(1)).admitted


def test_a_request_starts_late_only_if_no_other_of_its_organisation_waits() -> None:
    assert not worth_starting(0.5, typical_minimum=1.0, others_wait=True)
    assert worth_starting(0.5, typical_minimum=1.0, others_wait=False)
    assert worth_starting(0.5, typical_minimum=0.0, others_wait=True)


def test_retries_never_exceed_their_budget() -> None:
    budget = RetryBudget(0.1)
    failed = FailedAttempt(Failure.NOT_SENT, False, 1, 1.0)
    for _ in range(100):
        budget.record_first_attempt()
    allowed = sum(decide(failed, 3, budget) is RetryDecision.RETRY for _ in range(100))
    assert allowed <= 20


@given(
    failure=st.sampled_from(Failure),
    tried=st.integers(1, 4),
    time_left=st.floats(-1, 10),
)
def test_a_non_idempotent_request_that_may_have_run_is_never_retried(
    failure: Failure, tried: int, time_left: float
) -> None:
    attempt = FailedAttempt(failure, False, tried, time_left)
    decision = decide(attempt, 3, RetryBudget(1.0))
    if attempt.verdict is not Verdict.NOT_RUN:
        assert decision is RetryDecision.GIVE_UP


def test_a_failing_executor_is_ejected_and_readmitted_by_a_probe() -> None:
    health = PoolHealth(0.5, 0.5)
    for _ in range(MINIMUM_SAMPLE):
        health.record_success("good")
        health.record_failure("bad", 0.0, 4, sent=True)
    assert not health.of("bad").available(1.0)
    health.record_start("bad", 10.0)
    assert not health.of("bad").available(10.0), "one probe at a time"
    health.record_success("bad")
    assert health.of("bad").available(10.1)


def test_a_request_that_fails_everywhere_ejects_no_executor() -> None:
    """Requests that can never succeed fail on every executor on which they are tried."""
    health = PoolHealth(0.5, 1.0)
    for number in range(60):
        health.record_failure(f"x{number % 6}", 0.0, 6, sent=True)
    assert all(health.of(f"x{number}").available(0.0) for number in range(6))


def test_connections_of_all_entries_stay_within_an_executors_limit() -> None:
    assert all(connection_bound(64, entries) * entries <= 64 for entries in range(1, 65))
    entries = tuple(f"e{number}" for number in range(100))
    users = sum("x1" in executor_subset(("x1",), entries, entry, 64) for entry in entries)
    assert users == 64


def test_slow_services_are_not_taken_for_unresponsive() -> None:
    times = ServiceTime()
    for number in range(50):
        times.add(1.0 if number % 2 else 3.0)
    assert times.overdue_after() > 4.0
    assert ServiceTime().overdue_after() == MIN_OVERDUE_TIME


def test_burn_counts_exclude_errors_of_the_caller() -> None:
    counters = BurnCounters()
    for status in (200, 200, 200, 503, 401, 422):
        counters.record("check", "guild", status, True, 0.0)
    counters.record("check", "guild", 200, False, 400.0)
    counts = counters.counts(400.0)["check", "guild"]
    assert (counts.good_long, counts.bad_long) == (3, 2)
    assert (counts.good_short, counts.bad_short) == (0, 1)
    assert burn_rate(999, 1, 0.999) == pytest.approx(1.0)


def test_the_charge_of_an_abandoned_request_is_released_when_due() -> None:
    counters = ChargeCounter()
    counters.charge("a")
    counters.release_later("a", 5.0)
    assert counters.release_due(4.9) == set()
    assert counters.charged("a") == 1
    assert counters.release_due(5.0) == {"a"}
    assert counters.charged("a") == 0
