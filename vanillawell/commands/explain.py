"""Explain what became of a job or a request, from the logs of all processes."""

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

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence
    from pathlib import Path

    from vanillawell.commands.context import OutputFormat


def explain(request: str, files: Sequence[Path], output: OutputFormat) -> None:
    """Print the life of one job in order, and what was decisive."""
    story = find_timeline(group_by_job(read_lines(_texts(files))), request)
    if story is None:
        raise NotInLogsError(f"{request}: no line of these logs names it")
    rows = [_row(line, story.lines[0].at) for line in story.lines]
    if output.value == "json":
        late = story.late_by
        print_document(
            {
                "job": story.job_id,
                "outcome": story.outcome,
                "late_by": late,
                "causes": story.causes(),
                "events": rows,
            }
        )
        return
    print_rows(rows, output, f"job {story.job_id}")
    print_line(_verdict(story))


def explain_all(files: Sequence[Path], output: OutputFormat) -> None:
    """Print how many jobs were refused or late, by cause."""
    rows = summarise(group_by_job(read_lines(_texts(files))).values())
    if not rows:
        print_line("no job was refused, late or failed")
        return
    print_rows(rows, output, "jobs that were not served in time")


def _texts(files: Sequence[Path]) -> Iterator[str]:
    for path in files:
        try:
            yield from path.read_text(encoding="utf-8", errors="replace").splitlines()
        except OSError as error:
            raise SettingsError(f"{path}: cannot be read: {error.strerror}") from error


def _row(line: LogLine, start: float) -> dict[str, Any]:
    details = {key: value for key, value in line.fields.items() if key != "job"}
    moment = datetime.fromtimestamp(line.at, UTC).strftime("%H:%M:%S.%f")[:-3]
    return {
        "time": moment,
        "after s": f"{line.at - start:.3f}",
        "instance": line.instance,
        "event": line.message,
        "decided by": ", ".join(f"{key}={value}" for key, value in details.items()),
    }


def _verdict(story: JobTimeline) -> str:
    late = story.late_by
    text = f"{story.job_id}: {story.outcome}"
    if late is not None:
        text += f", {abs(late):.3f} s {'after' if late > 0 else 'before'} its objective"
    causes = story.causes()
    return f"{text}; {'; '.join(causes)}" if causes else text
