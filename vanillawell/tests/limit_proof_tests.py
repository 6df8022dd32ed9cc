"""Prove that no organisation has more running than its upper limit, through every kind of fault.

The backend stand-ins count at every moment how many requests of the organisation run in the whole
fleet.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

from vanillawell.standins.processes import wait_until
from vanillawell.tests.builders import QUICK_TIMING
from vanillawell.tests.caller import Call
from vanillawell.tests.fleet_base import (
    SteadyCallers,
    run_during_load,
    running_fleet,
    send_one,
    units_held,
    wait_for_answers,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from pathlib import Path

    from vanillawell.standins.fleet import EntryHandle, Fleet

LIMIT = 6

HOLDING_TERM = 3.0

THREE_ZONES: dict[str, Any] = {
    "zones": 3,
    "entries_per_zone": 2,
    "executors_per_service": 6,
    "organisations": {"guild": {"limit": LIMIT}},
    "timing": QUICK_TIMING | {"holding_term": HOLDING_TERM, "longest_request": 2.0},
}


LONG_TERM = THREE_ZONES | {"timing": QUICK_TIMING | {"holding_term": 60.0, "longest_request": 2.0}}


def call(number: int) -> Call:
    return Call(mark=f"m{number}", run_seconds=0.05 + number % 4 * 0.05, timeout=3.0)


def long_call(number: int) -> Call:
    """Return a request that runs nearly as long as the fleet allows."""
    return Call(mark=f"m{number}", run_seconds=1.6, timeout=6.0)


def under_load(
    fleet: Fleet,
    script: Callable[[SteadyCallers], None],
    make_call: Callable[[int], Call] = call,
    answers: int = 40,
) -> None:
    """Keep far more requests open than the limit allows while a script plays faults."""
    callers = SteadyCallers(list(fleet.entries.values()), make_call, open_requests=30)

    def whole() -> None:
        wait_for_answers(callers, answers, "requests are answered before any fault")
        script(callers)
        wait_for_answers(callers, answers, "requests are answered after the faults")

    run_during_load(callers, whole)
    counts = fleet.backend_counts()
    assert counts["most_running"]["guild"] <= LIMIT
    assert counts["most_running"]["guild"] >= LIMIT - 1, "the limit was hardly used"


def outage_and_lost_answers(fleet: Fleet) -> Iterator[Callable[[SteadyCallers], None]]:
    def outage(callers: SteadyCallers) -> None:
        fleet.set_store_faults(down=True)
        wait_for_answers(callers, 60, "requests are answered without the store")
        fleet.set_store_faults(down=False)

    def lost_answers(callers: SteadyCallers) -> None:
        for _ in range(4):
            fleet.set_store_faults(lose_answers=3)
            wait_for_answers(callers, 30, "requests are answered while answers are lost")
        fleet.set_store_faults(lose_answers=0)

    def late_writes(callers: SteadyCallers) -> None:
        fleet.set_store_faults(delay=1.0)
        wait_for_answers(callers, 60, "requests are answered while the store is slow")
        fleet.set_store_faults(delay=0.0)

    yield from (outage, lost_answers, late_writes)


def test_store_outages_slow_and_lost_answers_never_exceed_the_limit(tmp_path: Path) -> None:
    """The store goes down, answers late, or applies writes whose answers never arrive.

    An entry that believed such a write to have failed would use units that it gave away, and
    the organisation would have more running than operators allow.
    """
    with running_fleet(tmp_path, **LONG_TERM) as fleet:

        def script(callers: SteadyCallers) -> None:
            for fault in outage_and_lost_answers(fleet):
                fault(callers)

        under_load(fleet, script)


def test_a_cut_off_zone_goes_on_within_what_it_holds(tmp_path: Path) -> None:
    """A zone loses the store and all other zones, and callers go on in every zone.

    If others took its units while it uses them, the organisation would exceed its limit; if it
    stopped at once, its callers would be refused for as long as the cut lasts.
    """
    with running_fleet(tmp_path, **LONG_TERM, fleet_settings={"reserve": 1.0}) as fleet:

        def script(callers: SteadyCallers) -> None:
            wait_until(
                lambda: all(units_held(entry) >= 1 for entry in fleet.entries.values()),
                "every entry holds its part of the reserve",
            )
            fleet.set_fault("store", "cut", link="store-1")
            fleet.set_fault("out", "cut", link="peer", source_zone=1)
            fleet.set_fault("in", "cut", link="peer", target_zone=1)
            time.sleep(1.0)
            entry = fleet.entries["entry-1-1"]
            wait_until(
                lambda: send_one(entry, Call(run_seconds=0.01)).status == 200,
                "the cut-off zone answers",
            )
            wait_for_answers(callers, 60, "all zones answer during the cut")
            for name in ("store", "out", "in"):
                fleet.clear_fault(name)

        under_load(fleet, script)


def test_killed_entries_do_not_free_units_that_still_run(tmp_path: Path) -> None:
    """An entry is killed while its requests run at backend servers, and starts again.

    Its new process, or any other entry, that used its units at once would run more than the
    limit, since what the killed one had sent goes on running.
    """
    with running_fleet(tmp_path, **THREE_ZONES) as fleet:

        def script(callers: SteadyCallers) -> None:
            for name in ("entry-1-1", "entry-2-1"):
                fleet.entries[name].process.kill()
                fleet.entries[name].process.start()
                wait_until(lambda n=name: fleet.entries[n].ready, "it is ready again")  # type: ignore[misc]
            time.sleep(HOLDING_TERM)

        under_load(fleet, script, long_call, answers=6)


def test_units_of_an_instance_that_is_gone_for_good_come_back(tmp_path: Path) -> None:
    """An entry's instance fails and is replaced under another name, so it never registers again.

    Its units must come back long before its term of a minute ends, but not while what it sent
    may still run; else its organisation lacks a part of its limit, or exceeds it.
    """
    with running_fleet(tmp_path, **LONG_TERM) as fleet:

        def script(callers: SteadyCallers) -> None:
            gone = busiest(fleet)
            callers.remove_entry(gone)
            fleet.remove_permanently(gone)
            others = [entry for entry in fleet.entries.values() if entry is not gone]
            wait_until(
                lambda: sum(units_held(entry) for entry in others) == LIMIT, "all units are back"
            )

        under_load(fleet, script, long_call, answers=6)


def busiest(fleet: Fleet) -> EntryHandle:
    """Return the entry that holds most units now."""
    return max(fleet.entries.values(), key=units_held)


def test_a_paused_entry_does_not_use_units_that_lapsed(tmp_path: Path) -> None:
    """An entry is paused beyond its term, others take over its units, and it wakes.

    It wakes with requests in its queue and does not know that time has passed. If it used its
    units before it asked again, the organisation would exceed its limit.
    """
    with running_fleet(tmp_path, **THREE_ZONES) as fleet:

        def script(callers: SteadyCallers) -> None:
            paused = busiest(fleet)
            paused.process.pause()
            time.sleep(HOLDING_TERM + 2.0 + 4.0)
            paused.process.resume()

        under_load(fleet, script)


def test_a_lowered_limit_holds_before_units_are_given_back(tmp_path: Path) -> None:
    """Operators lower a limit while all units are out and in use.

    Requests that run are not cut, but nothing new may start above the new limit.
    """
    with running_fleet(tmp_path, **THREE_ZONES) as fleet:
        callers = SteadyCallers(list(fleet.entries.values()), call, open_requests=30)

        def script() -> None:
            wait_for_answers(callers, 60, "requests are answered under the old limit")
            fleet.cli("node", "set", "guild", "limit=3", "--wait")
            wait_until(lambda: fleet.backend_counts()["running"]["guild"] <= 3, "old ones end")
            fleet.reset_backend()
            wait_for_answers(callers, 60, "requests are answered under the new limit")
            assert fleet.backend_counts()["most_running"]["guild"] <= 3

        run_during_load(callers, script)
