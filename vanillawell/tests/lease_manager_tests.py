"""Test that leases of unresponsive executors are neither extended nor forgotten."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import orjson
import pytest

from vanillawell.coordination.lease_manager import (
    FIRST_CONTACT_TIMEOUT,
    STORED_BOUND_MARGIN,
    LeaseManager,
)
from vanillawell.protocol.lease_bounds import ExecutorBound, LeaseBounds
from vanillawell.tests.scheduling_builders import FixedClocks, ShardHarness, facts, job, step

if TYPE_CHECKING:
    from vanillawell.state.executors import Executor

MAX_INHERITED_LEASE = 9.0
LEASES_KEY = "leases"


def bounds(silent: dict[str, float], clocks: dict[str, float] | None = None) -> LeaseBounds:
    """Return lease bounds of silent executors, stored by the owner with token 1."""
    listed = {name: ExecutorBound(left, 10.0) for name, left in silent.items()}
    return LeaseBounds(1, listed, {}, clocks or {})


@dataclass
class Owner:
    """Lease manager of one owner, with clocks that the test sets."""

    inherited: LeaseBounds = field(default_factory=LeaseBounds)
    clocks: dict[str, float] = field(default_factory=dict)
    stored: LeaseBounds = field(default_factory=LeaseBounds)

    def __post_init__(self) -> None:
        clocks = FixedClocks(self.clocks)
        self.manager = LeaseManager(LEASES_KEY, 2, self.inherited, MAX_INHERITED_LEASE, clocks)
        self.manager.begin(ShardHarness().now)

    def save(
        self, executors: list[Executor], now: float, due: bool = False, final: bool = False
    ) -> bool:
        """Store the draft of the manager, if there is one; return whether there was."""
        if not due and not final and not self.manager.needs_write(executors, now):
            return False
        put = self.manager.draft(executors, now, final)
        if put is None:
            return False
        self.stored = LeaseBounds.from_bytes(put.value)
        self.manager.confirm()
        return True


def busy_executor(harness: ShardHarness, name: str) -> Executor:
    """Return an executor that runs one task."""
    executor = harness.register(facts(name))
    harness.admit(job(step(long_running=True)))
    harness.place()
    return executor


def unreached(harness: ShardHarness, owner: Owner, name: str) -> Executor:
    """Return an executor with a task of a previous term that has not reported yet."""
    executor = busy_executor(harness, name)
    executor.contacted = False
    executor.lease_expires_at = owner.manager.inherited_bound(name, harness.now).lease_expires_at
    return executor


def test_lease_of_a_listed_executor_is_not_extended_until_a_newer_document_is_stored() -> None:
    """The next owner relies on the stored bound. If the lease were extended, a task could run
    twice."""
    harness, owner = ShardHarness(), Owner()
    executor = busy_executor(harness, "i-1")
    executor.unresponsive_since, executor.lease_expires_at = harness.now, harness.now + 5
    assert owner.manager.may_extend("i-1")
    assert owner.manager.draft([executor], harness.now) is not None
    assert not owner.manager.may_extend("i-1"), "the write may have taken effect"
    owner.manager.confirm()
    executor.unresponsive_since = None
    assert not owner.manager.may_extend("i-1"), "it answers again, but the next owner cannot know"
    assert owner.save([executor], harness.now)
    assert owner.manager.may_extend("i-1")


def test_lease_of_an_executor_listed_by_the_previous_owner_is_not_extended_at_once() -> None:
    """An owner is replaced twice in quick succession. The second new owner relies on the same
    bounds, so the first may extend leases only after it has stored a document of its own."""
    owner = Owner(bounds({"i-1": 4.0}))
    assert not owner.manager.may_extend("i-1")
    assert owner.manager.may_extend("i-2")


def test_elapsed_time_shown_by_other_clocks_is_subtracted_from_inherited_bounds() -> None:
    """Owners change in quick succession. The bound keeps its position on the executors' clocks."""
    harness = ShardHarness()
    owner = Owner(bounds({"i-1": 4.0}, {"i-2@1": 50.0, "i-3@1": 70.0}))
    executor = unreached(harness, owner, "i-1")
    assert executor.lease_expires_at == pytest.approx(harness.now + 4.0 + STORED_BOUND_MARGIN)
    owner.clocks.update({"i-2@1": 53.0, "i-3@1": 72.5, "i-4@1": 999.0})
    owner.manager.subtract_elapsed_time([executor], harness.now)
    assert executor.lease_expires_at == pytest.approx(harness.now + 1.5 + STORED_BOUND_MARGIN)


