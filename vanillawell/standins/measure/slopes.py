"""Measure how the state, messages and CPU time of one entry grow with the size of the fleet.

All measurements run in this process, without a fleet.
"""

from __future__ import annotations

import functools
import random
import time
import tracemalloc
from typing import TYPE_CHECKING, Any

from vanillawell.coordination.pool_runtime import PoolRuntime
from vanillawell.protocol.documents import Configuration, Presence, next_limit_changes
from vanillawell.protocol.peer_messages import (
    Beat,
    DemandReport,
    NameTable,
    Versions,
    decode,
    encode,
)
from vanillawell.standins.deployment import Deployment, operator_tree
from vanillawell.standins.measure.fits import Fit, fit_line
from vanillawell.state.demand_table import DemandTable, Row
from vanillawell.state.limits import Demand, Ledger, LimitChange, OrganisationLimit, plan_ledger
from vanillawell.state.policy import compile_policy
from vanillawell.state.pool_steps import next_steps
from vanillawell.state.pools import (
    Assignment,
    FleetView,
    Home,
    Phase,
    Placement,
    Wave,
    WaveState,
)
from vanillawell.transport.backend import ExecutorLink
from vanillawell.transport.dialer import Dialer

if TYPE_CHECKING:
    from collections.abc import Callable

ORGANISATION_COUNTS = (100, 200, 430, 860)

INSTANCE_COUNTS = (500, 1000, 2000, 4000)

ROW_COUNTS = (10, 50, 200, 800)

ENTRY_COUNTS = (9, 30, 60, 120)

NAME_TABLE = NameTable(
    1000,
    tuple(f"pool-s{number}" for number in range(32)),
    tuple(f"organisation-{number:03d}" for number in range(430)),
)

MICROSECONDS = 1_000_000
"""Factor from seconds to microseconds."""


def cpu_seconds(action: Callable[[], object], tries: int = 5) -> float:
    """Return the lowest CPU time of an action over some tries."""
    times = []
    for _ in range(tries):
        started = time.process_time()
        action()
        times.append(time.process_time() - started)
    return min(times)


