"""Prove on plain data that leases of executors out of touch are not extended, nor forgotten."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import orjson
import pytest

from vanillawell.coordination.lease_manager import CONTACT_BOUND, STORED_BOUND_MARGIN, LeaseManager
from vanillawell.protocol.lease_bounds import ExecutorBound, LeaseBounds
from vanillawell.tests.scheduling_builders import FixedClocks, ShardHarness, facts, job, step

if TYPE_CHECKING:
    from vanillawell.state.executors import Executor

LONGEST_DOUBT = 9.0
KEY = "leases"


def bounds(silent: dict[str, float], clocks: dict[str, float] | None = None) -> LeaseBounds:
    """Return what the owner with token 1 stored of silent executors."""
    named = {name: ExecutorBound(left, 10.0) for name, left in silent.items()}
    return LeaseBounds(1, named, {}, clocks or {})


@dataclass
class Owner:
    """One owner's keeper, with clocks that the test sets."""

    former: LeaseBounds = field(default_factory=LeaseBounds)
    clocks: dict[str, float] = field(default_factory=dict)
    stored: LeaseBounds = field(default_factory=LeaseBounds)

    def __post_init__(self) -> None:
        clocks = FixedClocks(self.clocks)
        self.keeper = LeaseManager(KEY, 2, self.former, LONGEST_DOUBT, clocks)
        self.keeper.begin(ShardHarness().now)

    def save(
        self, executors: list[Executor], now: float, due: bool = False, last: bool = False
    ) -> bool:
        """Store what the keeper wants stored; tells whether it wanted anything."""
        if not due and not last and not self.keeper.wants_write(executors, now):
            return False
        put = self.keeper.draft(executors, now, last)
        if put is None:
            return False
        self.stored = LeaseBounds.from_bytes(put.value)
        self.keeper.confirm()
        return True


def busy_executor(harness: ShardHarness, name: str) -> Executor:
    """Return an executor that runs one task."""
    executor = harness.register(facts(name))
    harness.admit(job(step(long_running=True)))
    harness.place()
    return executor


def unreached(harness: ShardHarness, owner: Owner, name: str) -> Executor:
    """Return an executor with a task of a former term that has not reported yet."""
    executor = busy_executor(harness, name)
    executor.contacted = False
    executor.lease_expires_at = owner.keeper.recalled_bound(name, harness.now).lease_expires_at
    return executor


def test_an_executor_that_is_named_gets_no_lease_extended_until_the_store_says_otherwise() -> None:
    """A successor trusts the stored bound. Extended once more, a task would run twice."""
    harness, owner = ShardHarness(), Owner()
    executor = busy_executor(harness, "i-1")
    executor.unresponsive_since, executor.lease_expires_at = harness.now, harness.now + 5
    assert owner.keeper.may_extend("i-1")
    assert owner.keeper.draft([executor], harness.now) is not None
    assert not owner.keeper.may_extend("i-1"), "the write may have taken effect"
    owner.keeper.confirm()
    executor.unresponsive_since = None
    assert not owner.keeper.may_extend("i-1"), "it answers again, and a successor can't know"
    assert owner.save([executor], harness.now)
    assert owner.keeper.may_extend("i-1")


def test_what_a_former_owner_named_is_not_extended_before_the_new_owner_has_stored_so() -> None:
    """An owner is replaced twice within moments. The second successor trusts the same bounds."""
    owner = Owner(bounds({"i-1": 4.0}))
    assert not owner.keeper.may_extend("i-1")
    assert owner.keeper.may_extend("i-2")


def test_the_time_that_has_passed_since_counts_as_far_as_other_clocks_show_it() -> None:
    """Owners change in series. The bound stays where it was on executors' clocks."""
    harness = ShardHarness()
    owner = Owner(bounds({"i-1": 4.0}, {"i-2@1": 50.0, "i-3@1": 70.0}))
    executor = unreached(harness, owner, "i-1")
    assert executor.lease_expires_at == pytest.approx(harness.now + 4.0 + STORED_BOUND_MARGIN)
    owner.clocks.update({"i-2@1": 53.0, "i-3@1": 72.5, "i-4@1": 999.0})
    owner.keeper.count_time_passed([executor], harness.now)
    assert executor.lease_expires_at == pytest.approx(harness.now + 1.5 + STORED_BOUND_MARGIN)


