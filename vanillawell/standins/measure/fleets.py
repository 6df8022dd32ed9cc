"""Run emulated fleets for measurements and summarise the results of their callers."""

from __future__ import annotations

import tempfile
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import anyio

from vanillawell.standins.deployment import Deployment
from vanillawell.standins.fleet import Fleet
from vanillawell.standins.load import LoadGenerator, LoadResult, Stream, Target

BASELINE = {"routing": "least-loaded", "queue": "fifo", "limits": "static", "retries": "unbudgeted"}
"""Experiment settings that replace every decision of the product by a simple algorithm."""


@contextmanager
def running_fleet(deployment: Deployment, **changes: Any) -> Iterator[Fleet]:
    """Run a fleet in a temporary directory, with some settings of the deployment changed."""
    with tempfile.TemporaryDirectory(prefix="vanillawell-") as folder:
        document = deployment.model_dump() | changes
        with Fleet(Deployment.model_validate(document), Path(folder)) as fleet:
            yield fleet


def entry_targets(fleet: Fleet) -> list[Target]:
    """Return the caller ports of all entries as targets of a load generator."""
    return [Target(e.host, e.ports.caller, e.zone) for e in fleet.entries.values()]


def run_load(fleet: Fleet, streams: Sequence[Stream], seconds: float, seed: int) -> LoadResult:
    """Send streams of requests to a fleet."""
    generator = LoadGenerator(entry_targets(fleet), seed, fleet.deployment.client_delay_ms / 1000)
    return anyio.run(generator.run, streams, seconds, backend_options={"use_uvloop": True})


def run_load_with_slot_usage(
    fleet: Fleet, streams: Sequence[Stream], seconds: float, seed: int
) -> tuple[LoadResult, dict[str, float]]:
    """Send streams of requests; read the slot usage when sending ends, before the queues drain."""
    generator = LoadGenerator(entry_targets(fleet), seed, fleet.deployment.client_delay_ms / 1000)
    slot_seconds: dict[str, float] = {}
    results: list[LoadResult] = []

    async def send() -> None:
        results.append(await generator.run(streams, seconds))

    async def run_both() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send)
            await anyio.sleep(seconds)
            counts = await anyio.to_thread.run_sync(fleet.backend_counts)
            slot_seconds.update(counts["slot_seconds"])

    anyio.run(run_both, backend_options={"use_uvloop": True})
    return results[0], slot_seconds


def summarise(result: LoadResult) -> dict[str, Any]:
    """Return the results of all callers as JSON-compatible data."""
    total = result.total()
    return {
        "sent": total.sent,
        "answered": total.answered,
        "refused": dict(total.refused),
        "broken": dict(total.connection_errors),
        "p50_ms": round(total.percentile(0.5) * 1000, 1),
        "p99_ms": round(total.percentile(0.99) * 1000, 1),
    }