def build_configuration(organisations: int, instances: int, pools: int = 32) -> Configuration:
    """Build a configuration with a number of organisations, instances and pools."""
    deployment = Deployment.model_validate(
        {
            "name": "slopes",
            "zones": 20,
            "executors_per_service": instances // pools,
            "services": {f"s{number}": {} for number in range(pools)},
            "organisations": {
                f"organisation-{number:03d}": {"limit": 50} for number in range(organisations)
            },
        }
    )
    names = [f"s{s}-{n + 1}" for s in range(pools) for n in range(instances // pools)]
    tree = operator_tree(deployment, dict.fromkeys(names, 8080))
    return Configuration(1, "0" * 32, "x", 0.0, "", tree, next_limit_changes(tree, 1, {}))


def build_rows(count: int) -> tuple[Row, ...]:
    """Build a number of demand rows for one report."""
    rng = random.Random(1)
    return tuple(
        Row(
            f"pool-s{number % 32}",
            f"organisation-{number // 2:03d}",
            rng.randrange(1, 40),
            rng.random(),
        )
        for number in range(count)
    )


def build_heartbeat(rows: int) -> bytes:
    """Build an encoded heartbeat with a number of rows."""
    sender = Presence("entry-1-1", "0" * 12, "zone-1", "127.0.0.1", 7000, "127.0.0.1", 7001)
    report = DemandReport("entry-1-1", 1, 1_700_000_000_000, build_rows(rows))
    return encode(Beat(sender, Versions(1000, 2000), 0.5, (report,)), NAME_TABLE)


def allocated_bytes(build: Callable[[], object]) -> float:
    """Return the bytes that the result of `build` keeps allocated."""
    tracemalloc.start()
    result = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del result
    return float(size)


def measure_configuration() -> dict[str, Fit]:
    """Measure size, memory and apply time of a configuration by organisations and instances."""
    by_organisation = {n: build_configuration(n, 320).to_bytes() for n in ORGANISATION_COUNTS}
    by_instance = {n: build_configuration(100, n).to_bytes() for n in INSTANCE_COUNTS}

    def apply(data: bytes) -> Any:
        configuration = Configuration.from_bytes(data)
        return configuration, compile_policy(configuration.tree, 1, configuration.limit_changes)

    def fits(documents: dict[int, bytes], size: str) -> dict[str, Fit]:
        return {
            f"configuration bytes by {size}": fit_line(
                {n: len(d) for n, d in documents.items()}, "B"
            ),
            f"configuration memory by {size}": fit_line(
                {n: allocated_bytes(lambda d=d: apply(d)) for n, d in documents.items()},  # type: ignore[misc]
                "B",
            ),
            f"configuration apply time by {size}": fit_line(
                {
                    n: cpu_seconds(lambda d=d: apply(d), 3) * MICROSECONDS  # type: ignore[misc]
                    for n, d in documents.items()
                },
                "µs",
            ),
        }

    return fits(by_organisation, "organisations") | fits(by_instance, "instances")


def measure_assignment() -> dict[str, Fit]:
    """Measure the assignment document by the number of instances not serving in their home pool."""

    def document_bytes(count: int) -> bytes:
        placement = Placement("pool-s1", Phase.LEAVING, "pool-s2", 1.7e9)
        placements = {f"s{number % 32}-{number}": placement for number in range(count)}
        return Assignment(1, placements).to_bytes()

    sizes = (50, 200, 1000, 4000)
    return {
        "assignment bytes by instances in motion": fit_line(
            {n: len(document_bytes(n)) for n in sizes}, "B"
        )
    }


def measure_heartbeats() -> dict[str, Fit]:
    """Measure size, encode time and decode time of heartbeats by their number of rows."""
    encoded = {n: build_heartbeat(n) for n in ROW_COUNTS}
    return {
        "heartbeat bytes by rows": fit_line({n: len(data) for n, data in encoded.items()}, "B"),
        "heartbeat encode time by rows": fit_line(
            {
                n: cpu_seconds(lambda n=n: build_heartbeat(n)) * MICROSECONDS  # type: ignore[misc]
                for n in ROW_COUNTS
            },
            "µs",
        ),
        "heartbeat decode time by rows": fit_line(
            {
                n: cpu_seconds(lambda d=d: decode(d, NAME_TABLE)) * MICROSECONDS  # type: ignore[misc]
                for n, d in encoded.items()
            },
            "µs",
        ),
    }


def measure_ledgers() -> dict[str, Fit]:
    """Measure a scan of all ledgers by organisations, and the size of a ledger by its holders."""
    organisation = OrganisationLimit((LimitChange(1, 50),), 0.25, 60)
    holders = {f"entry-{n}/{n:012d}": 1 for n in range(30)}
    ledger = Ledger(50, 1, holders)
    demand = Demand(3, 2, 4, 20)

    def scan(count: int) -> None:
        for _ in range(count):
            plan_ledger(ledger, "entry-3/000000000003", organisation, demand, set())

    def document_bytes(count: int) -> bytes:
        return Ledger(500, 1, {f"entry-{n}/{n:012d}": 3 for n in range(count)}).to_bytes()

    return {
        "ledger scan time by organisations": fit_line(
            {n: cpu_seconds(lambda n=n: scan(n)) * MICROSECONDS for n in ORGANISATION_COUNTS}, "µs"  # type: ignore[misc]
        ),
        "ledger bytes by entries": fit_line({n: len(document_bytes(n)) for n in ENTRY_COUNTS}, "B"),
    }


def measure_slot_division() -> dict[str, Fit]:
    """Measure one division of the slots of a pool by the number of demand rows."""
    configuration = build_configuration(430, 4000)
    policy = compile_policy(configuration.tree, 1, configuration.limit_changes)
    shares = {name: organisation.share for name, organisation in policy.organisations.items()}

    def division_time(count: int) -> float:
        demand_table = DemandTable()
        rows = tuple(
            Row("pool-s1", f"organisation-{number:03d}", 3, 0.5)
            for number in range(min(count, 430))
        )
        demand_table.receive("zone-2", 3, 1, rows, 0.0)
        open_link = functools.partial(ExecutorLink, dialer=Dialer("127.0.0.1"))
        pool = PoolRuntime(policy.pools["pool-s1"], "zone-1", "entry-1-1", open_link)
        pool.configure(policy.pools["pool-s1"], ("entry-1-1",))
        return cpu_seconds(lambda: pool.refresh(demand_table, shares, 0.0))

    sizes = (50, 100, 200, 430)
    return {
        "slot division time by organisations": fit_line(
            {n: division_time(n) * MICROSECONDS for n in sizes}, "µs"
        )
    }


def build_planner_view(instances: int, pools: int = 32) -> FleetView:
    """Build the input of the planner during a wave; the last pool is the spare pool."""
    homes = {
        f"i{number:04d}": Home(
            f"pool-{number % pools}", f"zone-{number % 20}", f"rack-{number // (4 * pools)}"
        )
        for number in range(instances)
    }
    budgets = {f"pool-{number}": instances // pools // 2 for number in range(pools - 1)}
    wave = Wave("w", WaveState.RUNNING, tuple(homes))
    spare = f"pool-{pools - 1}"
    return FleetView(
        homes, budgets | {spare: 0}, frozenset([spare]), frozenset(homes), Assignment(1, {}, wave)
    )


def measure_planner() -> dict[str, Fit]:
    """Measure one decision of the planner by instances, with a new view for each try."""

    def decision_time(count: int) -> float:
        views = [build_planner_view(count) for _ in range(3)]
        return min(cpu_seconds(lambda v=v: next_steps(v, 0.0), 1) for v in views)  # type: ignore[misc]

    times = {n: decision_time(n) * MICROSECONDS for n in INSTANCE_COUNTS}
    return {"planner decision time by instances": fit_line(times, "µs")}


def measure_all() -> dict[str, Fit]:
    """Run all measurements of this module."""
    return (
        measure_configuration()
        | measure_assignment()
        | measure_heartbeats()
        | measure_ledgers()
        | measure_slot_division()
        | measure_planner()
    )
