"""Drive several limit keepers through races against a store that loses and delays writes."""

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
from vanillawell.state.board import DemandBoard, Row
from vanillawell.state.limits import LimitChange
from vanillawell.state.policy import OrganisationPolicy, Policy
from vanillawell.telemetry import Telemetry
from vanillawell.tests.builders import presence, timing
from vanillawell.tests.fakes import RacyStore

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from vanillawell.protocol.documents import Presence

ORGANISATION = "guild"

HOLDERS = 3


@dataclass
class KnownMembers:
    """Membership as far as a limit keeper uses it."""

    me: Presence
    members: dict[str, Presence]
    over: set[str]
    valid_until: float = float("inf")

    def on_change(self, listener: Callable[[], None]) -> None:
        """Hear of no change."""

    def ended(self, holders: Iterable[str]) -> set[str]:
        return self.over & set(holders)


class Holder:
    """One entry's keeper with a demand that the test sets."""

    def __init__(self, machine: LimitRaces, name: str) -> None:
        self.demand = 0
        self.board = DemandBoard()
        self.me = presence(name, incarnation=f"run-{machine.next_run()}")
        self.members = KnownMembers(self.me, machine.members, machine.over)
        store: Any = machine.store
        members: Any = self.members
        self.keeper = LimitManager(
            store,
            StoreKeys("/t"),
            members,
            self.board,
            timing(),
            Telemetry(),
            random.Random(1),
        )
        self.keeper.connect(lambda _: self.demand, lambda _: 0, lambda: None, lambda: None)
        self.version = 0

    @property
    def usable(self) -> int:
        return self.keeper.usable(ORGANISATION, 0.0) if self.version else 0

    def settle(self) -> None:
        try:
            anyio.run(self.keeper.settle_all)
        except StoreError:
            return


def policy(changes: tuple[LimitChange, ...], version: int) -> Policy:
    organisation = OrganisationPolicy(
        ORGANISATION, 1.0, changes[-1].limit, changes, 0.25, 100, 10.0, 600.0, 5.0
    )
    return Policy(version, {ORGANISATION: organisation}, {}, {})


class LimitRaces(RuleBasedStateMachine):
    """Operators change a limit while entries take, give, die and lose answers."""

    def __init__(self) -> None:
        super().__init__()
        self.time = 1000.0
        self.clock = patch("vanillawell.clock.read", self.read_clock)
        self.clock.start()
        self.store = RacyStore()
        self.members: dict[str, Presence] = {}
        self.over: set[str] = set()
        self.runs = 0
        self.changes: tuple[LimitChange, ...] = (LimitChange(1, 10),)
        self.holders = [self.new_holder(number) for number in range(HOLDERS)]
        self.dead: list[tuple[str, int]] = []

    def teardown(self) -> None:
        self.clock.stop()

    def read_clock(self) -> float:
        """Let a second pass at every look, so that no copy counts as recent."""
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
        holder.keeper.configure(policy(self.changes, holder.version))

    @rule(number=st.integers(0, HOLDERS - 1), wanted=st.integers(0, 14))
    def change_demand(self, number: int, wanted: int) -> None:
        self.holders[number].demand = wanted

    @rule(
        number=st.integers(0, HOLDERS - 1),
        mode=st.sampled_from(["ok", "ok", "ok", "lost", "delayed", "unavailable"]),
    )
    def settle(self, number: int, mode: str) -> None:
        self.store.mode = mode
        self.holders[number].settle()
        self.store.mode = "ok"

    @rule(number=st.integers(0, HOLDERS - 1), mode=st.sampled_from(["ok", "lost", "delayed"]))
    def move_all_demand_away(self, number: int, mode: str) -> None:
        """Let an entry hold units and then give them, by a write of uncertain outcome."""
        giver, taker = self.holders[number], self.holders[(number + 1) % HOLDERS]
        giver.demand, taker.demand = 14, 0
        self.settle(number, "ok")
        giver.demand, taker.demand = 0, 14
        self.exchange_demand()
        self.settle(number, mode)

    @precondition(lambda self: self.store.delayed)
    @rule()
    def apply_delayed_write(self) -> None:
        self.store.apply(self.store.delayed.pop(0))

    @rule(limit=st.integers(0, 20))
    def change_limit(self, limit: int) -> None:
        version = self.changes[-1].version + 1
        self.changes = (*self.changes, LimitChange(version, limit))

    @rule(number=st.integers(0, HOLDERS - 1))
    def hear_of_configuration(self, number: int) -> None:
        self.apply_configuration(self.holders[number])

    @rule()
    def exchange_demand(self) -> None:
        for holder, other in itertools.permutations(self.holders, 2):
            rows = (Row("pool", ORGANISATION, other.demand, 0.0),)
            holder.board.receive(other.me.instance, 1, self.next_run(), rows, self.time)

    @rule(number=st.integers(0, HOLDERS - 1))
    def kill_and_restart(self, number: int) -> None:
        old = self.holders[number]
        self.dead.append((old.me.holder, old.usable))
        self.holders[number] = self.new_holder(number)

    @precondition(lambda self: self.dead)
    @rule()
    def end_what_a_dead_one_started(self) -> None:
        holder, _ = self.dead.pop(0)
        self.over.add(holder)

    @invariant()
    def limit_is_obeyed(self) -> None:
        oldest = min(holder.version for holder in self.holders)
        earlier = [change for change in self.changes if change.version <= oldest][-1:]
        allowed = [change.limit for change in self.changes if change.version > oldest]
        still_running = sum(usable for _, usable in self.dead)
        used = sum(holder.usable for holder in self.holders) + still_running
        if still_running:
            allowed += [change.limit for change in self.changes]
        assert used <= max([change.limit for change in earlier] + allowed)


