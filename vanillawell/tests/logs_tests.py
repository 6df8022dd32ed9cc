"""Prove that logs are bounded and never hold the process up."""

from __future__ import annotations

import logging
import os
import time

import pytest

from vanillawell.coordination import cycle_log
from vanillawell.logs import (
    DROPPED_FIELD,
    LINE_BUDGET,
    MAX_QUEUED_BYTES,
    BudgetFilter,
    JsonFormatter,
)
from vanillawell.logs import NonBlockingHandler as Handler
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job, step


def _record(message: str) -> logging.LogRecord:
    return logging.LogRecord("x", logging.INFO, "", 0, message, None, None)


def test_a_reader_that_stops_reading_holds_nothing_up() -> None:
    """Whoever collects the logs hangs. Requests must go on, so lines are dropped and counted."""
    reader, writer = os.pipe()
    handler = Handler(writer)
    handler.setFormatter(JsonFormatter("entry-0"))
    began = time.monotonic()
    lines = 2 * MAX_QUEUED_BYTES // 1_000
    for _ in range(lines):
        handler.emit(_record("x" * 1_000))
        handler.flush()
    assert time.monotonic() - began < 5.0
    assert handler.dropped > 0
    os.close(reader)
    handler.flush()
    os.close(writer)


def test_a_kind_beyond_its_budget_is_left_out_and_counted() -> None:
    budget = BudgetFilter(3)
    records = [_record("often") for _ in range(5)]
    for record in records:
        record.created = 100.5
    assert [budget.filter(record) for record in records] == [True, True, True, False, False]
    other = _record("rare")
    other.created = 100.6
    assert budget.filter(other)
    later = _record("often")
    later.created = 101.5
    assert budget.filter(later)
    assert getattr(later, DROPPED_FIELD) == 2
    assert budget.dropped == 2


def test_the_starts_of_a_peak_are_all_in_the_log(caplog: pytest.LogCaptureFixture) -> None:
    """A large pool's owner starts a thousand tasks within a second. With a line for each, those
    beyond the budget would be missing, and no late job of the peak could be explained."""
    wide = job(step(1_000, cpu=1))
    harness = ShardHarness(facts("i-0"))
    harness.admit(wide)
    runs = harness.place()
    with caplog.at_level(logging.INFO):
        cycle_log.log_started_tasks(runs, token=7)
    told = [row for record in caplog.records for row in record.__dict__["runs"]]
    assert len(told) == len(runs) == 1_000
    assert len(caplog.records) < LINE_BUDGET / 10
