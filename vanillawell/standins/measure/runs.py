"""Measure whole fleets under seeded load, each against a plain baseline in the same run."""

from __future__ import annotations

import random
import statistics
import tempfile
import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import anyio

from vanillawell.standins.deployment import Deployment
from vanillawell.standins.fleet import Fleet
from vanillawell.standins.load import LoadGenerator, LoadResult, Stream, Target, peaks, steady
from vanillawell.standins.processes import wait_until
from vanillawell.state.allotment import fair_slots

BASELINE = {"routing": "least-loaded", "queue": "fifo", "limits": "static", "retries": "unbudgeted"}
"""All decisions replaced by plain ones."""


@contextmanager
def fleet_of(deployment: Deployment, **changes: Any) -> Iterator[Fleet]:
    """Run a fleet in a folder of its own."""
    with tempfile.TemporaryDirectory(prefix="vanillawell-") as folder:
        document = deployment.model_dump() | changes
        with Fleet(Deployment.model_validate(document), Path(folder)) as fleet:
            yield fleet


def targets_of(fleet: Fleet) -> list[Target]:
    """Return all entries as targets."""
    return [Target(e.host, e.ports.caller, e.zone) for e in fleet.entries.values()]


def load(fleet: Fleet, streams: Sequence[Stream], seconds: float, seed: int) -> LoadResult:
    """Send streams to a fleet."""
    generator = LoadGenerator(targets_of(fleet), seed, fleet.deployment.client_delay_ms / 1000)
    return anyio.run(generator.run, streams, seconds, backend_options={"use_uvloop": True})


def load_window(
    fleet: Fleet, streams: Sequence[Stream], seconds: float, seed: int
) -> tuple[LoadResult, dict[str, float]]:
    """Send streams, and read the slots used when sending ends, before queues run dry."""
    generator = LoadGenerator(targets_of(fleet), seed, fleet.deployment.client_delay_ms / 1000)
    used: dict[str, float] = {}
    results: list[LoadResult] = []

    async def send() -> None:
        results.append(await generator.run(streams, seconds))

    async def both() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send)
            await anyio.sleep(seconds)
            counts = await anyio.to_thread.run_sync(fleet.backend_counts)
            used.update(counts["slot_seconds"])

    anyio.run(both, backend_options={"use_uvloop": True})
    return results[0], used


def summary(result: LoadResult) -> dict[str, Any]:
    """Return what callers saw, as plain data."""
    total = result.total()
    return {
        "sent": total.sent,
        "answered": total.answered,
        "refused": dict(total.refused),
        "broken": dict(total.broken),
        "p50_ms": round(total.percentile(0.5) * 1000, 1),
        "p99_ms": round(total.percentile(0.99) * 1000, 1),
    }


def measure_shares(deployment: Deployment, seed: int) -> dict[str, Any]:
    """Measure nearness to share while the teams ask for three times what one pool holds.

    What is due to a team is its part by weighted max-min fairness on what it offers: a team
    that offers less than its share is due just that.
    """
    service = next(iter(deployment.services))
    teams = {
        name: team.model_copy(update={"limit": 500}) for name, team in deployment.teams.items()
    }
    weights = sum(team.weight for team in teams.values())
    slots = deployment.executors_per_service * deployment.slots
    rate = 3 * slots / 0.1

    def run(experiment: dict[str, str]) -> dict[str, Any]:
        changes = {
            "teams": {name: team.model_dump() for name, team in teams.items()},
            "services": {service: {"mean_seconds": 0.1}},
            "experiment": experiment,
            "fleet_settings": {"queue_length": 40},
        }
        with fleet_of(deployment, **changes) as fleet:
            streams = [
                Stream(name, service, steady(rate * team.weight / weights), timeout=3.0)
                for name, team in teams.items()
            ]
            load(fleet, streams, 3.0, seed)
            fleet.reset_backend()
            result, used = load_window(fleet, streams, 8.0, seed + 1)
        total = sum(used.values())
        offered = {name: rate * team.weight / weights * 0.1 for name, team in teams.items()}
        due = fair_slots(slots, offered, {name: team.share for name, team in teams.items()})
        distances = {
            name: abs(used.get(name, 0.0) / total / (due[name] / slots) - 1) for name in teams
        }
        return {
            "largest_distance": round(max(distances.values()), 3),
            "mean_distance": round(statistics.fmean(distances.values()), 3),
            "by_team": {
                name: {
                    "part_due": round(due[name] / slots, 3),
                    "part_used": round(used.get(name, 0.0) / total, 3),
                    "refused": dict(result.tallies[name].refused),
                }
                for name in teams
            },
            "slots_used": round(total / 8.0 / slots, 3),
            **summary(result),
        }

    return {"product": run({}), "baseline": run(BASELINE)}


