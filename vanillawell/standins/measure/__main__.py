"""Run one measurement by name and print its result as JSON.

Example: python -m vanillawell.standins.measure shares examples/deposits/deployment.jsonc
"""

from __future__ import annotations

import sys
from dataclasses import asdict
from enum import StrEnum
from pathlib import Path
from typing import Annotated, Any

import orjson
import typer

from vanillawell.config.loader import load_model
from vanillawell.standins.deployment import Deployment
from vanillawell.standins.measure import operations, owner, requests, slopes


class Measurement(StrEnum):
    """Names of the measurements."""

    OVERHEAD = "overhead"
    SHARES = "shares"
    ONE_ZONE = "one-zone"
    URGENT = "urgent"
    PEAK = "peak"
    ROLLOUT = "rollout"
    CONTROL = "control"
    MAINTENANCE = "maintenance"
    LENDING = "lending"
    KEYED = "keyed"
    SLOPES = "slopes"
    OWNER = "owner"


def main(
    name: Measurement,
    file: Annotated[Path, typer.Argument(help="Deployment.")] = Path(
        "examples/riga/deployment.jsonc"
    ),
    seed: Annotated[int, typer.Option(help="Seed of the load.")] = 1,
    fault: Annotated[str, typer.Option(help="For peak: fail-fast, store-down, store-slow.")] = "",
) -> None:
    """Run a measurement."""
    sys.stdout.write(
        orjson.dumps(run(name, file, seed, fault), option=orjson.OPT_INDENT_2).decode()
    )
    sys.stdout.write("\n")


def run(name: Measurement, file: Path, seed: int, fault: str) -> dict[str, Any]:
    """Run a measurement and return its result as JSON-compatible data."""
    if name is Measurement.SLOPES:
        fits = slopes.measure_all()
        return {
            key: {**asdict(item), "points": {str(n): v for n, v in item.points.items()}}
            for key, item in fits.items()
        }
    if name is Measurement.OWNER:
        return owner.measure_owner()
    deployment = load_model(file, Deployment)
    if name is Measurement.PEAK:
        return requests.measure_peak(deployment, seed, fault)
    functions = {
        Measurement.OVERHEAD: requests.measure_overhead,
        Measurement.SHARES: requests.measure_shares,
        Measurement.ONE_ZONE: requests.measure_one_zone,
        Measurement.URGENT: requests.measure_urgent,
        Measurement.ROLLOUT: operations.measure_rollout,
        Measurement.CONTROL: operations.measure_control,
        Measurement.MAINTENANCE: operations.measure_maintenance,
        Measurement.LENDING: operations.measure_lending,
        Measurement.KEYED: requests.measure_keyed,
    }
    return functions[name](deployment, seed)


if __name__ == "__main__":
    typer.run(main)