@pytest.mark.parametrize("clocks", [{}, {"i-2@2": 90.0}])
def test_without_a_common_clock_no_time_counts_as_passed(clocks: dict[str, float]) -> None:
    """The executors whose clocks were stored are gone, or live another life with a new clock."""
    harness, owner = ShardHarness(), Owner(bounds({"i-1": 4.0}, {"i-2@1": 50.0}), clocks)
    executor = unreached(harness, owner, "i-1")
    owner.keeper.count_time_passed([executor], harness.now + 1.0)
    assert executor.lease_expires_at == pytest.approx(harness.now + 4.0 + STORED_BOUND_MARGIN)


def test_an_executor_that_was_reached_meanwhile_is_not_given_up_by_an_old_bound() -> None:
    """It was silent for a former owner only, and its leases have been extended since."""
    harness, owner = ShardHarness(), Owner(bounds({"i-1": 1.0}, {"i-2@1": 50.0}), {"i-2@1": 60.0})
    executor = busy_executor(harness, "i-1")
    executor.lease_expires_at = harness.now + 5
    owner.keeper.count_time_passed([executor], harness.now)
    assert executor.lease_expires_at == harness.now + 5


def test_executors_of_which_nothing_is_stored_may_hold_the_longest_leases() -> None:
    """The former owner was killed, and may have extended them a moment before."""
    now = ShardHarness().now
    assert Owner().keeper.recalled_bound("i-1", now).lease_expires_at == now + LONGEST_DOUBT


def test_an_owner_that_hands_over_leaves_the_bounds_of_all_executors_at_work() -> None:
    """It may not know yet that one of them has fallen silent just before."""
    harness, owner = ShardHarness(), Owner()
    executor = busy_executor(harness, "i-1")
    executor.lease_expires_at = harness.now + 4
    assert not owner.save([executor], harness.now)
    assert owner.save([executor], harness.now, last=True)
    assert not owner.keeper.may_extend("i-1")
    assert not owner.save([executor], harness.now, due=True), "its last word stays"
    bound = Owner(owner.stored).keeper.recalled_bound("i-1", harness.now)
    assert bound.lease_expires_at == pytest.approx(harness.now + 4 + STORED_BOUND_MARGIN)


def test_a_successor_renews_what_is_sound_without_waiting_for_the_store() -> None:
    """The store is slow at a planned stop. Sound work would lapse while its new owner stores that
    it may renew it, so only bounds of silent executors outlive the successor."""
    harness, owner = ShardHarness(), Owner()
    executor = busy_executor(harness, "i-1")
    owner.save([executor], harness.now, last=True)
    assert Owner(owner.stored).keeper.may_extend("i-1")
    after = Owner(owner.stored.adopted_by(3)).keeper.recalled_bound("i-1", harness.now)
    assert after.lease_expires_at == harness.now + LONGEST_DOUBT


def test_a_last_word_names_executors_that_left_the_last_renewal_unanswered() -> None:
    """They may have fallen silent just before, and the successor may be killed before it notices.
    What it could have extended has to be stored first, so the bound outlives any number of owners.
    """
    harness, owner = ShardHarness(), Owner()
    sound, doubtful = busy_executor(harness, "i-1"), busy_executor(ShardHarness(), "i-2")
    sound.lease_expires_at = doubtful.lease_expires_at = harness.now + 4
    put = owner.keeper.draft([sound, doubtful], harness.now, True, frozenset({"i-2"}))
    assert put is not None
    signed = LeaseBounds.from_bytes(put.value).adopted_by(3)
    successor = Owner(signed)
    assert successor.keeper.may_extend("i-1")
    assert not successor.keeper.may_extend("i-2")
    bound = successor.keeper.recalled_bound("i-2", harness.now)
    assert bound.lease_expires_at == pytest.approx(harness.now + 4 + STORED_BOUND_MARGIN)


