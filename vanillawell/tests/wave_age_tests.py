"""Prove that the time of a wave is counted on by each owner, and never counted too long."""

from __future__ import annotations

import pytest

from vanillawell.coordination.leases import REFERENCE_CLOCKS
from vanillawell.coordination.wave_age import WaveAge
from vanillawell.tests.scheduling_builders import FixedClocks


def _handed_on(age: WaveAge) -> WaveAge:
    return WaveAge.from_document(age.to_document())


def test_a_successor_counts_the_time_in_which_nobody_owned_the_shard() -> None:
    """The wave is 2 s old when its owner stores it, and is taken over 3 s later, on an entry whose
    own clock shows something else altogether."""
    age = WaveAge().later(seen=8.0, clocks=FixedClocks({"i-1@1": 50.0}), now=10.0)
    assert _handed_on(age).seen_by(FixedClocks({"i-1@1": 53.0}), now=700.0) == 695.0


def test_the_slowest_clock_counts_and_new_lives_of_executors_tell_nothing() -> None:
    """Clocks may be slow, not fast; an executor that began anew shows another clock. If more was
    counted than has passed, tasks would be taken away before their wave is in a hurry."""
    before = FixedClocks({"i-1@1": 50.0, "i-2@1": 20.0, "i-3@1": 5.0})
    age = _handed_on(WaveAge().later(seen=10.0, clocks=before, now=10.0))
    after = FixedClocks({"i-1@1": 53.0, "i-2@1": 22.9, "i-3@2": 900.0})
    assert age.seen_by(after, now=100.0) == pytest.approx(97.1)
    assert age.seen_by(FixedClocks({"i-3@2": 900.0}), now=100.0) == 100.0


def test_an_owner_that_has_read_no_clock_hands_on_what_it_was_told() -> None:
    """Owners follow each other before they have read a clock. The first statement stays true, and
    is worth more than a new one that no successor can date."""
    first = WaveAge().later(seen=8.0, clocks=FixedClocks({"i-1@1": 50.0}), now=10.0)
    second = _handed_on(first).later(seen=98.0, clocks=FixedClocks(), now=100.0)
    assert second.seen_by(FixedClocks({"i-1@1": 56.0}), now=500.0) == 492.0
    undated = WaveAge().later(seen=8.0, clocks=FixedClocks(), now=10.0)
    assert _handed_on(undated).seen_by(FixedClocks(), now=100.0) == 98.0


def test_an_owner_counts_the_time_of_its_predecessors_on() -> None:
    first = WaveAge().later(seen=8.0, clocks=FixedClocks({"i-1@1": 50.0}), now=10.0)
    seen = _handed_on(first).seen_by(FixedClocks({"i-1@1": 51.0}), now=100.0)
    second = _handed_on(first).later(seen, FixedClocks({"i-2@1": 7.0}), now=101.0)
    assert _handed_on(second).seen_by(FixedClocks({"i-2@1": 9.0}), now=300.0) == 294.0


def test_no_more_clocks_are_stored_than_serve_as_references() -> None:
    clocks = FixedClocks({f"i-{number}@1": 1.0 for number in range(2 * REFERENCE_CLOCKS)})
    assert (
        list(WaveAge().later(0.0, clocks, 1.0).clocks) == list(clocks.readings)[:REFERENCE_CLOCKS]
    )


def test_progress_of_versions_that_stored_no_time_is_read() -> None:
    """Entries of two versions own a shard in turn during an update."""
    document = {"decided": [], "confirmed": [], "completed": False}
    assert WaveAge.from_document(document) == WaveAge()


@pytest.mark.parametrize("damage", [{"age": "x"}, {"age": None}, {"clocks": []}, {"clocks": 1}])
def test_a_damaged_time_is_told_apart(damage: dict[str, object]) -> None:
    with pytest.raises((TypeError, ValueError, AttributeError)):
        WaveAge.from_document(damage)