@pytest.mark.parametrize("clocks", [{}, {"i-2@2": 90.0}])
def test_without_a_common_clock_no_time_is_subtracted(clocks: dict[str, float]) -> None:
    """The executors whose clocks were stored have terminated, or restarted with a new clock."""
    harness, owner = ShardHarness(), Owner(bounds({"i-1": 4.0}, {"i-2@1": 50.0}), clocks)
    executor = unreached(harness, owner, "i-1")
    owner.manager.subtract_elapsed_time([executor], harness.now + 1.0)
    assert executor.lease_expires_at == pytest.approx(harness.now + 4.0 + STORED_BOUND_MARGIN)


def test_inherited_bound_is_not_applied_to_an_executor_reached_since() -> None:
    """It was unresponsive for a previous owner only, and its leases have been extended since."""
    harness, owner = ShardHarness(), Owner(bounds({"i-1": 1.0}, {"i-2@1": 50.0}), {"i-2@1": 60.0})
    executor = busy_executor(harness, "i-1")
    executor.lease_expires_at = harness.now + 5
    owner.manager.subtract_elapsed_time([executor], harness.now)
    assert executor.lease_expires_at == harness.now + 5


def test_executor_without_a_stored_bound_may_hold_the_longest_lease() -> None:
    """The previous owner was killed, and may have extended leases immediately before."""
    now = ShardHarness().now
    assert Owner().manager.inherited_bound("i-1", now).lease_expires_at == now + MAX_INHERITED_LEASE


def test_owner_that_hands_over_stores_the_bounds_of_all_busy_executors() -> None:
    """One of them may have just become unresponsive without the owner knowing it."""
    harness, owner = ShardHarness(), Owner()
    executor = busy_executor(harness, "i-1")
    executor.lease_expires_at = harness.now + 4
    assert not owner.save([executor], harness.now)
    assert owner.save([executor], harness.now, final=True)
    assert not owner.manager.may_extend("i-1")
    assert not owner.save([executor], harness.now, due=True), "the final document stays"
    bound = Owner(owner.stored).manager.inherited_bound("i-1", harness.now)
    assert bound.lease_expires_at == pytest.approx(harness.now + 4 + STORED_BOUND_MARGIN)


def test_new_owner_renews_healthy_executors_without_a_prior_write() -> None:
    """The store is slow at a planned stop. Leases of healthy executors would expire while the new
    owner stores that it may extend them, so bounds of executors that are not silent hold for one
    owner only."""
    harness, owner = ShardHarness(), Owner()
    executor = busy_executor(harness, "i-1")
    owner.save([executor], harness.now, final=True)
    assert Owner(owner.stored).manager.may_extend("i-1")
    after = Owner(owner.stored.adopted_by(3)).manager.inherited_bound("i-1", harness.now)
    assert after.lease_expires_at == harness.now + MAX_INHERITED_LEASE


def test_final_document_lists_executors_that_left_the_last_renewal_unanswered() -> None:
    """They may have just become unresponsive, and the next owner may be killed before it detects
    this. Their bounds have to hold over any number of owners."""
    harness, owner = ShardHarness(), Owner()
    healthy, unanswered = busy_executor(harness, "i-1"), busy_executor(ShardHarness(), "i-2")
    healthy.lease_expires_at = unanswered.lease_expires_at = harness.now + 4
    put = owner.manager.draft([healthy, unanswered], harness.now, True, frozenset({"i-2"}))
    assert put is not None
    signed = LeaseBounds.from_bytes(put.value).adopted_by(3)
    successor = Owner(signed)
    assert successor.manager.may_extend("i-1")
    assert not successor.manager.may_extend("i-2")
    bound = successor.manager.inherited_bound("i-2", harness.now)
    assert bound.lease_expires_at == pytest.approx(harness.now + 4 + STORED_BOUND_MARGIN)


