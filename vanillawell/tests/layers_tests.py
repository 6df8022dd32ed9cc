"""Test the layering of the package: which parts may depend on which."""

from __future__ import annotations

import re
from pathlib import Path

PACKAGE = Path(__file__).parent.parent

WIRE_NAMES = (
    "run-start run-stop lastSeen kv-txn kv-range kv-watch kv-keep kv-lease kv-key apiKeys "
    "allowAnon rejectsOverload savesProgress lastCheckpoint machine-upkeep machine-move "
    "storeRevision memMb estimateMs requiredLabel maxPerServer longRunning maxUnavailable "
    "targetMs deadlineMs waitMs clockMs slackFactor targetLatencyMs hasMore pageToken "
    "nextToken tombstone ttlMs healthPath coldRemainingMs startTimeMs intervalMs "
    "X-Fence-Token X-Duty-Holder X-Expect-Instance X-Key decideMs eachMs validityMs "
    "sameRack durationS holdMaxMs killGraceMs revokeMs status_s op/config op/wave status/wave "
)
"""Wire names of the users' platform, which only its adapter may use."""

MAX_ADAPTER_SHARE = 0.1
"""Maximum share of the package's lines in the adapter."""


def _sources(*left_out: str) -> list[Path]:
    return [
        path for path in PACKAGE.rglob("*.py") if path.relative_to(PACKAGE).parts[0] not in left_out
    ]


def test_only_the_adapter_and_the_stand_ins_use_wire_names() -> None:
    names = "|".join(WIRE_NAMES.split())
    pattern = re.compile(rf"(?<![\w-])({names})(?![\w-])")
    found = [
        f"{path.relative_to(PACKAGE)}: {match[0]}"
        for path in _sources("platform", "standins", "tests")
        for match in [pattern.search(path.read_text())]
        if match
    ]
    assert found == []


def test_adapter_size_is_within_its_share_of_the_package() -> None:
    total = sum(len(path.read_text().splitlines()) for path in _sources("tests"))
    adapter = sum(
        len(path.read_text().splitlines()) for path in (PACKAGE / "platform").glob("*.py")
    )
    assert adapter < MAX_ADAPTER_SHARE * total


def test_state_and_coordination_do_not_import_outer_layers() -> None:
    layers = {"state": ("transport", "coordination", "platform"), "coordination": ("transport",)}
    found = [
        f"{path.name}: {line}"
        for layer, forbidden in layers.items()
        for path in (PACKAGE / layer).glob("*.py")
        for line in path.read_text().splitlines()
        if re.match(rf"\s*(from|import) vanillawell\.({'|'.join(forbidden)})\b", line)
    ]
    assert found == []
