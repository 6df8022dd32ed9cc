"""Test in which order starts that wait for an executor leave."""

from __future__ import annotations

import anyio
from hypothesis import given
from hypothesis import strategies as st

from vanillawell.coordination.start_slots import TURN_LENGTH, StartSlots

SLOTS = 4


async def _order(starts: list[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the order in which starts are granted, all of which wait for slots that are in use."""
    slots, granted = StartSlots(SLOTS), list[tuple[str, str]]()
    leave = anyio.Event()

    async def occupy() -> None:
        async with slots.slot("other", "other"):
            await leave.wait()

    async def start(organisation: str, job_id: str) -> None:
        async with slots.slot(organisation, job_id):
            granted.append((organisation, job_id))
            await anyio.sleep(0)

    async with anyio.create_task_group() as tasks:
        for _ in range(SLOTS):
            tasks.start_soon(occupy)
        await anyio.wait_all_tasks_blocked()
        for item in starts:
            tasks.start_soon(start, *item)
            await anyio.lowlevel.checkpoint()
        await anyio.wait_all_tasks_blocked()
        leave.set()
    return granted


def order(starts: list[tuple[str, str]]) -> list[tuple[str, str]]:
    return anyio.run(_order, starts)


# Guards against small jobs of others that wait for seconds behind the starts of one large job.
def test_starts_of_others_wait_for_one_turn_of_a_large_job() -> None:
    large, small = [("north", "large")] * 500, [("south", "small")] * 2
    granted = order(large + small)
    assert max(index for index, item in enumerate(granted) if item in small) < TURN_LENGTH + 2


# Guards against the same behind many small jobs of one organisation, and within an organisation.
def test_starts_wait_for_one_turn_of_other_jobs_and_organisations() -> None:
    many = [("north", f"job-{number}") for number in range(300)]
    granted = order([*many, ("south", "small")])
    assert granted.index(("south", "small")) <= TURN_LENGTH
    granted = order([("north", "large")] * 15 + [("north", "small")])
    assert granted[-1] == ("north", "small")


# Guards against a usual load that is served in another order than it was decided in.
def test_few_starts_leave_in_the_order_of_their_decision() -> None:
    starts = [("north", "a")] * 6 + [("south", "b")] * 6 + [("north", "c")] * 6
    assert order(starts) == starts


@given(st.lists(st.tuples(st.sampled_from("ns"), st.sampled_from("abc")), max_size=80))
def test_each_start_leaves_once(starts: list[tuple[str, str]]) -> None:
    assert sorted(order(starts)) == sorted(starts)


# Guards against a slot that is lost with a start that is cancelled as it is granted.
def test_cancelled_starts_give_their_slots_back() -> None:
    async def run() -> None:
        slots = StartSlots(1)

        async def start(seconds: float) -> None:
            async with slots.slot("north", "a"):
                await anyio.sleep(seconds)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(start, 60.0)
            await anyio.wait_all_tasks_blocked()
            for _ in range(3):
                tasks.start_soon(start, 60.0)
            await anyio.wait_all_tasks_blocked()
            tasks.cancel_scope.cancel()
        with anyio.fail_after(1):
            await start(0.0)
        assert slots._waiting == []

    anyio.run(run)