def test_executors_may_report_to_a_new_owner_before_they_are_listed_as_silent() -> None:
    """If they were listed at once, each healthy executor would be renewed only after two writes."""
    harness, owner = ShardHarness(), Owner()
    executor = unreached(harness, owner, "i-1")
    assert not owner.save([executor], harness.now, due=True)
    assert owner.save([executor], harness.now + FIRST_CONTACT_TIMEOUT + 0.1)
    assert not owner.manager.may_extend("i-1")


def test_listed_executor_stays_listed_until_it_reports() -> None:
    """If it were dropped at the start of each term, its bound would start again with each owner."""
    harness, owner = ShardHarness(), Owner(bounds({"i-1": 4.0}))
    executor = unreached(harness, owner, "i-1")
    assert not owner.save([executor], harness.now, due=True)
    executor.contacted = True
    assert owner.save([executor], harness.now)


def test_write_that_certainly_failed_does_not_stop_renewals() -> None:
    """The store refuses the final document of a stopping owner, so no entry can take over."""
    harness, owner = ShardHarness(), Owner()
    executor = busy_executor(harness, "i-1")
    owner.manager.draft([executor], harness.now, final=True)
    assert not owner.manager.may_extend("i-1")
    owner.manager.discard_draft()
    assert owner.manager.may_extend("i-1")


def test_unanswered_write_is_not_undone_by_a_later_failed_one() -> None:
    """The first write may have taken effect. Only a later write that is certainly stored replaces
    it."""
    harness, owner = ShardHarness(), Owner()
    executor = busy_executor(harness, "i-1")
    owner.manager.draft([executor], harness.now, final=True)
    owner.manager.draft([executor], harness.now, final=True)
    owner.manager.discard_draft()
    assert not owner.manager.may_extend("i-1")
    assert owner.save([executor], harness.now, due=True)
    assert owner.manager.may_extend("i-1")


def test_owner_stopped_before_it_has_loaded_stores_the_inherited_bounds() -> None:
    """It tracks no executor and has extended no lease. An empty document would make the wait for
    silent executors start again with the next owner."""
    inherited = LeaseBounds(1, {"i-1": ExecutorBound(4.0, 9.0)}, {"i-2": ExecutorBound(3.0, 9.0)})
    manager = LeaseManager(LEASES_KEY, 2, inherited, MAX_INHERITED_LEASE, FixedClocks({}))
    assert manager.draft([], 100.0) is None
    put = manager.draft([], 100.0, final=True)
    assert put is not None
    stored = LeaseBounds.from_bytes(put.value)
    assert (stored.token, stored.silent, stored.handed_over) == (
        2,
        inherited.silent,
        inherited.handed_over,
    )


def test_tracking_time_of_an_executor_is_kept_across_owners() -> None:
    """The list of machines shows the loss of an executor only if it has been tracked for a while.
    If each owner started this time again, no loss would be detected while owners change often."""
    harness, owner = ShardHarness(), Owner()
    executor = busy_executor(harness, "i-1")
    executor.unresponsive_since, executor.tracked_since = harness.now, harness.now - 7.0
    assert owner.save([executor], harness.now)
    bound = Owner(owner.stored).manager.inherited_bound("i-1", 500.0)
    assert bound.tracked_since == pytest.approx(493.0)


def test_machine_of_an_executor_is_kept_across_owners() -> None:
    """Another executor on the same machine proves that an executor has terminated. Since its
    registration is deleted, a new owner needs the stored machine and incarnation to see this."""
    harness, first = ShardHarness(), Owner()
    executor = busy_executor(harness, "i-1")
    executor.unresponsive_since = harness.now
    assert first.save([executor], harness.now)
    second = Owner(first.stored)
    bound = second.manager.inherited_bound("i-1", 500.0)
    assert (bound.machine, bound.incarnation) == ("m-i-1", executor.facts.incarnation)
    assert second.manager.inherited_bound("i-2", 500.0).machine == ""


