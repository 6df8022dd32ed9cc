"""Run emulated fleets for measurements and sum up what callers saw."""

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
        "broken": dict(total.connection_errors),
        "p50_ms": round(total.percentile(0.5) * 1000, 1),
        "p99_ms": round(total.percentile(0.99) * 1000, 1),
    }
