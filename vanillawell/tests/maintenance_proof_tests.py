"""Test maintenance waves, instance moves and budgets with real processes."""

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
    wait_for_answers,
)

if TYPE_CHECKING:
    from pathlib import Path

    from vanillawell.standins.fleet import EntryHandle, Fleet

SIX_EXECUTORS_WITH_SPARES: dict[str, Any] = {
    "zones": 2,
    "entries_per_zone": 2,
    "executors_per_service": 6,
    "spares": 3,
    "services": {"check": {"mean_seconds": 0.02, "budget": 2}},
    "organisations": {"guild": {"limit": 40}},
    "timing": QUICK_TIMING | {"longest_request": 2.0},
}

BUDGET = 2


def wave_state(fleet: Fleet) -> tuple[str, int]:
    """Return the state of the wave and the number of remaining instances."""
    document = fleet.cli("maintenance", "status")
    return document["state"], len(document["remaining"])


def small_rack_is_draining(fleet: Fleet) -> bool:
    """Return whether an instance of the small rack is not serving.

    If the larger rack fails now, the pool depends on the instances of the small one.
    """
    rows = fleet.cli("maintenance", "status")["instances"]
    not_serving = {row["instance"] for row in rows if row["phase"] != "serving"}
    return bool(not_serving & {"check-5", "check-6"})


def active_planner(fleet: Fleet) -> EntryHandle:
    """Return the entry that holds the planner role."""

    def last_state(entry: EntryHandle) -> str:
        lines = [line for line in entry.process.log_text.splitlines() if '"planner"' in line]
        return lines[-1] if lines else ""

    wait_until(
        lambda: any('"active"' in last_state(e) for e in fleet.entries.values()),
        "an entry becomes planner",
    )
    return next(e for e in fleet.entries.values() if '"active"' in last_state(e))


def check_wave(fleet: Fleet, replies: list[Any], reboots: int = 9) -> None:
    record = fleet.availability_record()
    assert record["least_planned"]["pool-check"] >= BUDGET
    assert len(record["reboots"]) == reboots
    assert set(record["reboots"].values()) == {1}
    assert [reply for reply in replies if reply.status != 200] == []
    windows = {name: (started, ends) for name, started, ends in record["windows"]}
    for run in fleet.backend_runs():
        if run["executor"] in windows:
            started, ends = windows[run["executor"]]
            overlap = run["started"] < ends - 0.1 and run["ended"] > started + 0.1
            assert not overlap, f"{run['executor']} ran requests during its reboot"


def make_callers(fleet: Fleet, open_requests: int = 8) -> SteadyCallers:
    return SteadyCallers(
        list(fleet.entries.values()),
        lambda n: Call(mark=f"m{n}", run_seconds=0.05 + n % 4 * 0.4, timeout=6.0),
        open_requests=open_requests,
    )


def test_a_wave_reboots_each_instance_once_without_cutting_requests(tmp_path: Path) -> None:
    """All instances are rebooted under load; four of six share a rack."""
    with running_fleet(tmp_path, **SIX_EXECUTORS_WITH_SPARES) as fleet:
        callers = make_callers(fleet)

        def script() -> None:
            wait_for_answers(callers, 20, "requests are answered")
            fleet.cli("maintenance", "start")
            wait_until(lambda: wave_state(fleet)[0] == "done", "the wave ends", timeout=90.0)

        replies = run_during_load(callers, script)
        check_wave(fleet, replies)
        record = fleet.availability_record()
        assert record["least_available"]["pool-check"] >= BUDGET + 1
        print(f"least available {record['least_available']}, moves {record['moves']}")


def test_a_wave_completes_despite_a_failed_rack_and_killed_and_paused_planners(
    tmp_path: Path,
) -> None:
    """During a wave a rack fails, the planner is killed, its successor is paused, the store fails.

    A step that is based on outdated state, or repeated, would take the pool below its budget or
    reboot an instance twice.
    """
    timing = SIX_EXECUTORS_WITH_SPARES["timing"] | {"holding_term": 4.0}
    with running_fleet(tmp_path, **SIX_EXECUTORS_WITH_SPARES | {"timing": timing}) as fleet:
        fleet.set_up_machines(reboot_seconds=2.0)
        callers = make_callers(fleet)

        def script() -> None:
            fleet.cli("maintenance", "start")
            wait_until(
                lambda: small_rack_is_draining(fleet), "the small rack is draining", timeout=60.0
            )
            rack = [f"check-{number}" for number in range(1, 5)]
            fleet.fail_instances(rack, 4.0)
            first = active_planner(fleet)
            callers.remove_entry(first)
            time.sleep(0.5)
            first.process.kill()
            second = next_planner(fleet, first)
            callers.remove_entry(second)
            time.sleep(0.5)
            second.process.pause()
            fleet.set_store_faults(down=True)
            time.sleep(1.0)
            fleet.set_store_faults(down=False)
            time.sleep(3.0)
            second.process.resume()
            wait_until(lambda: wave_state(fleet)[0] == "done", "the wave ends", timeout=90.0)

        run_during_load(callers, script)
        check_wave(fleet, [])
        assert fleet.availability_record()["least_available"]["pool-check"] >= BUDGET


