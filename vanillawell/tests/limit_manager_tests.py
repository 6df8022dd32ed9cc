"""Test races of several limit managers against a store that loses and delays writes."""

from __future__ import annotations

import itertools
import random
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any
from unittest.mock import patch

import anyio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from vanillawell.coordination.limit_manager import LimitManager
from vanillawell.exceptions import StoreError
from vanillawell.protocol.documents import StoreKeys
from vanillawell.state.demand_table import DemandTable, Row
from vanillawell.state.limits import LimitChange
from vanillawell.state.policy import OrganisationPolicy, Policy
from vanillawell.telemetry import Telemetry
from vanillawell.tests.builders import presence, timing
from vanillawell.tests.fakes import FaultyStore

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from vanillawell.protocol.documents import Presence

ORGANISATION = "guild"

HOLDERS = 3


@dataclass
class FakeMembership:
    """Minimal membership for a limit manager."""

    me: Presence
    members: dict[str, Presence]
    terminated: set[str]
    valid_until: float = float("inf")

    def on_change(self, listener: Callable[[], None]) -> None:
        """Ignore the listener; membership never changes here."""

    def ended(self, holders: Iterable[str]) -> set[str]:
        return self.terminated & set(holders)


class Holder:
    """An entry's limit manager with demand set by the test."""

    def __init__(self, machine: LimitRaces, name: str) -> None:
        self.demand = 0
        self.demand_table = DemandTable()
        self.me = presence(name, incarnation=f"run-{machine.next_run()}")
        self.members = FakeMembership(self.me, machine.members, machine.terminated)
        store: Any = machine.store
        members: Any = self.members
        self.manager = LimitManager(
            store,
            StoreKeys("/t"),
            members,
            self.demand_table,
            timing(),
            Telemetry(),
            random.Random(1),
        )
        self.manager.connect(lambda _: self.demand, lambda _: 0, lambda: None, lambda: None)
        self.version = 0

    @property
    def usable(self) -> int:
        return self.manager.usable(ORGANISATION, 0.0) if self.version else 0

    def reconcile(self) -> None:
        try:
            anyio.run(self.manager.reconcile_all)
        except StoreError:
            return


def policy(changes: tuple[LimitChange, ...], version: int) -> Policy:
    organisation = OrganisationPolicy(
        ORGANISATION, 1.0, changes[-1].limit, changes, 0.25, 100, 10.0, 600.0, 5.0
    )
    return Policy(version, {ORGANISATION: organisation}, {}, {})


class LimitRaces(RuleBasedStateMachine):
    """Operators change a limit while entries acquire and release units, crash and lose answers."""

    def __init__(self) -> None:
        super().__init__()
        self.time = 1000.0
        self.clock = patch("vanillawell.clock.read", self.read_clock)
        self.clock.start()
        self.store = FaultyStore()
        self.members: dict[str, Presence] = {}
        self.terminated: set[str] = set()
        self.runs = 0
        self.changes: tuple[LimitChange, ...] = (LimitChange(1, 10),)
        self.holders = [self.new_holder(number) for number in range(HOLDERS)]
        self.killed: list[tuple[str, int]] = []

    def teardown(self) -> None:
        self.clock.stop()

    def read_clock(self) -> float:
        """Advance the clock by one second per reading, so that every ledger copy is stale."""
        self.time += 1.0
        return self.time

    def next_run(self) -> int:
        self.runs += 1
        return self.runs

    def new_holder(self, number: int) -> Holder:
        holder = Holder(self, f"entry-{number}")
        self.members[holder.me.instance] = holder.me
        self.apply_configuration(holder)
        return holder

    def apply_configuration(self, holder: Holder) -> None:
        holder.version = self.changes[-1].version
        holder.manager.configure(policy(self.changes, holder.version))

    @rule(number=st.integers(0, HOLDERS - 1), wanted=st.integers(0, 14))
    def change_demand(self, number: int, wanted: int) -> None:
        self.holders[number].demand = wanted

    @rule(
        number=st.integers(0, HOLDERS - 1),
        mode=st.sampled_from(["ok", "ok", "ok", "lost", "delayed", "unavailable"]),
    )
    def reconcile(self, number: int, mode: str) -> None:
        self.store.mode = mode
        self.holders[number].reconcile()
        self.store.mode = "ok"

    @rule(number=st.integers(0, HOLDERS - 1), mode=st.sampled_from(["ok", "lost", "delayed"]))
    def move_all_demand_away(self, number: int, mode: str) -> None:
        """Let an entry acquire units and release them by a write of unknown outcome."""
        giver, taker = self.holders[number], self.holders[(number + 1) % HOLDERS]
        giver.demand, taker.demand = 14, 0
        self.reconcile(number, "ok")
        giver.demand, taker.demand = 0, 14
        self.exchange_demand()
        self.reconcile(number, mode)

    @precondition(lambda self: self.store.delayed)
    @rule()
    def apply_delayed_write(self) -> None:
        self.store.apply(self.store.delayed.pop(0))

    @rule(limit=st.integers(0, 20))
    def change_limit(self, limit: int) -> None:
        version = self.changes[-1].version + 1
        self.changes = (*self.changes, LimitChange(version, limit))

    @rule(number=st.integers(0, HOLDERS - 1))
    def fetch_configuration(self, number: int) -> None:
        self.apply_configuration(self.holders[number])

    @rule()
    def exchange_demand(self) -> None:
        for holder, other in itertools.permutations(self.holders, 2):
            rows = (Row("pool", ORGANISATION, other.demand, 0.0),)
            holder.demand_table.receive(other.me.instance, 1, self.next_run(), rows, self.time)

    @rule(number=st.integers(0, HOLDERS - 1))
    def kill_and_restart(self, number: int) -> None:
        old = self.holders[number]
        self.killed.append((old.me.holder, old.usable))
        self.holders[number] = self.new_holder(number)

    @precondition(lambda self: self.killed)
    @rule()
    def end_requests_of_killed_holder(self) -> None:
        holder, _ = self.killed.pop(0)
        self.terminated.add(holder)

    @invariant()
    def limit_is_obeyed(self) -> None:
        oldest = min(holder.version for holder in self.holders)
        earlier = [change for change in self.changes if change.version <= oldest][-1:]
        allowed = [change.limit for change in self.changes if change.version > oldest]
        still_running = sum(usable for _, usable in self.killed)
        used = sum(holder.usable for holder in self.holders) + still_running
        if still_running:
            allowed += [change.limit for change in self.changes]
        assert used <= max([change.limit for change in earlier] + allowed)