def test_document_without_machines_of_executors_stays_readable() -> None:
    """Entries of two versions own a shard in turn during an update. If either could not read the
    bounds, the wait for silent executors would start again."""
    written = orjson.loads(LeaseBounds(1, {"i-1": ExecutorBound(4.0, 9.0, "m-1", 7)}).to_bytes())
    assert written["silent"]["i-1"].items() >= {"left": 4.0, "known_for": 9.0}.items()
    written["silent"]["i-1"] = {"left": 4.0, "known_for": 9.0}
    read = LeaseBounds.from_bytes(orjson.dumps(written))
    assert read.silent == {"i-1": ExecutorBound(4.0, 9.0)}


def test_executors_without_runs_are_dropped_with_the_next_write() -> None:
    """A separate write for each of them would load the store without any benefit."""
    harness, owner = ShardHarness(), Owner(bounds({"i-gone": 4.0}))
    assert not owner.save([], harness.now)
    assert owner.save([], harness.now, due=True)
    assert owner.manager.may_extend("i-gone")


@pytest.mark.parametrize("data", [b"[]", b"{}", b"{", b'{"token": 1, "silent": [1]}'])
def test_damaged_bounds_are_rejected(data: bytes) -> None:
    with pytest.raises(ValueError):
        LeaseBounds.from_bytes(data)


def test_owner_stopped_before_any_report_preserves_the_elapsed_time() -> None:
    """It took seconds to load the shard and has read no clock yet. If it stored new bounds without
    clock readings, they would start again at their values at the take-over."""
    harness, inherited = ShardHarness(), bounds({"i-1": 4.0}, {"i-2@1": 50.0})
    owner = Owner(inherited)
    executor = unreached(harness, owner, "i-1")
    assert owner.save([executor], harness.now, final=True)
    after = Owner(owner.stored, {"i-2@1": 53.0})
    executor = unreached(harness, after, "i-1")
    after.manager.subtract_elapsed_time([executor], harness.now)
    assert executor.lease_expires_at <= harness.now + 4.0 - 3.0 + 3 * STORED_BOUND_MARGIN


def test_bounds_inherited_through_many_owners_do_not_grow() -> None:
    """Owners are replaced in quick succession. The rounding margin that each of them adds must not
    accumulate."""
    harness, stored = ShardHarness(), bounds({"i-1": 4.0}, {"i-2@1": 50.0})
    for _ in range(5):
        owner = Owner(stored, {"i-2@1": 50.0})
        executor = unreached(harness, owner, "i-1")
        owner.manager.subtract_elapsed_time([executor], harness.now)
        assert owner.save([executor], harness.now, final=True)
        stored = owner.stored
    assert stored.silent["i-1"].left <= 4.0 + 2 * STORED_BOUND_MARGIN


def test_bounds_do_not_grow_when_other_executors_report_to_each_owner() -> None:
    """Each owner reads the clock of a healthy executor and stores the bound of the silent one
    again. The rounding margins must not accumulate."""
    harness, stored = ShardHarness(), bounds({"i-1": 4.0}, {"i-2@1": 50.0})
    for _ in range(5):
        owner = Owner(stored, {"i-2@1": 50.0})
        silent, healthy = unreached(harness, owner, "i-1"), busy_executor(harness, "i-2")
        owner.manager.subtract_elapsed_time([silent, healthy], harness.now)
        assert owner.save([silent, healthy], harness.now, final=True)
        left = owner.stored.silent.get("i-1") or owner.stored.handed_over["i-1"]
        stored = LeaseBounds(2, {"i-1": left}, {}, {"i-2@1": 50.0})
    assert 4.0 <= stored.silent["i-1"].left <= 4.0 + 2 * STORED_BOUND_MARGIN
