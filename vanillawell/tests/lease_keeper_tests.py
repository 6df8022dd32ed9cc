"""Prove on plain data that leases of executors out of touch are not extended, nor forgotten."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, cast

import anyio
import pytest

from vanillawell.coordination.lease_keeper import READING_MARGIN, LeaseKeeper
from vanillawell.protocol.lease_bounds import LeaseBounds
from vanillawell.protocol.store import KeyValue
from vanillawell.tests.scheduling_builders import Bench, FixedClocks, facts, job, step

if TYPE_CHECKING:
    from vanillawell.state.executors import Executor

LONGEST_DOUBT = 9.0
KEY = "leases"


@dataclass
class OneValue:
    """Stand for a store that holds one value."""

    value: bytes | None = None

    async def get(self, key: str) -> KeyValue | None:
        assert key == KEY
        return None if self.value is None else KeyValue(key, self.value, 1)


@dataclass
class Owner:
    """One owner's keeper, with clocks that the test sets."""

    store: OneValue
    clocks: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        store = cast("Any", self.store)
        self.keeper = LeaseKeeper(store, KEY, LONGEST_DOUBT, FixedClocks(self.clocks))
        anyio.run(self.keeper.load)

    def save(self, executors: list[Executor], now: float, due: bool = False) -> bool:
        """Store what the keeper wants stored; tells whether it wanted anything."""
        if not due and not self.keeper.wants_write(executors):
            return False
        put = self.keeper.draft(executors, now)
        if put is None:
            return False
        self.store.value = put.value
        self.keeper.confirm()
        return True


def busy_executor(bench: Bench, name: str) -> Executor:
    """Return an executor that runs one task."""
    executor = bench.register(facts(name))
    bench.admit(job(step(long_running=True)))
    bench.place()
    return executor


def test_an_executor_that_is_named_gets_no_lease_extended_until_the_store_says_otherwise() -> None:
    """A successor trusts the stored bound. Extended once more, a task would run twice."""
    bench, owner = Bench(), Owner(OneValue())
    executor = busy_executor(bench, "i-1")
    executor.silent_since, executor.lease_over = bench.now, bench.now + 5
    assert owner.keeper.may_extend("i-1")
    assert owner.keeper.draft([executor], bench.now) is not None
    assert not owner.keeper.may_extend("i-1"), "the write may have taken effect"
    owner.keeper.confirm()
    executor.silent_since = None
    assert not owner.keeper.may_extend("i-1"), "it answers again, and a successor can't know"
    assert owner.save([executor], bench.now)
    assert owner.keeper.may_extend("i-1")


def test_what_a_former_owner_named_is_not_extended_before_the_new_owner_has_stored_so() -> None:
    """An owner is replaced twice within moments. The second successor trusts the same bounds."""
    store = OneValue(LeaseBounds({"i-1": 4.0}, {}).to_bytes())
    assert not Owner(store).keeper.may_extend("i-1")
    assert Owner(store).keeper.may_extend("i-2")


def test_the_time_that_has_passed_since_counts_as_far_as_other_clocks_show_it() -> None:
    """Owners change in series. The bound stays where it was on executors' clocks."""
    bench = Bench()
    executor = busy_executor(bench, "i-1")
    executor.contacted = False
    owner = Owner(OneValue(LeaseBounds({"i-1": 4.0}, {"i-2@1": 50.0, "i-3@1": 70.0}).to_bytes()))
    executor.lease_over = owner.keeper.first_bound("i-1", bench.now)
    assert executor.lease_over == pytest.approx(bench.now + 4.0 + READING_MARGIN)
    owner.clocks.update({"i-2@1": 53.0, "i-3@1": 72.5, "i-4@1": 999.0})
    owner.keeper.tighten([executor], bench.now)
    assert executor.lease_over == pytest.approx(bench.now + 1.5 + READING_MARGIN)


@pytest.mark.parametrize("clocks", [{}, {"i-2@2": 90.0}])
def test_without_a_common_clock_no_time_counts_as_passed(clocks: dict[str, float]) -> None:
    """The executors whose clocks were stored are gone, or live another life with a new clock."""
    bench = Bench()
    executor = busy_executor(bench, "i-1")
    executor.contacted = False
    owner = Owner(OneValue(LeaseBounds({"i-1": 4.0}, {"i-2@1": 50.0}).to_bytes()), clocks)
    executor.lease_over = owner.keeper.first_bound("i-1", bench.now)
    owner.keeper.tighten([executor], bench.now + 1.0)
    assert executor.lease_over == pytest.approx(bench.now + 4.0 + READING_MARGIN)


def test_an_executor_that_was_reached_meanwhile_is_not_given_up_by_an_old_bound() -> None:
    """It was silent for a former owner only, and its leases have been extended since."""
    bench = Bench()
    executor = busy_executor(bench, "i-1")
    owner = Owner(OneValue(LeaseBounds({"i-1": 1.0}, {"i-2@1": 50.0}).to_bytes()), {"i-2@1": 60.0})
    executor.lease_over = bench.now + 5
    owner.keeper.tighten([executor], bench.now)
    assert executor.lease_over == bench.now + 5


def test_executors_of_which_nothing_is_stored_may_hold_the_longest_leases() -> None:
    """The former owner was killed, and may have extended them a moment before."""
    bench, owner = Bench(), Owner(OneValue())
    assert owner.keeper.first_bound("i-1", bench.now) == bench.now + LONGEST_DOUBT


def test_damaged_bounds_shorten_no_wait() -> None:
    """What a former owner stored can't be read; the longest wait is the safe one."""
    bench, owner = Bench(), Owner(OneValue(b"[]"))
    assert owner.keeper.first_bound("i-1", bench.now) == bench.now + LONGEST_DOUBT


def test_an_owner_that_hands_over_leaves_the_bounds_of_all_executors_at_work() -> None:
    """It may not know yet that one of them has fallen silent just before."""
    bench, owner = Bench(), Owner(OneValue())
    executor = busy_executor(bench, "i-1")
    executor.lease_over = bench.now + 4
    assert not owner.save([executor], bench.now)
    owner.keeper.close()
    assert owner.save([executor], bench.now, due=True)
    assert not owner.keeper.may_extend("i-1")
    assert Owner(owner.store).keeper.first_bound("i-1", 0.0) == pytest.approx(4 + READING_MARGIN)


def test_executors_that_run_nothing_any_more_are_forgotten_with_the_next_write() -> None:
    """A write of its own for each of them would cost the store more than it helps anybody."""
    bench = Bench()
    owner = Owner(OneValue(LeaseBounds({"i-gone": 4.0}, {}).to_bytes()))
    assert not owner.save([], bench.now)
    assert owner.save([], bench.now, due=True)
    assert owner.keeper.may_extend("i-gone")