def test_executors_get_a_moment_to_report_to_a_new_owner_before_they_are_named() -> None:
    """Named at once, each sound executor would be renewed only after two writes."""
    harness, owner = ShardHarness(), Owner()
    executor = unreached(harness, owner, "i-1")
    assert not owner.save([executor], harness.now, due=True)
    assert owner.save([executor], harness.now + CONTACT_BOUND + 0.1)
    assert not owner.keeper.may_extend("i-1")


def test_an_executor_that_was_named_stays_so_until_it_reports() -> None:
    """Forgotten at the start of each term, its bound would begin anew with the next owner."""
    harness, owner = ShardHarness(), Owner(bounds({"i-1": 4.0}))
    executor = unreached(harness, owner, "i-1")
    assert not owner.save([executor], harness.now, due=True)
    executor.contacted = True
    assert owner.save([executor], harness.now)


def test_a_try_that_failed_for_certain_leaves_leases_as_they_were() -> None:
    """The store refuses the last word of a stopping owner; nobody can take over meanwhile."""
    harness, owner = ShardHarness(), Owner()
    executor = busy_executor(harness, "i-1")
    owner.keeper.draft([executor], harness.now, last=True)
    assert not owner.keeper.may_extend("i-1")
    owner.keeper.take_back()
    assert owner.keeper.may_extend("i-1")


def test_a_try_without_an_answer_is_not_undone_by_one_that_failed() -> None:
    """The first may be stored. Only a later write that is stored for certain replaces it."""
    harness, owner = ShardHarness(), Owner()
    executor = busy_executor(harness, "i-1")
    owner.keeper.draft([executor], harness.now, last=True)
    owner.keeper.draft([executor], harness.now, last=True)
    owner.keeper.take_back()
    assert not owner.keeper.may_extend("i-1")
    assert owner.save([executor], harness.now, due=True)
    assert owner.keeper.may_extend("i-1")


def test_an_owner_that_is_stopped_before_it_has_loaded_passes_on_what_it_found() -> None:
    """It knows of no executor and has extended no lease. A document without any would make the
    wait for silent executors begin anew with its successor."""
    found = LeaseBounds(1, {"i-1": ExecutorBound(4.0, 9.0)}, {"i-2": ExecutorBound(3.0, 9.0)})
    keeper = LeaseManager(KEY, 2, found, LONGEST_DOUBT, FixedClocks({}))
    assert keeper.draft([], 100.0) is None
    put = keeper.draft([], 100.0, last=True)
    assert put is not None
    left = LeaseBounds.from_bytes(put.value)
    assert (left.token, left.silent, left.handed_over) == (2, found.silent, found.handed_over)


def test_how_long_an_executor_has_been_known_outlives_its_owners() -> None:
    """The list of machines proves nothing of executors that have just come. Reckoned anew by each
    owner, it would never prove anything while owners are replaced in series."""
    harness, owner = ShardHarness(), Owner()
    executor = busy_executor(harness, "i-1")
    executor.unresponsive_since, executor.tracked_since = harness.now, harness.now - 7.0
    assert owner.save([executor], harness.now)
    bound = Owner(owner.stored).keeper.recalled_bound("i-1", 500.0)
    assert bound.tracked_since == pytest.approx(493.0)


def test_where_an_executor_lived_outlives_its_owners() -> None:
    """Its entry is gone with it. Another executor on its machine proves that it has ended, which a
    new owner can see only if it knows the machine, and the life that was there."""
    harness, first = ShardHarness(), Owner()
    executor = busy_executor(harness, "i-1")
    executor.unresponsive_since = harness.now
    assert first.save([executor], harness.now)
    second = Owner(first.stored)
    bound = second.keeper.recalled_bound("i-1", 500.0)
    assert (bound.machine, bound.incarnation) == ("m-i-1", executor.facts.incarnation)
    assert second.keeper.recalled_bound("i-2", 500.0).machine == ""


