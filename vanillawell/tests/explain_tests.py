"""Compare the output of the explain command with golden files."""

from __future__ import annotations

from pathlib import Path

import pytest
from typer.testing import CliRunner

from vanillawell.cli import app

GOLDEN = Path(__file__).with_name("golden")
LOG = str(GOLDEN / "explain.log")


def _run_explain(*arguments: str) -> str:
    result = CliRunner().invoke(app, ["--output", "json", "explain", *arguments, LOG])
    return result.output


@pytest.mark.parametrize(
    ("name", "arguments"),
    [
        ("explain-late", ("--id", "00000000000000a1.0.0.1")),
        ("explain-refused", ("--id", "00000000000000b2")),
        ("explain-day", ("--day",)),
        ("explain-stages", ("--stages",)),
    ],
)
def test_an_explanation_matches_its_golden_file(name: str, arguments: tuple[str, ...]) -> None:
    assert _run_explain(*arguments) == (GOLDEN / f"{name}.json").read_text()


def test_an_unknown_id_is_an_error() -> None:
    result = CliRunner().invoke(app, ["explain", "--id", "00000000000000ff", LOG])
    assert result.exit_code != 0
    assert "no line of these logs names it" in str(result.exception)


def test_an_id_or_a_day_is_required() -> None:
    assert CliRunner().invoke(app, ["explain", LOG]).exit_code == 2
