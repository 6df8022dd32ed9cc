"""Test settings, the operators' tree, error messages and the documents derived from them."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from vanillawell.commands.reference import render
from vanillawell.config.effective import effective_value
from vanillawell.config.loader import load_model
from vanillawell.config.settings import DaemonSettings
from vanillawell.config.validation import check_tree
from vanillawell.coordination.membership import HolderLiveness
from vanillawell.exceptions import SettingsError
from vanillawell.protocol.documents import MAX_LIMIT_CHANGES, Configuration, next_limit_changes
from vanillawell.protocol.peer_messages import (
    Acknowledgement,
    Beat,
    DemandReport,
    DocumentKind,
    DocumentReply,
    DocumentRequest,
    Message,
    NameTable,
    Versions,
    decode,
    encode,
)
from vanillawell.standins.measure import slopes
from vanillawell.state.demand_table import Row
from vanillawell.state.limits import LimitChange
from vanillawell.tests.builders import instance, presence, timing, tree

SETTINGS = """
// An entry.
{
  "instance": "entry-1", "zone": "zone-1",
  "caller": {"port": 8080}, "admin": {"port": 8081}, "peer": {"port": 8082},
  "store": {"address": {"port": 2379}}, // the platform's
}
"""


def load(tmp_path: Path, text: str) -> DaemonSettings:
    path = tmp_path / "entry.jsonc"
    path.write_text(text)
    return load_model(path, DaemonSettings)


def test_settings_file_may_contain_comments(tmp_path: Path) -> None:
    assert load(tmp_path, SETTINGS).store.timeout == 1.5


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ('"zone"', '"zoen"', "zoen: unknown key; did you mean 'zone'?"),
        ('"port": 8080', '"port": 808080', "caller.port"),
        ('"port": 8080', '"port": 8080, "host": "localhost"', "caller.host"),
        ("{", "{{", "malformed JSON at line"),
        ('"zone": "zone-1",', "", "zone: Field required"),
    ],
)
def test_settings_error_names_the_file_and_key(
    tmp_path: Path, old: str, new: str, expected: str
) -> None:
    with pytest.raises(SettingsError) as raised:
        load(tmp_path, SETTINGS.replace(old, new, 1))
    assert expected in str(raised.value)
    assert "entry.jsonc" in str(raised.value)


def test_daemon_reports_invalid_settings_without_traceback_and_exits_with_2(tmp_path: Path) -> None:
    path = tmp_path / "entry.jsonc"
    path.write_text(SETTINGS.replace('"zone"', '"zoen"'))
    command = [sys.executable, "-m", "vanillawell.daemon", str(path)]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    assert done.returncode == 2
    assert "Traceback" not in done.stderr
    assert "did you mean 'zone'?" in done.stderr


@pytest.mark.parametrize(
    ("nodes", "key", "reason"),
    [
        ({"x": {"kind": "group", "parent": "nowhere"}}, "nodes.x.parent", "nowhere"),
        (
            {
                "x": {"kind": "group", "parent": "y"},
                "y": {"kind": "group", "parent": "x"},
            },
            "nodes.x.parent",
            "cycle",
        ),
        (
            {"x": {"kind": "pool", "parent": "fleet", "instances": {"check-1": instance()}}},
            "nodes.x.instances.check-1",
            "pool-check",
        ),
        (
            {"x": {"kind": "organisation", "parent": "fleet", "settings": {"guaranteed": 11}}},
            "nodes.x.settings.limit",
            "below the guaranteed share of 11",
        ),
        (
            {"x": {"kind": "pool", "parent": "fleet", "service": "s", "settings": {"budget": 2}}},
            "nodes.x.settings.budget",
            "0 instances",
        ),
    ],
)
def test_invalid_tree_is_rejected_with_the_key_and_reason(
    nodes: dict[str, Any], key: str, reason: str
) -> None:
    found = {finding.key: finding.reason for finding in check_tree(tree(**nodes)).errors}
    assert reason in found[key]


def test_effective_value_comes_from_the_nearest_level_that_sets_it() -> None:
    nodes = {
        "banks": {"kind": "group", "parent": "fleet", "settings": {"limit": 30}},
        "bank-a": {"kind": "organisation", "parent": "banks"},
    }
    found = effective_value(tree(**nodes), "bank-a", "limit")
    assert (found.value, found.level) == (30, "banks")


def test_merged_limit_changes_keep_the_highest_limit() -> None:
    changes: dict[str, tuple[LimitChange, ...]] = {}
    for version in range(1, MAX_LIMIT_CHANGES + 5):
        limit = 100 if version == 2 else 10 + version
        nodes = {"fleet": {"kind": "fleet", "settings": {"limit": limit}}}
        changes = next_limit_changes(tree(**nodes), version, changes)
    assert len(changes["guild"]) == MAX_LIMIT_CHANGES
    assert changes["guild"][0].limit == 100


def test_peer_messages_are_unchanged_by_encoding_and_decoding() -> None:
    rows = (Row("pool-check", "guild", 3, 1.25),)
    beat = Beat(presence("entry-1"), Versions(7, 3), 0.5, (DemandReport("zone-2", 3, 99, rows),))
    messages: list[Message] = [
        beat,
        Acknowledgement(Versions(7, 3), float("inf")),
        DocumentRequest(DocumentKind.ASSIGNMENT, 3),
        DocumentReply(DocumentKind.CONFIGURATION, 8, b"{}"),
    ]
    names = NameTable(7, ("pool-check",), ("builders", "guild"))
    assert [decode(encode(message, names), names) for message in messages] == messages


def test_largest_configuration_fits_into_one_store_value() -> None:
    document = slopes.build_configuration(430, 4000).to_bytes()
    assert len(document) < 100_000
    assert len(Configuration.from_bytes(document).tree.of_kind("organisation")) == 430


def test_reports_with_another_name_table_version_are_ignored() -> None:
    """While a new configuration spreads, two entries may have different indexes of organisations.

    Rows decoded with the wrong indexes would attribute one organisation's demand to another.
    """
    rows = (Row("pool-check", "guild", 3, 1.25),)
    beat = Beat(presence("entry-1"), Versions(7, 3), 0.5, (DemandReport("zone-2", 3, 99, rows),))
    old = NameTable(7, ("pool-check",), ("guild",))
    new = NameTable(8, ("pool-check",), ("bakers", "guild"))
    read = decode(encode(beat, old), new)
    assert isinstance(read, Beat)
    assert read.reports == ()


def test_settings_reference_matches_the_settings_classes() -> None:
    page = Path(__file__).parents[2] / "docs" / "settings.md"
    assert page.read_text() == render()


def test_missing_holder_counts_as_ended_only_after_its_holding_term() -> None:
    """An entry cut off from the store continues to use the limit units that it holds.

    If its missing presence alone counted as its end, others would reuse the units, and the
    organisation would exceed its limit.
    """
    liveness = HolderLiveness(timing(holding_term=100, longest_request=10, clock_drift=0))
    old = presence("entry-1", "old")
    liveness.observe([old], 0.0)
    liveness.observe([], 5.0)
    assert liveness.ended([old.holder]) == set()
    liveness.observe([], 100.0)
    assert liveness.ended([old.holder]) == set()
    liveness.observe([], 116.0)
    assert liveness.ended([old.holder]) == {old.holder}


def test_restart_of_an_entry_ends_its_previous_incarnation() -> None:
    liveness = HolderLiveness(timing(holding_term=100, longest_request=10, clock_drift=0))
    old, new = presence("entry-1", "old"), presence("entry-1", "new")
    liveness.observe([new], 5.0)
    assert liveness.ended([old.holder]) == set()
    liveness.observe([new], 15.0)
    assert liveness.ended([old.holder]) == {old.holder}
