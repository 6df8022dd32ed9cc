"""Reconstruct the history of a job or a refused request from the logs of all processes."""

from __future__ import annotations

import itertools
import re
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace
from datetime import datetime
from typing import Any

import orjson

JSON_START = re.compile(r'\{"time":')
"""Start of the JSON part of a log line; collectors prepend names and times of their own."""

MIN_HOLD_TIME = 0.2
"""Seconds that a step must have been held before the hold counts as a cause of lateness."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """One log line of a process."""

    at: float
    """Seconds since the epoch, by the clock of that process."""

    instance: str
    message: str
    fields: dict[str, Any]


BATCH_MESSAGES = ("tasks started", "tasks done")
"""Messages that cover several tasks, with a row for each: the four parts of its id, its run, its
executor and further values that depend on the message."""

COMMON_FIELDS = ("time", "level", "instance", "logger", "message")
"""Fields that every line has."""


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Parse log lines in any order and with any prefix; lines in another format are skipped."""
    for text in texts:
        found = JSON_START.search(text)
        if found is None:
            continue
        try:
            document = orjson.loads(text[found.start() :])
        except orjson.JSONDecodeError:
            continue
        timestamp = datetime.fromisoformat(document["time"]).timestamp()
        fields = {key: value for key, value in document.items() if key not in COMMON_FIELDS}
        yield LogLine(timestamp, document["instance"], document["message"], fields)


@dataclass(slots=True)
class JobTimeline:
    """All log lines about one job, in order of time."""

    job_id: str
    lines: list[LogLine] = field(default_factory=list)

    def first(self, message: str) -> LogLine | None:
        """Return the first line with a message."""
        return next((line for line in self.lines if line.message == message), None)

    def all(self, message: str) -> list[LogLine]:
        """Return all lines with a message."""
        return [line for line in self.lines if line.message == message]

    @property
    def late_by(self) -> float | None:
        """Return the seconds by which the job missed its objective; None without a logged end."""
        ended = self.first("job ended")
        return None if ended is None else float(ended.fields["late_by"])

    @property
    def outcome(self) -> str:
        """Return the outcome of the job as far as it was logged."""
        ended = self.first("job ended")
        if ended is not None:
            return str(ended.fields["state"])
        if self.first("job cancelled"):
            return "cancelled"
        if self.first("job admitted") or self.first("job accepted"):
            return "open"
        refused = any(line.fields.get("operation") == "POST" for line in self.all("call refused"))
        return "refused" if refused else "unknown"

    def causes(self) -> list[str]:
        """Return the causes of a refusal, lateness or lost time, the most important first."""
        return [cause for cause, _ in self._weighted_causes().most_common()]

    def _weighted_causes(self) -> Counter[str]:
        causes: Counter[str] = Counter()
        for line in self.all("call refused"):
            if line.fields.get("operation") == "POST":
                causes[f"refused: {line.fields['reason']}"] += 1
        if self.all("job unknown"):
            causes["the store did not answer"] += 1
        self._add_owner_causes(causes)
        self._add_hold_causes(causes)
        self._add_run_causes(causes)
        return causes

    def _add_owner_causes(self, causes: Counter[str]) -> None:
        tokens = {line.fields["token"] for line in self.lines if "token" in line.fields}
        if len(tokens) > 1:
            causes["the shard changed its owner"] += 3 * (len(tokens) - 1)
        accepted, admitted = self.first("job accepted"), self.first("job admitted")
        if admitted and admitted.fields.get("surplus"):
            causes[f"surplus of {admitted.fields['organisation']}"] += 4
        if accepted and admitted and admitted.at - accepted.at > MIN_HOLD_TIME:
            causes["the owner heard of it late"] += 2

    def _add_hold_causes(self, causes: Counter[str]) -> None:
        for line in self.all("step held"):
            step = line.fields["step"]
            later = (
                other.at
                for other in self.lines
                if other.message == "tasks started"
                and other.at > line.at
                and other.fields["task"][1] == step
            )
            waited = min(later, default=line.at + 10 * MIN_HOLD_TIME) - line.at
            if waited > MIN_HOLD_TIME:
                causes[f"waited for {line.fields['held_by']}"] += 1 + int(waited / MIN_HOLD_TIME)

    def _add_run_causes(self, causes: Counter[str]) -> None:
        for line in self.all("run ended"):
            ending = line.fields["ending"]
            if ending not in ("done", "stopped"):
                causes[f"a run ended {ending}"] += 3
        if self.all("start unanswered"):
            causes["an executor did not answer"] += 2


def _split_by_task(line: LogLine) -> Iterator[LogLine]:
    """Split a line about several tasks into one line for each task; yield others unchanged."""
    if line.message not in BATCH_MESSAGES:
        yield line
        return
    for job_id, occurrence, step, task, run, executor, *rest in line.fields["runs"]:
        fields = {"job": job_id, "task": [occurrence, step, task], "run": run, "executor": executor}
        if rest:
            fields["seconds"] = rest[0]
        fields["token"] = line.fields["token"]
        yield replace(line, fields=fields)


def group_by_job(lines: Iterable[LogLine]) -> dict[str, JobTimeline]:
    """Return the timelines of all jobs, by id."""
    timelines: dict[str, JobTimeline] = {}
    for line in itertools.chain.from_iterable(map(_split_by_task, lines)):
        job_id = line.fields.get("job")
        if isinstance(job_id, str) and job_id:
            timelines.setdefault(job_id, JobTimeline(job_id)).lines.append(line)
    for timeline in timelines.values():
        timeline.lines.sort(key=lambda line: line.at)
    return timelines


def find_timeline(timelines: dict[str, JobTimeline], request: str) -> JobTimeline | None:
    """Return the timeline of a job by its id, or by the id of one of its tasks."""
    return timelines.get(request.partition(".")[0])


def summarise(timelines: Iterable[JobTimeline]) -> list[dict[str, Any]]:
    """Return how many jobs were refused or late by cause, the most frequent cause first."""
    counts: Counter[tuple[str, str]] = Counter()
    for timeline in timelines:
        late = timeline.late_by
        if timeline.outcome == "refused":
            kind = "refused"
        elif late is not None and late > 0 and timeline.outcome != "cancelled":
            kind = "late" if timeline.outcome == "completed" else timeline.outcome
        elif timeline.outcome in ("failed", "open"):
            kind = timeline.outcome
        else:
            continue
        cause = next(iter(timeline.causes()), "its runs took their time")
        counts[kind, cause] += 1
    return [
        {"jobs": count, "outcome": kind, "main cause": cause}
        for (kind, cause), count in counts.most_common()
    ]
