"""Test that each owner continues to count the age of a wave, and never counts too much."""

from __future__ import annotations

import pytest

from vanillawell.coordination.leases import REFERENCE_CLOCKS
from vanillawell.coordination.wave_age import WaveAge
from vanillawell.tests.scheduling_builders import FixedClocks


def _stored_and_read(age: WaveAge) -> WaveAge:
    return WaveAge.from_document(age.to_document())


def test_successor_counts_time_without_owner() -> None:
    """The wave is 2 s old when its owner stores it, and is taken over 3 s later by an entry whose
    own clock shows an unrelated value."""
    age = WaveAge().updated(first_seen=8.0, clocks=FixedClocks({"i-1@1": 50.0}), now=10.0)
    assert (
        _stored_and_read(age).estimate_first_seen(FixedClocks({"i-1@1": 53.0}), now=700.0) == 695.0
    )


def test_slowest_clock_counts_and_new_incarnations_are_ignored() -> None:
    """Clocks may be slow but not fast; a restarted executor shows another clock. If more time were
    counted than has passed, tasks would be stopped before their wave is urgent."""
    before = FixedClocks({"i-1@1": 50.0, "i-2@1": 20.0, "i-3@1": 5.0})
    age = _stored_and_read(WaveAge().updated(first_seen=10.0, clocks=before, now=10.0))
    after = FixedClocks({"i-1@1": 53.0, "i-2@1": 22.9, "i-3@2": 900.0})
    assert age.estimate_first_seen(after, now=100.0) == pytest.approx(97.1)
    assert age.estimate_first_seen(FixedClocks({"i-3@2": 900.0}), now=100.0) == 100.0


def test_owner_without_clock_readings_keeps_stored_age() -> None:
    """Owners replace each other before they have read a clock. The first stored age stays valid and
    is more useful than a new one without clock readings, which no successor can date."""
    first = WaveAge().updated(first_seen=8.0, clocks=FixedClocks({"i-1@1": 50.0}), now=10.0)
    second = _stored_and_read(first).updated(first_seen=98.0, clocks=FixedClocks(), now=100.0)
    assert second.estimate_first_seen(FixedClocks({"i-1@1": 56.0}), now=500.0) == 492.0
    undated = WaveAge().updated(first_seen=8.0, clocks=FixedClocks(), now=10.0)
    assert _stored_and_read(undated).estimate_first_seen(FixedClocks(), now=100.0) == 98.0


def test_owner_adds_to_age_of_its_predecessors() -> None:
    first = WaveAge().updated(first_seen=8.0, clocks=FixedClocks({"i-1@1": 50.0}), now=10.0)
    first_seen = _stored_and_read(first).estimate_first_seen(
        FixedClocks({"i-1@1": 51.0}), now=100.0
    )
    second = _stored_and_read(first).updated(first_seen, FixedClocks({"i-2@1": 7.0}), now=101.0)
    assert (
        _stored_and_read(second).estimate_first_seen(FixedClocks({"i-2@1": 9.0}), now=300.0)
        == 294.0
    )


def test_stored_clocks_are_limited_to_reference_clocks() -> None:
    clocks = FixedClocks({f"i-{number}@1": 1.0 for number in range(2 * REFERENCE_CLOCKS)})
    assert (
        list(WaveAge().updated(0.0, clocks, 1.0).clocks) == list(clocks.readings)[:REFERENCE_CLOCKS]
    )


def test_progress_without_stored_age_is_read() -> None:
    """Entries of two versions own a shard alternately during an update."""
    document = {"decided": [], "confirmed": [], "completed": False}
    assert WaveAge.from_document(document) == WaveAge()


@pytest.mark.parametrize("damage", [{"age": "x"}, {"age": None}, {"clocks": []}, {"clocks": 1}])
def test_damaged_age_is_rejected(damage: dict[str, object]) -> None:
    with pytest.raises((TypeError, ValueError, AttributeError)):
        WaveAge.from_document(damage)