def test_a_document_that_does_not_tell_where_executors_lived_stays_readable() -> None:
    """Entries of two versions own a shard in turn during an update. Bounds that either of them
    could not read would let the wait for silent executors begin anew."""
    written = orjson.loads(LeaseBounds(1, {"i-1": ExecutorBound(4.0, 9.0, "m-1", 7)}).to_bytes())
    assert written["silent"]["i-1"].items() >= {"left": 4.0, "known_for": 9.0}.items()
    written["silent"]["i-1"] = {"left": 4.0, "known_for": 9.0}
    read = LeaseBounds.from_bytes(orjson.dumps(written))
    assert read.silent == {"i-1": ExecutorBound(4.0, 9.0)}


def test_executors_that_run_nothing_any_more_are_forgotten_with_the_next_write() -> None:
    """A write of its own for each of them would cost the store more than it helps anybody."""
    harness, owner = ShardHarness(), Owner(bounds({"i-gone": 4.0}))
    assert not owner.save([], harness.now)
    assert owner.save([], harness.now, due=True)
    assert owner.keeper.may_extend("i-gone")


@pytest.mark.parametrize("data", [b"[]", b"{}", b"{", b'{"token": 1, "silent": [1]}'])
def test_damaged_bounds_are_told_from_others(data: bytes) -> None:
    with pytest.raises(ValueError):
        LeaseBounds.from_bytes(data)


def test_an_owner_that_is_stopped_before_any_report_keeps_the_time_that_has_passed() -> None:
    """It took seconds to load the shard and has read no clock yet. Written anew without one, the
    bounds that it found would begin again where they were when it took over."""
    harness, found = ShardHarness(), bounds({"i-1": 4.0}, {"i-2@1": 50.0})
    owner = Owner(found)
    executor = unreached(harness, owner, "i-1")
    assert owner.save([executor], harness.now, last=True)
    after = Owner(owner.stored, {"i-2@1": 53.0})
    executor = unreached(harness, after, "i-1")
    after.keeper.count_time_passed([executor], harness.now)
    assert executor.lease_expires_at <= harness.now + 4.0 - 3.0 + 3 * STORED_BOUND_MARGIN


def test_bounds_that_pass_through_many_owners_do_not_grow() -> None:
    """Owners are replaced in quick succession. Each adds what it reckons for rounding, and the
    wait grows by as much with each of them."""
    harness, stored = ShardHarness(), bounds({"i-1": 4.0}, {"i-2@1": 50.0})
    for _ in range(5):
        owner = Owner(stored, {"i-2@1": 50.0})
        executor = unreached(harness, owner, "i-1")
        owner.keeper.count_time_passed([executor], harness.now)
        assert owner.save([executor], harness.now, last=True)
        stored = owner.stored
    assert stored.silent["i-1"].left <= 4.0 + 2 * STORED_BOUND_MARGIN


def test_bounds_do_not_grow_with_owners_that_other_executors_report_to() -> None:
    """Each owner reads the clock of a sound executor, and writes the bound of the silent one anew.
    The wait must not grow by what each adds for rounding."""
    harness, stored = ShardHarness(), bounds({"i-1": 4.0}, {"i-2@1": 50.0})
    for _ in range(5):
        owner = Owner(stored, {"i-2@1": 50.0})
        silent, sound = unreached(harness, owner, "i-1"), busy_executor(harness, "i-2")
        owner.keeper.count_time_passed([silent, sound], harness.now)
        assert owner.save([silent, sound], harness.now, last=True)
        left = owner.stored.silent.get("i-1") or owner.stored.handed_over["i-1"]
        stored = LeaseBounds(2, {"i-1": left}, {}, {"i-2@1": 50.0})
    assert 4.0 <= stored.silent["i-1"].left <= 4.0 + 2 * STORED_BOUND_MARGIN
