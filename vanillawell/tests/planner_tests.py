"""Test that a planner that was replaced during a step cannot write."""

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
from vanillawell.tests.fakes import FaultyStore
from vanillawell.transport.admin_client import AdminAccess

if TYPE_CHECKING:
    from vanillawell.protocol.documents import Presence

KEYS = StoreKeys("/t")


class LeasedMember:
    """Minimal membership for a planner."""

    def __init__(self, me: Presence) -> None:
        self.me = me
        self.lease = 7


def planner_of(store: FaultyStore, name: str) -> tuple[Planner, AssignmentSync]:
    member: Any = LeasedMember(presence(name))
    anything: Any = None
    plain: Any = store
    assignment_sync = AssignmentSync(plain, KEYS, member, store_settings(1), Telemetry())
    planner = Planner(
        plain,
        KEYS,
        anything,
        member,
        anything,
        assignment_sync,
        dict,
        AdminAccess(),
        timing(),
        Telemetry(),
    )
    return planner, assignment_sync


def assignment(version: int, instance: str) -> Assignment:
    return Assignment(version, {instance: Placement("pool-a", Phase.LEAVING)})


def test_a_paused_planner_cannot_write_after_another_took_over() -> None:
    """A planner is paused between check and write; its lease expires and another takes over.

    If its write succeeded, both planners would remove an instance of the same pool, and the pool
    could fall below its budget.
    """
    store = FaultyStore()
    first, first_sync = planner_of(store, "entry-1")
    second, second_sync = planner_of(store, "entry-2")

    async def run_script() -> None:
        await first._role.acquire()
        await first_sync.check_store()
        store.delete(KEYS.planner)
        await second._role.acquire()
        await second_sync.check_store()
        with pytest.raises(NotHolderError):
            await first._write(assignment(1, "a1"))
        await second._write(assignment(1, "a2"))

    anyio.run(run_script)
    assert list(second_sync.assignment.placements) == ["a2"]


def test_a_step_checked_against_an_outdated_assignment_is_not_written() -> None:
    """An operator starts a move between a planner's check and its write."""
    store = FaultyStore()
    planner, assignment_sync = planner_of(store, "entry-1")

    async def run_script() -> None:
        await planner._role.acquire()
        await assignment_sync.check_store()
        store.put(KEYS.assignment, assignment(1, "b1").to_bytes())
        with pytest.raises(NotHolderError):
            await planner._write(assignment(1, "a1"))

    anyio.run(run_script)
    assert list(assignment_sync.assignment.placements) == ["b1"]


def test_only_one_planner_acquires_the_role() -> None:
    store = FaultyStore()
    first, _ = planner_of(store, "entry-1")
    second, _ = planner_of(store, "entry-2")

    async def run_script() -> None:
        await first._role.acquire()
        with pytest.raises(NotHolderError):
            await second._role.acquire()

    anyio.run(run_script)