def measure_urgent(deployment: Deployment, seed: int) -> dict[str, Any]:
    """Measure how soon urgent requests are answered while deferrable ones flood the pool."""
    service = next(iter(deployment.services))
    slots = deployment.executors_per_service * deployment.slots
    changes = {
        "teams": {"urgent": {"limit": 100}, "nightly": {"limit": 500}},
        "services": {service: {"mean_seconds": 0.1}},
    }
    with fleet_of(deployment, **changes) as fleet:
        streams = [
            Stream("nightly", service, steady(3 * slots / 0.1), timeout=3.0, urgency=6),
            Stream("urgent", service, steady(0.2 * slots / 0.1), timeout=3.0),
        ]
        load(fleet, streams, 2.0, seed)
        result = load(fleet, streams, 8.0, seed + 1)
    tallies = result.tallies.items()
    return {name: summary(LoadResult(result.seconds, {name: tally})) for name, tally in tallies}


def measure_one_zone(deployment: Deployment, seed: int) -> dict[str, Any]:
    """Measure how much of a team's limit is used when all its demand is in one zone."""
    service = next(iter(deployment.services))

    def run(experiment: dict[str, str]) -> dict[str, Any]:
        changes = {
            "teams": {"solo": {"limit": 27}},
            "services": {service: {"mean_seconds": 0.1}},
            "experiment": experiment,
        }
        with fleet_of(deployment, **changes) as fleet:
            streams = [Stream("solo", service, steady(600.0), timeout=1.0, zone=1)]
            load(fleet, streams, 3.0, seed)
            fleet.reset_backend()
            result = load(fleet, streams, 6.0, seed + 1)
            counts = fleet.backend_counts()
        used = sum(counts["slot_seconds"].values()) / result.seconds
        most = counts["most_running"].get("solo", 0)
        return {"limit": 27, "mean_used": round(used, 1), "most_running": most, **summary(result)}

    return {"product": run({}), "baseline": run(BASELINE)}


def measure_peak(deployment: Deployment, seed: int, fault: str = "") -> dict[str, Any]:
    """Measure goodput and latency through peaks of five times the mean, with a fault by name."""
    services = list(deployment.services)
    weights = sum(team.weight for team in deployment.teams.values())

    def run(experiment: dict[str, str]) -> dict[str, Any]:
        with fleet_of(deployment, experiment=experiment) as fleet:
            play_fault(fleet, fault)
            streams = [
                Stream(
                    name,
                    service,
                    peaks(60 * team.weight / weights, 10.0, 2.0 * number, 2.0),
                    method="POST" if number % 2 else "GET",
                    timeout=3.0,
                )
                for number, service in enumerate(services)
                for name, team in deployment.teams.items()
            ]
            result = load(fleet, streams, 20.0, seed)
            counts = fleet.backend_counts()
        return {
            "refused_by_executors": counts["refused"],
            "runs": counts["runs"],
            **summary(result),
        }

    return {"fault": fault or "none", "product": run({}), "baseline": run(BASELINE)}


def play_fault(fleet: Fleet, name: str) -> None:
    """Put a fault in force by its name."""
    first = [f"{service}-1" for service in fleet.deployment.services]
    match name:
        case "fail-fast":
            fleet.behave(first, fail_fast=True)
        case "store-down":
            fleet.store_faults(down=True)
        case "store-slow":
            fleet.store_faults(delay=0.3)
        case "":
            return
        case _:
            raise ValueError(f"no fault is named {name!r}")


def measure_overhead(deployment: Deployment, seed: int) -> dict[str, Any]:
    """Measure what one entry adds to a request, against the executor alone."""
    changes = {
        "zones": 1,
        "entries_per_zone": 1,
        "zone_delay_ms": 0.0,
        "client_delay_ms": 0.0,
        "services": {"check": {"mean_seconds": 0.001}},
        "teams": {"solo": {"limit": 1000}},
    }
    with fleet_of(deployment, **changes) as fleet:
        entry = fleet.entries["entry-1-1"]
        idle_kilobytes = entry.process.resident_kilobytes()
        warm = [Stream("solo", "check", steady(200.0))]
        load(fleet, warm, 2.0, seed)
        before = entry.process.cpu_seconds()
        steady_load = load(fleet, [Stream("solo", "check", steady(300.0))], 8.0, seed)
        cpu = entry.process.cpu_seconds() - before
        generator = LoadGenerator([fleet.executor_target("check-1")], seed)
        direct = anyio.run(
            generator.run,
            [Stream("solo", "check", steady(300.0))],
            8.0,
            backend_options={"use_uvloop": True},
        )
        most = closed_loop(fleet, seed)
        entry.process.kill()
        started = time.monotonic()
        entry.process.start()
        wait_until(lambda: entry.ready, "it is ready again")
        start_seconds = time.monotonic() - started
    answered = steady_load.total().answered
    return {
        "through_entry": summary(steady_load),
        "direct": summary(direct),
        "cpu_microseconds_per_request": round(cpu / answered * 1e6),
        "most_requests_per_second": most,
        "idle_kilobytes": idle_kilobytes,
        "start_seconds": round(start_seconds, 2),
    }


