"""Measure requests under seeded load, each with a baseline from the same run for comparison."""

from __future__ import annotations

import statistics
import time
from typing import Any

import anyio

from vanillawell.standins.deployment import Deployment
from vanillawell.standins.fleet import Fleet
from vanillawell.standins.load import (
    LoadGenerator,
    LoadResult,
    Stream,
    Target,
    constant_rate,
    peak_rate,
)
from vanillawell.standins.measure.fleets import (
    BASELINE,
    run_load,
    run_load_with_slot_usage,
    running_fleet,
    summarise,
)
from vanillawell.standins.processes import wait_until
from vanillawell.state.slot_allocation import fair_slots


def measure_shares(deployment: Deployment, seed: int) -> dict[str, Any]:
    """Measure how close slot usage comes to the shares at a demand of three times the capacity.

    The slots due to an organisation follow from weighted max-min fairness on its demand: an
    organisation that demands less than its share is due only what it demands.
    """
    service = next(iter(deployment.services))
    organisations = {
        name: organisation.model_copy(update={"limit": 500})
        for name, organisation in deployment.organisations.items()
    }
    total_weight = sum(organisation.weight for organisation in organisations.values())
    slots = deployment.executors_per_service * deployment.slots
    rate = 3 * slots / 0.1

    def run(experiment: dict[str, str]) -> dict[str, Any]:
        changes = {
            "organisations": {
                name: organisation.model_dump() for name, organisation in organisations.items()
            },
            "services": {service: {"mean_seconds": 0.1}},
            "experiment": experiment,
            "fleet_settings": {"queue_length": 40},
        }
        with running_fleet(deployment, **changes) as fleet:
            streams = [
                Stream(
                    name,
                    service,
                    constant_rate(rate * organisation.weight / total_weight),
                    timeout=3.0,
                )
                for name, organisation in organisations.items()
            ]
            run_load(fleet, streams, 3.0, seed)
            fleet.reset_backend()
            result, used = run_load_with_slot_usage(fleet, streams, 8.0, seed + 1)
        total = sum(used.values())
        demands = {
            name: rate * organisation.weight / total_weight * 0.1
            for name, organisation in organisations.items()
        }
        fair_allocation = fair_slots(
            slots,
            demands,
            {name: organisation.share for name, organisation in organisations.items()},
        )
        distances = {
            name: abs(used.get(name, 0.0) / total / (fair_allocation[name] / slots) - 1)
            for name in organisations
        }
        return {
            "largest_distance": round(max(distances.values()), 3),
            "mean_distance": round(statistics.fmean(distances.values()), 3),
            "by_organisation": {
                name: {
                    "part_due": round(fair_allocation[name] / slots, 3),
                    "part_used": round(used.get(name, 0.0) / total, 3),
                    "refused": dict(result.caller_statistics[name].refused),
                }
                for name in organisations
            },
            "slots_used": round(total / 8.0 / slots, 3),
            **summarise(result),
        }

    return {"product": run({}), "baseline": run(BASELINE)}


def measure_urgent(deployment: Deployment, seed: int) -> dict[str, Any]:
    """Measure the latency of urgent requests while deferrable requests overload the pool."""
    service = next(iter(deployment.services))
    slots = deployment.executors_per_service * deployment.slots
    changes = {
        "organisations": {"urgent": {"limit": 100}, "nightly": {"limit": 500}},
        "services": {service: {"mean_seconds": 0.1}},
    }
    with running_fleet(deployment, **changes) as fleet:
        streams = [
            Stream("nightly", service, constant_rate(3 * slots / 0.1), timeout=3.0, urgency=6),
            Stream("urgent", service, constant_rate(0.2 * slots / 0.1), timeout=3.0),
        ]
        run_load(fleet, streams, 2.0, seed)
        result = run_load(fleet, streams, 8.0, seed + 1)
    caller_statistics = result.caller_statistics.items()
    return {
        name: summarise(LoadResult(result.seconds, {name: tally}))
        for name, tally in caller_statistics
    }


def measure_one_zone(deployment: Deployment, seed: int) -> dict[str, Any]:
    """Measure how much of an organisation's limit is used if all its demand is in one zone."""
    service = next(iter(deployment.services))

    def run(experiment: dict[str, str]) -> dict[str, Any]:
        changes = {
            "organisations": {"solo": {"limit": 27}},
            "services": {service: {"mean_seconds": 0.1}},
            "experiment": experiment,
        }
        with running_fleet(deployment, **changes) as fleet:
            streams = [Stream("solo", service, constant_rate(600.0), timeout=1.0, zone=1)]
            run_load(fleet, streams, 3.0, seed)
            fleet.reset_backend()
            result = run_load(fleet, streams, 6.0, seed + 1)
            counts = fleet.backend_counts()
        used = sum(counts["slot_seconds"].values()) / result.seconds
        max_running = counts["most_running"].get("solo", 0)
        return {
            "limit": 27,
            "mean_used": round(used, 1),
            "most_running": max_running,
            **summarise(result),
        }

    return {"product": run({}), "baseline": run(BASELINE)}


