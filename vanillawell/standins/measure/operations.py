"""Measure what operators drive: roll-outs, control traffic, maintenance, lending."""

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
from vanillawell.standins.measure.fleets import fleet_of, load, summary, targets_of


def measure_rollout(deployment: Deployment, seed: int) -> dict[str, Any]:
    """Measure the time until a change is in force everywhere, by the number of entries."""
    results: dict[str, Any] = {}
    rng = random.Random(seed)
    for zones, each in ((1, 3), (3, 3), (3, 6), (6, 6)):
        with fleet_of(deployment, zones=zones, entries_per_zone=each) as fleet:
            organisation = next(iter(deployment.organisations))
            times = []
            for _ in range(8):
                limit = rng.randrange(10, 500)
                answer = fleet.cli("node", "set", organisation, f"limit={limit}", "--wait")
                times.append(answer["rollout_seconds"])
        results[str(zones * each)] = {
            "median_seconds": statistics.median(times),
            "worst_seconds": max(times),
        }
    return results


def measure_control(deployment: Deployment, seed: int) -> dict[str, Any]:
    """Measure store calls, peer bytes and processor time at rest, under load and in an outage."""
    services = list(deployment.services)
    weights = sum(organisation.weight for organisation in deployment.organisations.values())
    streams = [
        Stream(
            name, service, peak_rate(60 * organisation.weight / weights, 10.0, 2.0 * number, 2.0)
        )
        for number, service in enumerate(services)
        for name, organisation in deployment.organisations.items()
    ]
    results: dict[str, Any] = {}
    with fleet_of(deployment) as fleet:
        time.sleep(3.0)
        results["at rest"] = control_of(fleet, lambda: time.sleep(10.0))
        results["peaks"] = control_of(fleet, lambda: load(fleet, streams, 10.0, seed))
        fleet.set_store_faults(down=True)
        results["store down"] = control_of(fleet, lambda: load(fleet, streams, 10.0, seed))
    return results


def control_of(fleet: Fleet, action: Callable[[], object]) -> dict[str, Any]:
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
                done = fleet.cli("maintenance", "status")["state"] == "done"
                time.sleep(0.2)
            record = fleet.availability_record()
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


SAMPLE_PAUSE = 0.25
"""Seconds between two looks at where the instances are."""


@dataclass(slots=True)
class Whereabouts:
    """Where instances were while a load ran, as one entry saw it."""

    idle_spares: list[int] = field(default_factory=list)
    """Instances in the spare pool at each look."""

    async def sample(self, fleet: Fleet) -> None:
        """Look until cancelled."""
        entry = next(iter(fleet.entries.values()))
        while True:
            status = await anyio.to_thread.run_sync(entry.status)
            self.idle_spares.append(status["pools"]["pool-spare"]["executors"])
            await anyio.sleep(SAMPLE_PAUSE)


def measure_lending(deployment: Deployment, seed: int) -> dict[str, Any]:
    """Measure peaks beyond each pool's own slots, with instances lent by each rule and by none."""
    spares = 6
    mean_rate = 0.3 * deployment.executors_per_service * deployment.slots / 0.3
    weights = sum(organisation.weight for organisation in deployment.organisations.values())
    streams = [
        Stream(
            name,
            service,
            peak_rate(mean_rate * organisation.weight / weights, 15.0, 3.0 * number, 3.0),
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
        with fleet_of(deployment, **changes, fleet_settings={"lending": lending}) as fleet:
            places = Whereabouts()
            result = load_and_sample(fleet, streams, 75.0, seed, places)
            moves = counter_sum(fleet, "vanillawell_moves_total")
        parts = [tally.answered / tally.sent for tally in result.caller_statistics.values()]
        return {
            "idle_spares_mean": round(statistics.fmean(places.idle_spares), 2),
            "spares_needed": spares - min(places.idle_spares),
            "moves_begun": moves,
            "least_answered_part_of_a_organisation": round(min(parts), 4),
            "largest_answered_part_of_a_organisation": round(max(parts), 4),
            **summary(result),
        }

    return {name: run(name) for name in ("off", "buffer-cost", "nearness")}


def load_and_sample(
    fleet: Fleet, streams: list[Stream], seconds: float, seed: int, places: Whereabouts
) -> LoadResult:
    """Send streams while looking where the instances are."""
    generator = LoadGenerator(targets_of(fleet), seed, fleet.deployment.client_delay_ms / 1000)

    async def both() -> LoadResult:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(places.sample, fleet)
            result = await generator.run(streams, seconds)
            tasks.cancel_scope.cancel()
        return result

    return anyio.run(both, backend_options={"use_uvloop": True})


def counter_sum(fleet: Fleet, name: str) -> dict[str, float]:
    """Add up a counter over all entries, by its labels."""
    sums: dict[str, float] = {}
    for entry in fleet.entries.values():
        for line in entry.metrics().splitlines():
            if line.startswith(name + "{"):
                labels, _, value = line.rpartition(" ")
                sums[labels] = sums.get(labels, 0.0) + float(value)
    return sums
