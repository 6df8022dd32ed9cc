"""Check that a planner which was replaced in mid-step cannot write."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio
import pytest

from vanillawell.coordination.assignment import AssignmentSync
from vanillawell.coordination.planner import Planner
from vanillawell.coordination.role import NotHolderError
from vanillawell.protocol.documents import StoreKeys
from vanillawell.state.pools import Assignment, Phase, Placement
from vanillawell.telemetry import Telemetry
from vanillawell.tests.builders import presence, store_settings, timing
from vanillawell.tests.fakes import RacyStore
from vanillawell.transport.admin_client import AdminAccess

if TYPE_CHECKING:
    from vanillawell.protocol.documents import Presence

KEYS = StoreKeys("/t")


class LeasedMember:
    """Membership as far as a planner uses it."""

    def __init__(self, me: Presence) -> None:
        self.me = me
        self.lease = 7


def planner_of(store: RacyStore, name: str) -> tuple[Planner, AssignmentSync]:
    member: Any = LeasedMember(presence(name))
    anything: Any = None
    plain: Any = store
    follower = AssignmentSync(plain, KEYS, member, store_settings(1), Telemetry())
    planner = Planner(
        plain,
        KEYS,
        anything,
        member,
        anything,
        follower,
        dict,
        AdminAccess(),
        timing(),
        Telemetry(),
    )
    return planner, follower


def assignment(version: int, instance: str) -> Assignment:
    return Assignment(version, {instance: Placement("pool-a", Phase.LEAVING)})


def test_a_planner_that_was_paused_while_another_took_over_writes_nothing() -> None:
    """A planner is paused between its check and its write; its lease ends, another one plans.

    If its write went through, both would have an instance of the same pool away, and the pool
    could fall below its budget.
    """
    store = RacyStore()
    first, first_follower = planner_of(store, "entry-1")
    second, second_follower = planner_of(store, "entry-2")

    async def play() -> None:
        await first._role.hold()
        await first_follower.check_store()
        store.delete(KEYS.planner)
        await second._role.hold()
        await second_follower.check_store()
        with pytest.raises(NotHolderError):
            await first._write(assignment(1, "a1"))
        await second._write(assignment(1, "a2"))

    anyio.run(play)
    assert list(second_follower.assignment.placements) == ["a2"]


def test_a_step_checked_against_an_older_assignment_is_not_written() -> None:
    """An operator starts a move between a planner's check and its write."""
    store = RacyStore()
    planner, follower = planner_of(store, "entry-1")

    async def play() -> None:
        await planner._role.hold()
        await follower.check_store()
        store.put(KEYS.assignment, assignment(1, "b1").to_bytes())
        with pytest.raises(NotHolderError):
            await planner._write(assignment(1, "a1"))

    anyio.run(play)
    assert list(follower.assignment.placements) == ["b1"]


def test_only_one_of_two_planners_gets_the_role() -> None:
    store = RacyStore()
    first, _ = planner_of(store, "entry-1")
    second, _ = planner_of(store, "entry-2")

    async def play() -> None:
        await first._role.hold()
        with pytest.raises(NotHolderError):
            await second._role.hold()

    anyio.run(play)
