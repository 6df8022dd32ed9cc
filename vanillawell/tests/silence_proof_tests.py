"""Prove that silent connections of callers, peers and the store are found and replaced."""

from __future__ import annotations

import re
import socket
import time
from typing import TYPE_CHECKING, Any

from vanillawell.standins.deployment import organisation_key
from vanillawell.standins.processes import wait_until
from vanillawell.tests.builders import QUICK_TIMING
from vanillawell.tests.caller import Call
from vanillawell.tests.fleet_base import running_fleet, send_one

if TYPE_CHECKING:
    from pathlib import Path

    from vanillawell.standins.fleet import EntryHandle, Fleet

THREE_ZONES: dict[str, Any] = {
    "zones": 3,
    "entries_per_zone": 2,
    "executors_per_service": 3,
    "timing": QUICK_TIMING | {"peer_timeout": 1.0},
}


def versions(fleet: Fleet) -> list[int]:
    return [int(entry.status()["version"]) for entry in fleet.entries.values()]


def open_request(entry: EntryHandle, head: str) -> socket.socket:
    """Send the head of a request over a connection of its own."""
    connection = socket.create_connection((entry.host, entry.ports.caller), 5)
    key = organisation_key("guild")
    connection.sendall(f"{head}\r\nHost: x\r\nAuthorization: Bearer {key}\r\n".encode())
    return connection


def read_answer(connection: socket.socket) -> str:
    """Read a whole answer; its head and its body may arrive one after the other."""
    answer = b""
    while True:
        head, end, body = answer.partition(b"\r\n\r\n")
        length = re.search(rb"content-length: (\d+)", head)
        if end and length and len(body) >= int(length[1]):
            return answer.decode()
        part = connection.recv(4096)
        assert part, f"broken off after {answer!r}"
        answer += part


def test_silent_connections_to_the_store_and_to_peers_are_replaced(tmp_path: Path) -> None:
    """All open connections to the store and between entries go silent; new ones work.

    A watch on a silent connection reports nothing, and a configuration would never arrive.
    """
    with running_fleet(tmp_path, **THREE_ZONES) as fleet:
        fleet.set_fault("store", "silence-old", link="store")
        fleet.set_fault("peers", "silence-old", link="peer")
        started = time.monotonic()
        fleet.cli("node", "set", "guild", "limit=5")
        wait_until(lambda: min(versions(fleet)) == 2, "the change is in force everywhere")
        print(f"in force after {time.monotonic() - started:.2f} s of silence")


def test_peers_alone_replace_silent_connections(tmp_path: Path) -> None:
    """Connections between entries go silent while one zone has lost the store.

    That zone hears of changes only from its peers, over connections that must be new ones.
    """
    with running_fleet(tmp_path, **THREE_ZONES) as fleet:
        fleet.set_fault("cut", "cut", link="store-1")
        fleet.set_fault("peers", "silence-old", link="peer")
        fleet.cli("node", "set", "guild", "limit=5")
        wait_until(lambda: min(versions(fleet)) == 2, "the change is in force everywhere")


def test_one_way_cuts_between_zones_do_not_keep_a_change_away(tmp_path: Path) -> None:
    """Zone 1 has lost the store and can open no connection, but others can reach it."""
    with running_fleet(tmp_path, **THREE_ZONES) as fleet:
        fleet.set_fault("store", "cut", link="store-1")
        fleet.set_fault("out", "cut", link="peer", source_zone=1)
        fleet.cli("node", "set", "guild", "limit=5")
        wait_until(lambda: min(versions(fleet)) == 2, "the change is in force everywhere")


def test_a_change_reaches_a_zone_whose_presence_has_lapsed(tmp_path: Path) -> None:
    """Zone 1 has lost the store and can open no connection, for longer than its leases last.

    It goes on serving with the units that it holds, so the others must go on telling it: a change
    made minutes after a cut is no less urgent than one made in its first second.
    """
    with running_fleet(tmp_path, **THREE_ZONES) as fleet:
        fleet.set_fault("store", "cut", link="store-1")
        fleet.set_fault("out", "cut", link="peer", source_zone=1)
        others = [entry for entry in fleet.entries.values() if entry.zone != 1]
        wait_until(
            lambda: all(entry.status()["entries"] == len(others) for entry in others),
            "zone 1 is off the others' lists",
        )
        fleet.cli("node", "set", "guild", "limit=5")
        wait_until(lambda: min(versions(fleet)) == 2, "the change is in force everywhere")


def test_an_entry_that_has_ended_is_not_called_for_ever(tmp_path: Path) -> None:
    """An entry is killed. Those that kept a link to it must close it, or links would add up."""
    with running_fleet(tmp_path, **THREE_ZONES) as fleet:
        killed = fleet.entries.pop("entry-1-1")
        killed.process.kill()
        link = f'"link to 127.0.0.1:{killed.ports.advertised}","state":"given up"'
        wait_until(
            lambda: all(link in entry.process.log_text for entry in fleet.entries.values()),
            "all give it up",
        )


def test_a_zone_that_can_send_but_not_be_reached_hears_of_a_change(tmp_path: Path) -> None:
    """Zone 1 has lost the store and nobody can open a connection to it, but it can to others."""
    with running_fleet(tmp_path, **THREE_ZONES) as fleet:
        fleet.set_fault("store", "cut", link="store-1")
        fleet.set_fault("in", "cut", link="peer", target_zone=1)
        fleet.cli("node", "set", "guild", "limit=5")
        wait_until(lambda: min(versions(fleet)) == 2, "the change is in force everywhere")


def test_a_caller_that_goes_silent_in_its_request_is_refused(tmp_path: Path) -> None:
    """A caller announces a body, sends half of it and says nothing more.

    Without a bound each such caller would hold memory and a connection for ever.
    """
    with running_fleet(tmp_path) as fleet:
        entry = fleet.entries["entry-1-1"]
        with open_request(entry, "POST /check/item HTTP/1.1") as connection:
            connection.sendall(b"Request-Timeout: 0.5\r\nContent-Length: 100\r\n\r\nhalf")
            connection.settimeout(10)
            answer = read_answer(connection)
        assert answer.startswith("HTTP/1.1 408")
        assert "body-late" in answer


def test_a_caller_that_stops_reading_frees_its_slot(tmp_path: Path) -> None:
    """A caller asks for a large answer and takes nothing of it.

    Its unit of the limit and its executor's slot must come free all the same.
    """
    with running_fleet(tmp_path, organisations={"guild": {"limit": 1}}) as fleet:
        fleet.set_behaviour([], answer_bytes=60_000_000)
        entry = fleet.entries["entry-1-1"]
        with open_request(entry, "GET /check/item HTTP/1.1") as connection:
            connection.sendall(b"\r\n")
            wait_until(lambda: entry.status()["organisations"]["guild"]["running"] == 1, "it runs")
            wait_until(
                lambda: entry.status()["organisations"]["guild"]["running"] == 0, "it is given up"
            )
        fleet.set_behaviour([], answer_bytes=0)
        wait_until(lambda: send_one(entry, Call()).status == 200, "the next request runs")
