"""Tell from the log lines of all processes what became of a job or a refused request, and why."""

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
"""Where a line begins; collectors put names and times of their own before it."""

HELD_TOO_LONG = 0.2
"""Seconds that a step waits for something before that counts as a cause of lateness."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """One decision that a process logged."""

    at: float
    """Seconds since the epoch, by that process's clock."""

    instance: str
    message: str
    fields: dict[str, Any]


LINES_OF_RUNS = ("tasks started", "tasks done")
"""Messages that tell of many tasks, a row for each: the four parts of its id, its run, its executor
and what else the message knows."""

HEAD = ("time", "level", "instance", "logger", "message")
"""Fields that every line has."""


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Read log lines, in any order and with anything before them; others are left out."""
    for text in texts:
        found = JSON_START.search(text)
        if found is None:
            continue
        try:
            document = orjson.loads(text[found.start() :])
        except orjson.JSONDecodeError:
            continue
        stamp = datetime.fromisoformat(document["time"]).timestamp()
        fields = {key: value for key, value in document.items() if key not in HEAD}
        yield LogLine(stamp, document["instance"], document["message"], fields)


@dataclass(slots=True)
class JobTimeline:
    """Everything that was logged about one job, in order."""

    job_id: str
    lines: list[LogLine] = field(default_factory=list)

    def first(self, message: str) -> LogLine | None:
        """Return the first line of a kind."""
        return next((line for line in self.lines if line.message == message), None)

    def all(self, message: str) -> list[LogLine]:
        """Return all lines of a kind."""
        return [line for line in self.lines if line.message == message]

    @property
    def late_by(self) -> float | None:
        """Return the seconds by which the job missed its objective; None while it is open."""
        ended = self.first("job ended")
        return None if ended is None else float(ended.fields["late_by"])

    @property
    def outcome(self) -> str:
        """Return the job's end as far as the log tells."""
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
        """Return why the job was refused, late or lost time, the weightiest first."""
        return [cause for cause, _ in self._weighed().most_common()]

    def _weighed(self) -> Counter[str]:
        causes: Counter[str] = Counter()
        for line in self.all("call refused"):
            if line.fields.get("operation") == "POST":
                causes[f"refused: {line.fields['reason']}"] += 1
        if self.all("job unknown"):
            causes["the store did not answer"] += 1
        self._weigh_owner(causes)
        self._weigh_holds(causes)
        self._weigh_runs(causes)
        return causes

    def _weigh_owner(self, causes: Counter[str]) -> None:
        tokens = {line.fields["token"] for line in self.lines if "token" in line.fields}
        if len(tokens) > 1:
            causes["the shard changed its owner"] += 3 * (len(tokens) - 1)
        accepted, admitted = self.first("job accepted"), self.first("job admitted")
        if accepted and admitted and admitted.at - accepted.at > HELD_TOO_LONG:
            causes["the owner heard of it late"] += 2

    def _weigh_holds(self, causes: Counter[str]) -> None:
        for line in self.all("step held"):
            step = line.fields["step"]
            later = (
                other.at
                for other in self.lines
                if other.message == "tasks started"
                and other.at > line.at
                and other.fields["task"][1] == step
            )
            waited = min(later, default=line.at + 10 * HELD_TOO_LONG) - line.at
            if waited > HELD_TOO_LONG:
                causes[f"waited for {line.fields['held_by']}"] += 1 + int(waited / HELD_TOO_LONG)

    def _weigh_runs(self, causes: Counter[str]) -> None:
        for line in self.all("run ended"):
            ending = line.fields["ending"]
            if ending not in ("done", "stopped"):
                causes[f"a run ended {ending}"] += 3
        if self.all("start unanswered"):
            causes["an executor did not answer"] += 2


def _by_job(line: LogLine) -> Iterator[LogLine]:
    """Yield a line for each task of one that tells of many; others as they are."""
    if line.message not in LINES_OF_RUNS:
        yield line
        return
    for job_id, occurrence, step, task, run, executor, *rest in line.fields["runs"]:
        fields = {"job": job_id, "task": [occurrence, step, task], "run": run, "executor": executor}
        if rest:
            fields["seconds"] = rest[0]
        fields["token"] = line.fields["token"]
        yield replace(line, fields=fields)


def group_by_job(lines: Iterable[LogLine]) -> dict[str, JobTimeline]:
    """Return the stories of all jobs, by id."""
    stories: dict[str, JobTimeline] = {}
    for line in itertools.chain.from_iterable(map(_by_job, lines)):
        job_id = line.fields.get("job")
        if isinstance(job_id, str) and job_id:
            stories.setdefault(job_id, JobTimeline(job_id)).lines.append(line)
    for story in stories.values():
        story.lines.sort(key=lambda line: line.at)
    return stories


def find_timeline(stories: dict[str, JobTimeline], request: str) -> JobTimeline | None:
    """Return the story of a job by its id, or by the name of one of its tasks."""
    return stories.get(request.partition(".")[0])


def summarise(stories: Iterable[JobTimeline]) -> list[dict[str, Any]]:
    """Return by cause how many jobs were refused or late, the commonest cause first."""
    counts: Counter[tuple[str, str]] = Counter()
    for story in stories:
        late = story.late_by
        if story.outcome == "refused":
            kind = "refused"
        elif late is not None and late > 0 and story.outcome != "cancelled":
            kind = "late" if story.outcome == "completed" else story.outcome
        elif story.outcome in ("failed", "open"):
            kind = story.outcome
        else:
            continue
        cause = next(iter(story.causes()), "its runs took their time")
        counts[kind, cause] += 1
    return [
        {"jobs": count, "outcome": kind, "main cause": cause}
        for (kind, cause), count in counts.most_common()
    ]
