"""Test that writes of a term that are made at the same time are fenced like all others."""

from __future__ import annotations

import pytest

from vanillawell import clock
from vanillawell.coordination.cycle_batch import CycleTransaction
from vanillawell.coordination.term import TermLostError
from vanillawell.protocol.store import Put
from vanillawell.tests.interruptible_store import InterruptibleStore, RecordingStore
from vanillawell.tests.store_setup import StoreSetup, take, with_store


@with_store
async def test_writes_beside_each_other_take_the_time_of_a_few(setup: StoreSetup) -> None:
    """The store is slow and hundreds of jobs have changed. One after the other, their records would
    take seconds, in which callers get no start."""
    stand_in, store = setup.stand_in, InterruptibleStore(setup.store)
    term = await take(store, "entry-0")
    store.answer_time = 0.1
    writes = [CycleTransaction(puts=[Put(f"value/{number}", b"x")]) for number in range(16)]
    stored: list[CycleTransaction] = []
    began = clock.read()
    await term.write_beside(writes, lambda item, _: stored.append(item))
    assert clock.read() - began < 16 * store.answer_time / 2
    assert len(stored) == len(writes)
    assert all(f"value/{number}" in stand_in.items for number in range(16))


@with_store
async def test_a_write_beside_others_has_no_effect_after_the_next_write(setup: StoreSetup) -> None:
    """The answer to a write is lost, so it is sent again, and the first one arrives seconds later.
    It would replace a newer record with an older one."""
    store = RecordingStore(setup.store)
    term = await take(store, "entry-0")
    old = CycleTransaction(puts=[Put("value/0", b"old")])
    await term.write_beside([old], lambda item, _: None)
    late = store.sent[-1]
    assert (await store.inner.transact(late)).succeeded
    await term.write([Put("value/0", b"new")])
    assert not (await store.inner.transact(late)).succeeded
    stored = await store.get("value/0")
    assert stored is not None
    assert stored.value == b"new"


@with_store
async def test_writes_of_a_previous_owner_beside_each_other_have_no_effect(
    setup: StoreSetup,
) -> None:
    """An owner is suspended until another one has taken over, and resumes between two writes."""
    stand_in, store = setup.stand_in, setup.store
    previous = await take(store, "entry-0")
    await previous.release()
    await take(store, "entry-1")
    writes = [CycleTransaction(puts=[Put(f"value/{number}", b"x")]) for number in range(3)]
    with pytest.raises(TermLostError):
        await previous.write_beside(writes, lambda item, _: None)
    assert not any(key.startswith("value/") for key in stand_in.items)