def measure_peak(deployment: Deployment, seed: int, fault: str = "") -> dict[str, Any]:
    """Measure goodput and latency at load peaks of five times the mean, with a named fault."""
    services = list(deployment.services)
    total_weight = sum(organisation.weight for organisation in deployment.organisations.values())

    def run(experiment: dict[str, str]) -> dict[str, Any]:
        with running_fleet(deployment, experiment=experiment) as fleet:
            inject_fault(fleet, fault)
            streams = [
                Stream(
                    name,
                    service,
                    peak_rate(60 * organisation.weight / total_weight, 10.0, 2.0 * number, 2.0),
                    method="POST" if number % 2 else "GET",
                    timeout=3.0,
                )
                for number, service in enumerate(services)
                for name, organisation in deployment.organisations.items()
            ]
            result = run_load(fleet, streams, 20.0, seed)
            counts = fleet.backend_counts()
        return {
            "refused_by_executors": counts["refused"],
            "runs": counts["runs"],
            **summarise(result),
        }

    return {"fault": fault or "none", "product": run({}), "baseline": run(BASELINE)}


def inject_fault(fleet: Fleet, name: str) -> None:
    """Inject the fault with this name into a fleet; an empty name stands for no fault."""
    first_executors = [f"{service}-1" for service in fleet.deployment.services]
    match name:
        case "fail-fast":
            fleet.set_behaviour(first_executors, fail_fast=True)
        case "store-down":
            fleet.set_store_faults(down=True)
        case "store-slow":
            fleet.set_store_faults(delay=0.3)
        case "":
            return
        case _:
            raise ValueError(f"unknown fault {name!r}")


def measure_keyed(deployment: Deployment, seed: int) -> dict[str, Any]:
    """Measure the cost of at-most-once execution, by the state of the store.

    Requests are sent with and without an Idempotency-Key.
    """
    service = next(iter(deployment.services))
    changes = {
        "organisations": {"solo": {"limit": 500}},
        "services": {service: {"mean_seconds": 0.02}},
    }
    results: dict[str, Any] = {}
    with running_fleet(deployment, **changes) as fleet:

        def run(keyed: bool, seconds: float = 8.0) -> dict[str, Any]:
            stream = Stream("solo", service, constant_rate(300.0), "POST", 3.0, keyed=keyed)
            before = fleet.store_counts()["calls"]
            result = run_load(fleet, [stream], seconds, seed)
            after = fleet.store_counts()["calls"]
            calls = {name: after[name] - before.get(name, 0) for name in after}
            return {
                **summarise(result),
                "transactions_per_second": round(calls.get("kv/txn", 0) / result.seconds, 1),
            }

        run(True, 2.0)
        for name, faults in (
            ("store well", {}),
            ("store answers after 0.3 s", {"delay": 0.3}),
            ("store down", {"delay": 0.0, "down": True}),
        ):
            fleet.set_store_faults(**faults)
            results[name] = {"without key": run(False), "with key": run(True)}
    return results


def measure_overhead(deployment: Deployment, seed: int) -> dict[str, Any]:
    """Measure what one entry adds to a request, compared with direct calls to an executor."""
    changes = {
        "zones": 1,
        "entries_per_zone": 1,
        "zone_delay_ms": 0.0,
        "client_delay_ms": 0.0,
        "services": {"check": {"mean_seconds": 0.001}},
        "organisations": {"solo": {"limit": 1000}},
    }
    with running_fleet(deployment, **changes) as fleet:
        entry = fleet.entries["entry-1-1"]
        idle_kilobytes = entry.process.resident_kilobytes()
        warm_up = [Stream("solo", "check", constant_rate(200.0))]
        run_load(fleet, warm_up, 2.0, seed)
        before = entry.process.cpu_seconds()
        steady_load = run_load(fleet, [Stream("solo", "check", constant_rate(300.0))], 8.0, seed)
        cpu = entry.process.cpu_seconds() - before
        generator = LoadGenerator([fleet.executor_target("check-1")], seed)
        direct = anyio.run(
            generator.run,
            [Stream("solo", "check", constant_rate(300.0))],
            8.0,
            backend_options={"use_uvloop": True},
        )
        max_rates = closed_loop_rates(fleet, seed)
        entry.process.kill()
        restarted_at = time.monotonic()
        entry.process.start()
        wait_until(lambda: entry.ready, "the entry is ready again")
        start_seconds = time.monotonic() - restarted_at
    answered = steady_load.total().answered
    return {
        "through_entry": summarise(steady_load),
        "direct": summarise(direct),
        "cpu_microseconds_per_request": round(cpu / answered * 1e6),
        "most_requests_per_second": max_rates,
        "idle_kilobytes": idle_kilobytes,
        "start_seconds": round(start_seconds, 2),
    }


def closed_loop_rates(fleet: Fleet, seed: int) -> dict[str, float]:
    """Return requests per second of an entry and an executor, by 24 callers in a closed loop."""

    async def drive(target: Target) -> float:
        generator = LoadGenerator([target], seed)
        return await generator.closed_loop(Stream("solo", "check", constant_rate(1.0)), 24, 4.0)

    entry = fleet.entries["entry-1-1"]
    options = {"use_uvloop": True}
    through = anyio.run(drive, Target(entry.host, entry.ports.caller), backend_options=options)
    direct = anyio.run(drive, fleet.executor_target("check-2"), backend_options=options)
    return {"through_entry": round(through), "direct": round(direct)}
