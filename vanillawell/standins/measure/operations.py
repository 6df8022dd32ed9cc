"""Measure the operation of a fleet: roll-outs, control traffic, maintenance and lending."""

from __future__ import annotations

import random
import statistics
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import anyio

from vanillawell.standins.deployment import Deployment
from vanillawell.standins.fleet import Fleet
from vanillawell.standins.load import LoadGenerator, LoadResult, Stream, peak_rate
from vanillawell.standins.measure.fleets import entry_targets, run_load, running_fleet, summarise


def measure_rollout(deployment: Deployment, seed: int) -> dict[str, Any]:
    """Measure the time until all entries have applied a change, by the number of entries."""
    results: dict[str, Any] = {}
    rng = random.Random(seed)
    for zones, per_zone in ((1, 3), (3, 3), (3, 6), (6, 6)):
        with running_fleet(deployment, zones=zones, entries_per_zone=per_zone) as fleet:
            organisation = next(iter(deployment.organisations))
            times = []
            for _ in range(8):
                limit = rng.randrange(10, 500)
                answer = fleet.cli("node", "set", organisation, f"limit={limit}", "--wait")
                times.append(answer["rollout_seconds"])
        results[str(zones * per_zone)] = {
            "median_seconds": statistics.median(times),
            "worst_seconds": max(times),
        }
    return results


def measure_control(deployment: Deployment, seed: int) -> dict[str, Any]:
    """Measure control traffic and CPU time at rest, at load peaks and while the store is down."""
    services = list(deployment.services)
    total_weight = sum(organisation.weight for organisation in deployment.organisations.values())
    streams = [
        Stream(
            name,
            service,
            peak_rate(60 * organisation.weight / total_weight, 10.0, 2.0 * number, 2.0),
        )
        for number, service in enumerate(services)
        for name, organisation in deployment.organisations.items()
    ]
    results: dict[str, Any] = {}
    with running_fleet(deployment) as fleet:
        time.sleep(3.0)
        results["at rest"] = measure_control_cost(fleet, lambda: time.sleep(10.0))
        results["peaks"] = measure_control_cost(fleet, lambda: run_load(fleet, streams, 10.0, seed))
        fleet.set_store_faults(down=True)
        results["store down"] = measure_control_cost(
            fleet, lambda: run_load(fleet, streams, 10.0, seed)
        )
    return results


def measure_control_cost(fleet: Fleet, action: Callable[[], object]) -> dict[str, Any]:
    """Return the store calls, peer traffic, CPU time and memory of entries during an action."""
    entries = list(fleet.entries.values())
    calls, sent = fleet.store_counts()["calls"], sent_peer_bytes(fleet)
    cpu = [entry.process.cpu_seconds() for entry in entries]
    started = time.monotonic()
    action()
    seconds = time.monotonic() - started
    after = fleet.store_counts()
    cpu_used = [e.process.cpu_seconds() - c for e, c in zip(entries, cpu, strict=True)]
    return {
        "store_calls_per_second": {
            name: round((count - calls.get(name, 0)) / seconds, 2)
            for name, count in after["calls"].items()
        },
        "waiting_watches": after["watches"],
        "peer_bytes_per_second_and_entry": round(
            (sent_peer_bytes(fleet) - sent) / seconds / len(entries)
        ),
        "core_percent_per_entry": round(statistics.fmean(cpu_used) / seconds * 100, 2),
        "megabytes_per_entry": round(
            statistics.fmean(e.process.resident_kilobytes() for e in entries) / 1024, 1
        ),
    }


def sent_peer_bytes(fleet: Fleet) -> float:
    """Return the total number of bytes that entries have sent to their peers."""
    lines = [line for e in fleet.entries.values() for line in e.metrics().splitlines()]
    sent = (line for line in lines if line.startswith("vanillawell_peer_bytes_total{"))
    return sum(float(line.split()[-1]) for line in sent if 'direction="sent"' in line)