def next_planner(fleet: Fleet, killed: EntryHandle) -> EntryHandle:
    others = [entry for entry in fleet.entries.values() if entry is not killed]

    def active(entry: EntryHandle) -> bool:
        lines = [line for line in entry.process.log_text.splitlines() if '"planner"' in line]
        return bool(lines) and '"active"' in lines[-1]

    wait_until(lambda: any(active(entry) for entry in others), "another entry becomes planner")
    return next(entry for entry in others if active(entry))


def test_a_moved_instance_gets_no_further_requests_from_its_old_pool(
    tmp_path: Path,
) -> None:
    """An instance is moved while callers use it, and an answer of the store is lost.

    The old pool must stop using the instance within seconds; later requests would run on an
    instance that belongs to another pool.
    """
    services = {
        "check": {"mean_seconds": 0.02, "budget": 2},
        "stamp": {"mean_seconds": 0.02, "budget": 1},
    }
    with running_fleet(tmp_path, **SIX_EXECUTORS_WITH_SPARES | {"services": services}) as fleet:
        callers = make_callers(fleet)

        def placed() -> bool:
            document = fleet.entries["entry-1-1"].status()["pools"]
            return bool(document["pool-stamp"]["executors"] == 7)

        def script() -> None:
            wait_for_answers(callers, 20, "requests are answered")
            fleet.set_store_faults(lose_answers=1)
            fleet.cli("pool", "move", "check-5", "pool-stamp")
            started = time.monotonic()
            wait_until(placed, "the move ends")
            print(f"moved after {time.monotonic() - started:.2f} s")
            fleet.reset_backend()
            wait_for_answers(callers, 100, "requests are answered after the move")

        replies = run_during_load(callers, script)
        assert [reply for reply in replies if reply.status != 200] == []
        assert [run for run in fleet.backend_runs() if run["executor"] == "check-5"] == []


def test_an_instance_used_by_a_cut_off_zone_is_not_reassigned(tmp_path: Path) -> None:
    """A zone loses the store and all peers and continues to serve; an instance is moved.

    Its entries drop out of the member list and do not receive the assignment. If the planner asked
    only listed entries, the instance would serve two pools at once.
    """
    services = {
        "check": {"mean_seconds": 0.02, "budget": 2},
        "stamp": {"mean_seconds": 0.02, "budget": 1},
    }
    with running_fleet(tmp_path, **SIX_EXECUTORS_WITH_SPARES | {"services": services}) as fleet:
        observer = fleet.entries["entry-1-1"]
        callers = make_callers(fleet, open_requests=24)

        def executors(pool: str) -> int:
            return int(observer.status()["pools"][pool]["executors"])

        def script() -> None:
            wait_for_answers(callers, 20, "requests are answered")
            cut_off_zone_2(fleet)
            wait_until(
                lambda: observer.status()["entries"] == 2, "two entries drop out of the member list"
            )
            fleet.cli("pool", "move", "check-5", "pool-stamp")
            wait_until(
                lambda: executors("pool-check") == 5, "the instance is removed from the old pool"
            )
            fleet.reset_backend()
            wait_for_answers(callers, 100, "requests are answered during the cut")
            wait_until(
                lambda: "check-5" in {run["executor"] for run in fleet.backend_runs()},
                "the cut-off zone still uses it",
            )
            assert executors("pool-stamp") == 6, "the instance was reassigned while it was in use"
            for name in ("store", "in", "out"):
                fleet.clear_fault(name)
            wait_until(lambda: executors("pool-stamp") == 7, "the move ends after the cut")

        replies = run_during_load(callers, script)
        assert [reply for reply in replies if reply.status != 200] == []


def cut_off_zone_2(fleet: Fleet) -> None:
    """Disconnect zone 2 from the store and from the other zone's entries."""
    fleet.set_fault("store", "cut", link="store-2")
    fleet.set_fault("out", "cut", link="peer", source_zone=2)
    fleet.set_fault("in", "cut", link="peer", target_zone=2)