LimitRacesTest = LimitRaces.TestCase
LimitRacesTest.settings = settings(
    max_examples=150, stateful_step_count=50, deadline=None, derandomize=True
)


def test_units_move_to_where_demand_is() -> None:
    machine = LimitRaces()
    machine.teardown()
    first, second = machine.holders[:2]
    first.demand = 10
    first.settle()
    assert first.usable >= 8
    first.demand, second.demand = 0, 10
    machine.exchange_demand()
    for _ in range(8):
        first.settle()
        second.settle()
    assert second.usable >= 8


def test_a_delayed_giving_write_is_fenced_before_its_units_are_used_again() -> None:
    """A write that gives units away gets no answer and is applied seconds later.

    A read in between shows the units as still held. If the entry used them again on that
    ground, another entry would use them too as soon as the write is applied.
    """
    machine = LimitRaces()
    first, second = machine.holders[:2]
    machine.move_all_demand_away(0, "delayed")
    first.demand = 14
    machine.exchange_demand()
    machine.store.mode = "unavailable"
    first.settle()
    machine.apply_delayed_write()
    second.settle()
    assert first.usable + second.usable <= 10
    machine.teardown()


def test_units_are_not_given_away_while_the_store_is_down() -> None:
    """The store goes down while entries hold units; they must go on with what they hold."""
    machine = LimitRaces()
    machine.teardown()
    first = machine.holders[0]
    first.demand = 6
    first.settle()
    before = first.usable
    for _ in range(5):
        machine.store.mode = "unavailable"
        first.demand = 0
        first.settle()
    assert first.usable == before


def test_an_outage_traps_no_units_in_uncertain_writes() -> None:
    """The store goes down at a moment when an entry wants to give units away.

    If the write were sent without a sign of life, its units could be used by nobody until the
    store is back; in a busy fleet that was most of the limit.
    """
    machine = LimitRaces()
    machine.teardown()
    first, second = machine.holders[:2]
    first.demand = 10
    first.settle()
    held = first.usable
    first.demand, second.demand = 0, 10
    machine.exchange_demand()
    machine.store.down = True
    first.settle()
    assert first.usable == held


def test_no_unit_is_usable_once_the_term_has_passed() -> None:
    """A process is paused beyond its term and wakes in the middle of its work."""
    machine = LimitRaces()
    machine.teardown()
    first = machine.holders[0]
    first.demand = 6
    first.settle()
    first.members.valid_until = 50.0
    assert first.keeper.usable(ORGANISATION, 49.9) > 0
    assert first.keeper.usable(ORGANISATION, 50.0) == 0


def test_replacing_a_presence_gives_a_new_holder() -> None:
    one = presence("entry-1", "one")
    assert replace(one, incarnation="two").holder != one.holder


def test_an_entry_that_has_just_started_lets_its_first_callers_wait_for_units() -> None:
    """The first request comes before the first answer of the store, as it does on a busy machine.
    Refused with the word that the store is away, its caller would leave for nothing: the units are
    there within milliseconds."""
    machine = LimitRaces()
    holder = Holder(machine, "entry-1")
    assert holder.keeper.can_acquire()
    machine.teardown()