def measure_maintenance(deployment: Deployment, seed: int) -> dict[str, Any]:
    """Measure a complete maintenance wave with and without a spare pool."""

    def run(spares: int, budget: int) -> dict[str, Any]:
        services = {name: {"budget": budget} for name in list(deployment.services)[:2]}
        with running_fleet(deployment, services=services, spares=spares) as fleet:
            started = time.monotonic()
            fleet.cli("maintenance", "start")
            timeout = 60.0
            finished = False
            while not finished and time.monotonic() - started < timeout:
                finished = fleet.cli("maintenance", "status")["state"] == "done"
                time.sleep(0.2)
            record = fleet.availability_record()
        return {
            "spares": spares,
            "budget": budget,
            "instances": 12 + spares,
            "finished": finished,
            "seconds": round(time.monotonic() - started, 1) if finished else None,
            "rebooted": len(record["reboots"]),
            "moves": record["moves"],
            "least_margin": min(
                count - budget
                for pool, count in record["least_available"].items()
                if pool != "pool-spare"
            ),
        }

    return {"spare pool of 3": run(3, 2), "no spare": run(0, 2), "no spare, budget 1": run(0, 1)}


SAMPLE_INTERVAL = 0.25
"""Seconds between two samples of the spare pool."""


@dataclass(slots=True)
class SparePoolSamples:
    """Sizes of the spare pool during a load, as reported by one entry."""

    spare_counts: list[int] = field(default_factory=list)
    """Instances in the spare pool, one item for each sample."""

    async def sample(self, fleet: Fleet) -> None:
        """Take samples until cancelled."""
        entry = next(iter(fleet.entries.values()))
        while True:
            status = await anyio.to_thread.run_sync(entry.status)
            self.spare_counts.append(status["pools"]["pool-spare"]["executors"])
            await anyio.sleep(SAMPLE_INTERVAL)


def measure_lending(deployment: Deployment, seed: int) -> dict[str, Any]:
    """Measure load peaks above the capacity of each pool, with each lending rule and without."""
    spares = 6
    mean_rate = 0.3 * deployment.executors_per_service * deployment.slots / 0.3
    total_weight = sum(organisation.weight for organisation in deployment.organisations.values())
    streams = [
        Stream(
            name,
            service,
            peak_rate(mean_rate * organisation.weight / total_weight, 15.0, 3.0 * number, 3.0),
            timeout=1.5,
        )
        for number, service in enumerate(deployment.services)
        for name, organisation in deployment.organisations.items()
    ]
    changes = {
        "spares": spares,
        "services": {name: {"mean_seconds": 0.3, "budget": 1} for name in deployment.services},
        "organisations": {
            name: {"limit": 500, "share": t.share} for name, t in deployment.organisations.items()
        },
    }

    def run(lending: str) -> dict[str, Any]:
        with running_fleet(deployment, **changes, fleet_settings={"lending": lending}) as fleet:
            samples = SparePoolSamples()
            result = run_load_and_sample(fleet, streams, 75.0, seed, samples)
            moves = counter_sums(fleet, "vanillawell_moves_total")
        answered_ratios = [
            tally.answered / tally.sent for tally in result.caller_statistics.values()
        ]
        return {
            "idle_spares_mean": round(statistics.fmean(samples.spare_counts), 2),
            "spares_needed": spares - min(samples.spare_counts),
            "moves_begun": moves,
            "least_answered_part_of_a_organisation": round(min(answered_ratios), 4),
            "largest_answered_part_of_a_organisation": round(max(answered_ratios), 4),
            **summarise(result),
        }

    return {name: run(name) for name in ("off", "buffer-cost", "nearness")}


def run_load_and_sample(
    fleet: Fleet, streams: list[Stream], seconds: float, seed: int, samples: SparePoolSamples
) -> LoadResult:
    """Send streams of requests while sampling the size of the spare pool."""
    generator = LoadGenerator(entry_targets(fleet), seed, fleet.deployment.client_delay_ms / 1000)

    async def run_both() -> LoadResult:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(samples.sample, fleet)
            result = await generator.run(streams, seconds)
            tasks.cancel_scope.cancel()
        return result

    return anyio.run(run_both, backend_options={"use_uvloop": True})


def counter_sums(fleet: Fleet, name: str) -> dict[str, float]:
    """Return the sums of a counter over all entries, by its labels."""
    sums: dict[str, float] = {}
    for entry in fleet.entries.values():
        for line in entry.metrics().splitlines():
            if line.startswith(name + "{"):
                labels, _, value = line.rpartition(" ")
                sums[labels] = sums.get(labels, 0.0) + float(value)
    return sums
