"""Test with real processes that spare instances follow demand without failing requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from vanillawell.standins.processes import wait_until
from vanillawell.tests.builders import QUICK_TIMING
from vanillawell.tests.caller import Call
from vanillawell.tests.fleet_base import SteadyCallers, run_during_load, running_fleet

if TYPE_CHECKING:
    from pathlib import Path

    from vanillawell.standins.fleet import EntryHandle, Fleet

OWN_INSTANCES = 2
SLOTS_PER_INSTANCE = 2
SPARES = 3
SPARE_BUDGET = 1

TWO_POOLS: dict[str, Any] = {
    "entries_per_zone": 2,
    "executors_per_service": OWN_INSTANCES,
    "slots": SLOTS_PER_INSTANCE,
    "spares": SPARES,
    "services": {"check": {"budget": 0}, "stamp": {"budget": 0}},
    "organisations": {"guild": {"limit": 200}},
    "timing": QUICK_TIMING,
    "fleet_settings": {"lending": "buffer-cost"},
}


def executors(entry: EntryHandle, pool: str) -> int:
    return int(entry.status()["pools"][pool]["executors"])


def is_lent_to(entry: EntryHandle, pool: str) -> bool:
    """Return whether a pool has all instances that may be lent.

    Also check that the spare pool never falls below its budget.
    """
    pools = entry.status()["pools"]
    assert pools["pool-spare"]["executors"] >= SPARE_BUDGET
    return bool(pools[pool]["executors"] == OWN_INSTANCES + SPARES - SPARE_BUDGET)


def overload_callers(fleet: Fleet, service: str) -> SteadyCallers:
    """Build callers that request more than three times the capacity of a pool.

    There are few of them and they hold their slots for long, so that slots are the scarce resource
    and not the test machine. On an overloaded machine callers are delayed before they send, and the
    fleet sees little of their demand.
    """
    return SteadyCallers(
        list(fleet.entries.values()),
        lambda n: Call(service=service, mark=f"{service}{n}", run_seconds=0.6, timeout=10.0),
        open_requests=3 * OWN_INSTANCES * SLOTS_PER_INSTANCE + 2,
    )


def test_spare_instances_follow_demand_between_pools_and_return(tmp_path: Path) -> None:
    """One queue after another requests more than its pool can serve.

    Without lending, callers wait while instances are idle. No request may fail during the moves.
    """
    with running_fleet(tmp_path, **TWO_POOLS) as fleet:
        fleet.cli("node", "set", "pool-spare", f"budget={SPARE_BUDGET}", "--wait")
        entry = fleet.entries["entry-1-1"]
        for service in ("check", "stamp"):
            pool = f"pool-{service}"
            replies = run_during_load(
                overload_callers(fleet, service),
                lambda pool=pool: wait_until(  # type: ignore[misc]
                    lambda: is_lent_to(entry, pool), "both spare instances are lent"
                ),
            )
            assert [reply for reply in replies if reply.status not in (200, 429)] == []
        wait_until(
            lambda: executors(entry, "pool-spare") == SPARES
            and executors(entry, "pool-check") == executors(entry, "pool-stamp") == OWN_INSTANCES,
            "all instances are back in their pools",
        )
        lent_runs = [r for r in fleet.backend_runs() if r["executor"].startswith("spare-")]
        assert lent_runs, "lent instances ran no request"