def closed_loop(fleet: Fleet, seed: int) -> dict[str, float]:
    """Return requests a second of an entry and of an executor, by 24 callers without a pause."""

    async def drive(target: Target) -> float:
        generator = LoadGenerator([target], seed)
        return await generator.closed_loop(Stream("solo", "check", steady(1.0)), 24, 4.0)

    entry = fleet.entries["entry-1-1"]
    options = {"use_uvloop": True}
    through = anyio.run(drive, Target(entry.host, entry.ports.caller), backend_options=options)
    direct = anyio.run(drive, fleet.executor_target("check-2"), backend_options=options)
    return {"through_entry": round(through), "direct": round(direct)}


def measure_rollout(deployment: Deployment, seed: int) -> dict[str, Any]:
    """Measure the time until a change is in force everywhere, by the number of entries."""
    results: dict[str, Any] = {}
    rng = random.Random(seed)
    for zones, each in ((1, 3), (3, 3), (3, 6), (6, 6)):
        with fleet_of(deployment, zones=zones, entries_per_zone=each) as fleet:
            team = next(iter(deployment.teams))
            times = []
            for _ in range(8):
                limit = rng.randrange(10, 500)
                answer = fleet.cli("node", "set", team, f"limit={limit}", "--wait")
                times.append(answer["rollout_seconds"])
        results[str(zones * each)] = {
            "median_seconds": statistics.median(times),
            "worst_seconds": max(times),
        }
    return results


def measure_control(deployment: Deployment, seed: int) -> dict[str, Any]:
    """Measure store calls, peer bytes and processor time at rest, under load and in an outage."""
    services = list(deployment.services)
    weights = sum(team.weight for team in deployment.teams.values())
    streams = [
        Stream(name, service, peaks(60 * team.weight / weights, 10.0, 2.0 * number, 2.0))
        for number, service in enumerate(services)
        for name, team in deployment.teams.items()
    ]
    results: dict[str, Any] = {}
    with fleet_of(deployment) as fleet:
        time.sleep(3.0)
        results["at rest"] = control_of(fleet, lambda: time.sleep(10.0))
        results["peaks"] = control_of(fleet, lambda: load(fleet, streams, 10.0, seed))
        fleet.store_faults(down=True)
        results["store down"] = control_of(fleet, lambda: load(fleet, streams, 10.0, seed))
    return results


def control_of(fleet: Fleet, action: Any) -> dict[str, Any]:
    """Return what control costs while an action runs."""
    entries = list(fleet.entries.values())
    calls, sent = fleet.store_counts()["calls"], peer_bytes(fleet)
    cpu = [entry.process.cpu_seconds() for entry in entries]
    started = time.monotonic()
    action()
    seconds = time.monotonic() - started
    after = fleet.store_counts()
    spent = [e.process.cpu_seconds() - c for e, c in zip(entries, cpu, strict=True)]
    return {
        "store_calls_per_second": {
            name: round((count - calls.get(name, 0)) / seconds, 2)
            for name, count in after["calls"].items()
        },
        "waiting_watches": after["watches"],
        "peer_bytes_per_second_and_entry": round(
            (peer_bytes(fleet) - sent) / seconds / len(entries)
        ),
        "core_percent_per_entry": round(statistics.fmean(spent) / seconds * 100, 2),
        "megabytes_per_entry": round(
            statistics.fmean(e.process.resident_kilobytes() for e in entries) / 1024, 1
        ),
    }


def peer_bytes(fleet: Fleet) -> float:
    """Add up the bytes that all entries have sent to each other."""
    lines = [line for e in fleet.entries.values() for line in e.metrics().splitlines()]
    sent = (line for line in lines if line.startswith("vanillawell_peer_bytes_total{"))
    return sum(float(line.split()[-1]) for line in sent if 'direction="sent"' in line)


def measure_maintenance(deployment: Deployment, seed: int) -> dict[str, Any]:
    """Measure a whole wave with and without a spare pool."""

    def run(spares: int, budget: int) -> dict[str, Any]:
        services = {name: {"budget": budget} for name in list(deployment.services)[:2]}
        with fleet_of(deployment, services=services, spares=spares) as fleet:
            started = time.monotonic()
            fleet.cli("maintenance", "start")
            bound = 60.0
            done = False
            while not done and time.monotonic() - started < bound:
                done = " done" in fleet.try_cli("maintenance", "status").stderr.splitlines()[0]
                time.sleep(0.2)
            record = fleet.margins()
        return {
            "spares": spares,
            "budget": budget,
            "instances": 12 + spares,
            "finished": done,
            "seconds": round(time.monotonic() - started, 1) if done else None,
            "rebooted": len(record["reboots"]),
            "moves": record["moves"],
            "least_margin": min(
                count - budget
                for pool, count in record["least_available"].items()
                if pool != "pool-spare"
            ),
        }

    return {"spare pool of 3": run(3, 2), "no spare": run(0, 2), "no spare, budget 1": run(0, 1)}