LimitRacesTest = LimitRaces.TestCase
LimitRacesTest.settings = settings(
    max_examples=150, stateful_step_count=50, deadline=None, derandomize=True
)


def test_units_follow_demand() -> None:
    machine = LimitRaces()
    machine.teardown()
    first, second = machine.holders[:2]
    first.demand = 10
    first.reconcile()
    assert first.usable >= 8
    first.demand, second.demand = 0, 10
    machine.exchange_demand()
    for _ in range(8):
        first.reconcile()
        second.reconcile()
    assert second.usable >= 8


def test_units_of_a_delayed_release_stay_unused_until_it_cannot_be_applied() -> None:
    """A write that releases units is not answered and is applied seconds later.

    A read in between shows the units as still held. If the entry used them again because of that,
    another entry would use them as well once the write is applied.
    """
    machine = LimitRaces()
    first, second = machine.holders[:2]
    machine.move_all_demand_away(0, "delayed")
    first.demand = 14
    machine.exchange_demand()
    machine.store.mode = "unavailable"
    first.reconcile()
    machine.apply_delayed_write()
    second.reconcile()
    assert first.usable + second.usable <= 10
    machine.teardown()


def test_units_are_kept_while_the_store_is_down() -> None:
    """Entries continue with the units that they hold when the store goes down."""
    machine = LimitRaces()
    machine.teardown()
    first = machine.holders[0]
    first.demand = 6
    first.reconcile()
    before = first.usable
    for _ in range(5):
        machine.store.mode = "unavailable"
        first.demand = 0
        first.reconcile()
    assert first.usable == before


def test_a_store_outage_leaves_no_units_in_writes_of_unknown_outcome() -> None:
    """The store goes down just before an entry releases units.

    If the write were sent without a successful read first, no entry could use its units until the
    store recovers; in a busy fleet this affected most of the limit.
    """
    machine = LimitRaces()
    machine.teardown()
    first, second = machine.holders[:2]
    first.demand = 10
    first.reconcile()
    held = first.usable
    first.demand, second.demand = 0, 10
    machine.exchange_demand()
    machine.store.down = True
    first.reconcile()
    assert first.usable == held


def test_no_unit_is_usable_after_the_holding_term() -> None:
    """A process is paused beyond its holding term and resumes while handling requests."""
    machine = LimitRaces()
    machine.teardown()
    first = machine.holders[0]
    first.demand = 6
    first.reconcile()
    first.members.valid_until = 50.0
    assert first.manager.usable(ORGANISATION, 49.9) > 0
    assert first.manager.usable(ORGANISATION, 50.0) == 0


def test_a_new_incarnation_has_a_new_holder_name() -> None:
    one = presence("entry-1", "one")
    assert replace(one, incarnation="two").holder != one.holder


def test_a_new_entry_queues_its_first_requests_until_units_are_granted() -> None:
    """The first request arrives before the store's first answer, as it does on a busy machine.
    If it were refused because the store is unreachable, its caller would be turned away needlessly:
    the units are granted within milliseconds."""
    machine = LimitRaces()
    holder = Holder(machine, "entry-1")
    assert holder.manager.can_acquire()
    machine.teardown()
