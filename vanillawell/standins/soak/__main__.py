"""Play seeds with real processes, and report the starts that break a rule.

Example: python -m vanillawell.standins.soak --seed 1 --seconds 60 --entries 12 --executors 60
"""

from __future__ import annotations

import logging
import sys
import tempfile
from pathlib import Path
from typing import Annotated

import anyio
import typer

from vanillawell.standins.soak.play import PlayOptions, play

ROOT = Path(__file__).resolve().parents[3]


def main(
    seed: Annotated[int, typer.Option(help="Seed of the plan.")] = 1,
    seconds: Annotated[float, typer.Option(help="Duration of the load.")] = 60,
    entries: Annotated[int, typer.Option(help="Scheduler processes.")] = 12,
    executors: Annotated[int, typer.Option(help="Machines, a fifth of them on standby.")] = 60,
    load: Annotated[float, typer.Option(help="Work asked for, of what all executors bear.")] = 0.5,
    press: Annotated[bool, typer.Option(help="Thousands of tasks at once, too.")] = False,
    checkout: Annotated[Path, typer.Option(help="Root of the version that is played.")] = ROOT,
    folder: Annotated[Path | None, typer.Option(help="Where logs are kept.")] = None,
) -> None:
    """Play one seed; exits with 1 if a rule is broken or an entry ended by itself."""
    kept = folder or Path(tempfile.mkdtemp(prefix="soak-"))
    kept.mkdir(parents=True, exist_ok=True)
    dependencies = ROOT / "target/deps"
    options = PlayOptions(
        seed,
        seconds,
        entries,
        executors,
        load,
        checkout.resolve(),
        dependencies,
        kept.resolve(),
        press,
    )
    # The stand-ins end connections with calls under way, which the server logs as errors.
    logging.getLogger("uvicorn").disabled = True
    logging.getLogger("uvicorn.error").disabled = True
    outcome = anyio.run(play, options, backend_options={"use_uvloop": True})
    lines = [
        f"seed {seed}, {seconds:g} s, {entries} entries, {executors} executors, "
        f"{outcome.runs} runs, logs in {kept}",
        f"faults: {sum(outcome.faults.values())} {dict(sorted(outcome.faults.items()))}",
        f"calls: {dict(sorted(outcome.calls.items()))}",
        f"first start, 95 of 100: {outcome.first_starts}",
        *(violation.describe() for violation in outcome.violations),
        f"entries that ended by themselves: {outcome.ended_entries}, "
        f"stand-ins late by {outcome.longest_gap:.2f} s at most",
        f"violations: {dict(outcome.count_violations())}",
    ]
    (kept / "verdict.txt").write_text("\n".join(lines) + "\n")
    sys.stdout.write("\n".join(lines) + "\n")
    raise SystemExit(1 if outcome.violations or outcome.ended_entries else 0)


if __name__ == "__main__":
    typer.run(main)
