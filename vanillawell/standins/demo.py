"""Run the demo: emulators, nine entries, a bounded load and a short report."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import Annotated

import anyio
import typer
from rich.console import Console
from rich.table import Table

from vanillawell.config.loader import load_model
from vanillawell.standins.deployment import Deployment
from vanillawell.standins.fleet import Fleet
from vanillawell.standins.load import LoadGenerator, LoadResult, Stream, Target, peak_rate

PEAK_PERIOD = 10.0
"""Seconds in which each service has one peak; the peaks follow one another."""


def build_streams(deployment: Deployment, rate: float) -> list[Stream]:
    """Distribute `rate` requests per second over services and organisations.

    The services peak one after the other.
    """
    services = list(deployment.services)
    total_weight = sum(organisation.weight for organisation in deployment.organisations.values())
    peak_seconds = PEAK_PERIOD / len(services)
    return [
        Stream(
            organisation=name,
            service=service,
            rate=peak_rate(
                rate / len(services) * organisation.weight / total_weight,
                PEAK_PERIOD,
                index * peak_seconds,
                peak_seconds,
            ),
            method="POST" if (index + len(name)) % 2 else "GET",
        )
        for index, service in enumerate(services)
        for name, organisation in deployment.organisations.items()
    ]


def run(deployment: Deployment, rate: float, seconds: float, seed: int, folder: Path) -> None:
    """Run the fleet under load and print the report."""
    console = Console()
    with Fleet(deployment, folder) as fleet:
        entries = list(fleet.entries.values())
        console.print(f"{deployment.name}: {len(entries)} entries ready, {seconds:g} s of load …")
        targets = [Target(entry.host, entry.ports.caller, entry.zone) for entry in entries]
        generator = LoadGenerator(targets, seed, deployment.client_delay_ms / 1000)
        result = anyio.run(
            generator.run,
            build_streams(deployment, rate),
            seconds,
            backend_options={"use_uvloop": True},
        )
        report(console, deployment, result, fleet)


def report(console: Console, deployment: Deployment, result: LoadResult, fleet: Fleet) -> None:
    """Print the statistics of callers and backend servers."""
    counts = fleet.backend_counts()
    total = result.total()
    refusals = ", ".join(f"{name} {count}" for name, count in total.refused.most_common()) or "none"
    console.print(f"sent {total.sent}, answered {total.answered}, refused: {refusals}")
    console.print(f"broken connections: {dict(total.connection_errors) or 'none'}")
    console.print(
        "latency of answers: "
        + ", ".join(
            f"p{part} {total.percentile(part / 100) * 1000:.1f} ms" for part in (50, 90, 99)
        )
    )
    console.print(
        f"backend servers: {counts['runs']} requests run, {counts['refused']} refused as full, "
        f"{counts['over_connections']} beyond their connections"
    )
    used = counts["slot_seconds"]
    total_slot_seconds = sum(used.values()) or 1.0
    total_share = sum(organisation.share for organisation in deployment.organisations.values())
    table = Table(title="Organisations", title_justify="left")
    for column in (
        "organisation",
        "limit",
        "most running",
        "share",
        "part of slot-time",
        "answered",
    ):
        table.add_column(column)
    for name, organisation in deployment.organisations.items():
        table.add_row(
            name,
            str(organisation.limit),
            str(counts["most_running"].get(name, 0)),
            f"{organisation.share / total_share:.1%}",
            f"{used.get(name, 0.0) / total_slot_seconds:.1%}",
            str(result.caller_statistics[name].answered),
        )
    console.print(table)


def main(
    file: Annotated[Path, typer.Argument(help="Deployment to emulate.")] = Path(
        "examples/riga/deployment.jsonc"
    ),
    rate: Annotated[float, typer.Option(help="Requests a second on average.")] = 300.0,
    seconds: Annotated[float, typer.Option(help="Length of the load.")] = 20.0,
    seed: Annotated[int, typer.Option(help="Seed of the load.")] = 1,
) -> None:
    """Run the demo."""
    deployment = load_model(file, Deployment)
    with tempfile.TemporaryDirectory(prefix="vanillawell-") as folder:
        run(deployment, rate, seconds, seed, Path(folder))


if __name__ == "__main__":
    typer.run(main)
