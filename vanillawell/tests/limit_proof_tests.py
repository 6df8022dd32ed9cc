"""Test that no organisation exceeds its upper limit of running requests during faults.

The backend stand-ins continuously count the running requests of the organisation in the whole
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
    """Return a request that runs almost as long as the fleet allows."""
    return Call(mark=f"m{number}", run_seconds=1.6, timeout=6.0)


def under_load(
    fleet: Fleet,
    script: Callable[[SteadyCallers], None],
    make_call: Callable[[int], Call] = call,
    answers: int = 40,
) -> None:
    """Keep far more requests open than the limit allows while a script injects faults."""
    callers = SteadyCallers(list(fleet.entries.values()), make_call, open_requests=30)

    def run_script() -> None:
        wait_for_answers(callers, answers, "requests are answered before any fault")
        script(callers)
        wait_for_answers(callers, answers, "requests are answered after the faults")

    run_during_load(callers, run_script)
    counts = fleet.backend_counts()
    assert counts["most_running"]["guild"] <= LIMIT
    assert counts["most_running"]["guild"] >= LIMIT - 1, "too little of the limit was used"


def store_fault_scripts(fleet: Fleet) -> Iterator[Callable[[SteadyCallers], None]]:
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
    """The store goes down, answers late, or applies writes whose responses are lost.

    An entry that assumed such a write to have failed would use units that it has released, and the
    organisation would exceed its limit.
    """
    with running_fleet(tmp_path, **LONG_TERM) as fleet:

        def script(callers: SteadyCallers) -> None:
            for fault in store_fault_scripts(fleet):
                fault(callers)

        under_load(fleet, script)


def test_an_isolated_zone_continues_within_its_units(tmp_path: Path) -> None:
    """A zone is disconnected from the store and all other zones while requests arrive in every
    zone.

    If other zones took its units while it uses them, the organisation would exceed its limit. If
    the zone stopped at once, its requests would be refused for as long as it is isolated.
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
                "the isolated zone answers",
            )
            wait_for_answers(callers, 60, "all zones answer during the isolation")
            for name in ("store", "out", "in"):
                fleet.clear_fault(name)

        under_load(fleet, script)


def test_units_of_killed_entries_stay_charged_while_their_requests_run(tmp_path: Path) -> None:
    """An entry is killed while its requests run at backend servers, and restarts.

    If its new process or another entry used its units at once, the limit would be exceeded, because
    the requests sent before the kill are still running.
    """
    with running_fleet(tmp_path, **THREE_ZONES) as fleet:

        def script(callers: SteadyCallers) -> None:
            for name in ("entry-1-1", "entry-2-1"):
                fleet.entries[name].process.kill()
                fleet.entries[name].process.start()
                wait_until(lambda n=name: fleet.entries[n].ready, "the entry is ready again")  # type: ignore[misc]
            time.sleep(HOLDING_TERM)

        under_load(fleet, script, long_call, answers=6)


def test_units_of_a_permanently_lost_instance_are_reallocated(tmp_path: Path) -> None:
    """An entry's instance fails and is replaced under another name, so it never registers again.

    Its units must be available long before its term of a minute ends, but not while its requests
    may still run. Otherwise the organisation lacks a part of its limit, or exceeds it.
    """
    with running_fleet(tmp_path, **LONG_TERM) as fleet:

        def script(callers: SteadyCallers) -> None:
            lost_entry = entry_with_most_units(fleet)
            callers.remove_entry(lost_entry)
            fleet.remove_permanently(lost_entry)
            others = [entry for entry in fleet.entries.values() if entry is not lost_entry]
            wait_until(
                lambda: sum(units_held(entry) for entry in others) == LIMIT,
                "all units are held by other entries",
            )

        under_load(fleet, script, long_call, answers=6)


def entry_with_most_units(fleet: Fleet) -> EntryHandle:
    """Return the entry that holds the most units."""
    return max(fleet.entries.values(), key=units_held)


def test_a_paused_entry_does_not_use_expired_units(tmp_path: Path) -> None:
    """An entry is paused beyond its term, others take over its units, and it resumes.

    It has queued requests and does not know that time has passed. If it used its units before it
    renewed them, the organisation would exceed its limit.
    """
    with running_fleet(tmp_path, **THREE_ZONES) as fleet:

        def script(callers: SteadyCallers) -> None:
            paused = entry_with_most_units(fleet)
            paused.process.pause()
            time.sleep(HOLDING_TERM + 2.0 + 4.0)
            paused.process.resume()

        under_load(fleet, script)


def test_a_lowered_limit_holds_before_units_are_released(tmp_path: Path) -> None:
    """Operators lower a limit while all units are granted and in use.

    Running requests are not cancelled, but none may start above the new limit.
    """
    with running_fleet(tmp_path, **THREE_ZONES) as fleet:
        callers = SteadyCallers(list(fleet.entries.values()), call, open_requests=30)

        def script() -> None:
            wait_for_answers(callers, 60, "requests are answered under the old limit")
            fleet.cli("node", "set", "guild", "limit=3", "--wait")
            wait_until(lambda: fleet.backend_counts()["running"]["guild"] <= 3, "old requests end")
            fleet.reset_backend()
            wait_for_answers(callers, 60, "requests are answered under the new limit")
            assert fleet.backend_counts()["most_running"]["guild"] <= 3

        run_during_load(callers, script)
