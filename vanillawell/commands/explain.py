"""Explain the outcome of a job or a request from the logs of all processes."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import TYPE_CHECKING, Any

from vanillawell.commands.printing import print_document, print_line, print_rows
from vanillawell.exceptions import NotInLogsError, SettingsError
from vanillawell.state.explain import (
    JobTimeline,
    LogLine,
    find_timeline,
    group_by_job,
    read_lines,
    summarise,
)
from vanillawell.state.stages import stage_rows

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence
    from pathlib import Path

    from vanillawell.commands.context import OutputFormat


def explain(request: str, files: Sequence[Path], output: OutputFormat) -> None:
    """Print the events of one job in order, and the causes of its outcome."""
    timeline = find_timeline(group_by_job(read_lines(_raw_lines(files))), request)
    if timeline is None:
        raise NotInLogsError(f"{request}: no line of these logs names it")
    rows = [_row(line, timeline.lines[0].at) for line in timeline.lines]
    if output.value == "json":
        late_by = timeline.late_by
        print_document(
            {
                "job": timeline.job_id,
                "outcome": timeline.outcome,
                "late_by": late_by,
                "causes": timeline.causes(),
                "events": rows,
            }
        )
        return
    print_rows(rows, output, f"job {timeline.job_id}")
    print_line(_summary(timeline))


def explain_all(files: Sequence[Path], output: OutputFormat) -> None:
    """Print how many jobs were refused, late or failed, by cause."""
    rows = summarise(group_by_job(read_lines(_raw_lines(files))).values())
    if not rows:
        print_line("no job was refused, late or failed")
        return
    print_rows(rows, output, "jobs that were not served in time")


def explain_stages(files: Sequence[Path], output: OutputFormat) -> None:
    """Print how long completed jobs spent in each stage from acceptance to their end."""
    rows = stage_rows(group_by_job(read_lines(_raw_lines(files))).values())
    if not rows:
        print_line("no completed job in these logs")
        return
    print_rows(rows, output, "seconds of completed jobs by stage")


def _raw_lines(files: Sequence[Path]) -> Iterator[str]:
    for path in files:
        try:
            yield from path.read_text(encoding="utf-8", errors="replace").splitlines()
        except OSError as error:
            raise SettingsError(f"{path}: cannot be read: {error.strerror}") from error


def _row(line: LogLine, start: float) -> dict[str, Any]:
    details = {key: value for key, value in line.fields.items() if key != "job"}
    time_of_day = datetime.fromtimestamp(line.at, UTC).strftime("%H:%M:%S.%f")[:-3]
    return {
        "time": time_of_day,
        "after s": f"{line.at - start:.3f}",
        "instance": line.instance,
        "event": line.message,
        "decided by": ", ".join(f"{key}={value}" for key, value in details.items()),
    }


def _summary(timeline: JobTimeline) -> str:
    late_by = timeline.late_by
    text = f"{timeline.job_id}: {timeline.outcome}"
    if late_by is not None:
        text += f", {abs(late_by):.3f} s {'after' if late_by > 0 else 'before'} its objective"
    causes = timeline.causes()
    return f"{text}; {'; '.join(causes)}" if causes else text
