"""Test that operators can take an availability zone out of use while callers are served."""

from __future__ import annotations

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

    from vanillawell.standins.fleet import Fleet

TWO_ZONES: dict[str, Any] = {
    "zones": 2,
    "entries_per_zone": 2,
    "executors_per_service": 6,
    "services": {"check": {"mean_seconds": 0.02, "budget": 1}},
    "organisations": {"guild": {"limit": 40}},
    "timing": QUICK_TIMING | {"longest_request": 2.0},
}

ZONE = "zone-2"
"""Zone of the last two of the six executors."""

EXECUTORS_OF_ZONE = {"check-5", "check-6"}


def _used_executors(fleet: Fleet) -> set[str]:
    return {str(run["executor"]) for run in fleet.backend_runs()}


def test_evacuated_zone_gets_no_requests_until_it_is_taken_back(tmp_path: Path) -> None:
    """Under load, no request is lost and none is sent to the zone once the command has returned."""
    with running_fleet(tmp_path, **TWO_ZONES) as fleet:
        callers = SteadyCallers(
            list(fleet.entries.values()),
            lambda number: Call(mark=f"m{number}", run_seconds=0.05, timeout=4.0),
            open_requests=16,
        )

        def script() -> None:
            wait_until(lambda: _used_executors(fleet) >= EXECUTORS_OF_ZONE, "the zone is used")
            fleet.cli("zone", "evacuate", ZONE, "--reason", "cooling", "--wait")
            fleet.cli("zone", "wait", ZONE, "--within", "10")
            rows = fleet.cli("zone", "list")
            assert [(row["zone"], row["reason"], row["running"]) for row in rows] == [
                (ZONE, "cooling", 0)
            ]
            fleet.reset_backend()
            wait_for_answers(callers, 60, "requests are answered meanwhile")
            assert not EXECUTORS_OF_ZONE & _used_executors(fleet)
            fleet.cli("zone", "take-back", ZONE, "--wait")
            wait_until(lambda: _used_executors(fleet) >= EXECUTORS_OF_ZONE, "the zone is used")

        replies = run_during_load(callers, script)
        assert [reply for reply in replies if reply.status != 200] == []


def test_unknown_zone_is_refused_and_nothing_changes(tmp_path: Path) -> None:
    """A mistyped zone name must not look like an evacuation that has taken effect."""
    with running_fleet(tmp_path, **TWO_ZONES) as fleet:
        before = fleet.cli("config", "show")
        result = fleet.try_cli("zone", "evacuate", "zone-22")
        assert result.returncode
        assert "known zones: zone-1, zone-2" in result.stderr
        assert fleet.cli("config", "show") == before
