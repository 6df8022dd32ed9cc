"""Test that unresponsive connections of callers, peers and the store are detected."""

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
    """Open a connection and send the first headers of a request."""
    connection = socket.create_connection((entry.host, entry.ports.caller), 5)
    key = organisation_key("guild")
    connection.sendall(f"{head}\r\nHost: x\r\nAuthorization: Bearer {key}\r\n".encode())
    return connection


def read_answer(connection: socket.socket) -> str:
    """Read a complete answer; its head and its body may arrive separately."""
    answer = b""
    while True:
        head, end, body = answer.partition(b"\r\n\r\n")
        length = re.search(rb"content-length: (\d+)", head)
        if end and length and len(body) >= int(length[1]):
            return answer.decode()
        part = connection.recv(4096)
        assert part, f"connection closed after {answer!r}"
        answer += part


def test_unresponsive_connections_to_the_store_and_to_peers_are_replaced(tmp_path: Path) -> None:
    """All open connections to the store and between entries become unresponsive; new ones work.

    A watch on an unresponsive connection reports nothing, so a new configuration would never
    arrive.
    """
    with running_fleet(tmp_path, **THREE_ZONES) as fleet:
        fleet.fault("store", "silence-old", link="store")
        fleet.fault("peers", "silence-old", link="peer")
        started = time.monotonic()
        fleet.cli("node", "set", "guild", "limit=5")
        wait_until(lambda: min(versions(fleet)) == 2, "the change is in force everywhere")
        print(f"in force after {time.monotonic() - started:.2f} s without responses")


def test_peers_replace_unresponsive_connections_without_the_store(tmp_path: Path) -> None:
    """Connections between entries become unresponsive while one zone has lost the store.

    That zone receives changes only from its peers, which requires new connections.
    """
    with running_fleet(tmp_path, **THREE_ZONES) as fleet:
        fleet.fault("cut", "cut", link="store-1")
        fleet.fault("peers", "silence-old", link="peer")
        fleet.cli("node", "set", "guild", "limit=5")
        wait_until(lambda: min(versions(fleet)) == 2, "the change is in force everywhere")


def test_a_zone_that_cannot_open_connections_receives_a_change(tmp_path: Path) -> None:
    """Zone 1 has lost the store and cannot open connections to peers, but peers can reach it."""
    with running_fleet(tmp_path, **THREE_ZONES) as fleet:
        fleet.fault("store", "cut", link="store-1")
        fleet.fault("out", "cut", link="peer", source_zone=1)
        fleet.cli("node", "set", "guild", "limit=5")
        wait_until(lambda: min(versions(fleet)) == 2, "the change is in force everywhere")


def test_a_change_reaches_a_zone_whose_presence_has_expired(tmp_path: Path) -> None:
    """Zone 1 has lost the store and cannot open connections, for longer than its leases last.

    It continues to serve with the units that it holds, so the others must continue to send it
    updates: a change made minutes after a cut is as urgent as one made in its first second.
    """
    with running_fleet(tmp_path, **THREE_ZONES) as fleet:
        fleet.fault("store", "cut", link="store-1")
        fleet.fault("out", "cut", link="peer", source_zone=1)
        others = [entry for entry in fleet.entries.values() if entry.zone != 1]
        wait_until(
            lambda: all(entry.status()["entries"] == len(others) for entry in others),
            "zone 1 is no longer in the others' member lists",
        )
        fleet.cli("node", "set", "guild", "limit=5")
        wait_until(lambda: min(versions(fleet)) == 2, "the change is in force everywhere")


def test_links_to_a_terminated_entry_are_closed(tmp_path: Path) -> None:
    """An entry is killed. Its peers must close their links to it, or links would accumulate."""
    with running_fleet(tmp_path, **THREE_ZONES) as fleet:
        killed = fleet.entries.pop("entry-1-1")
        killed.process.kill()
        link = f'"link to 127.0.0.1:{killed.ports.advertised}","state":"closed"'
        wait_until(
            lambda: all(link in entry.process.log_text for entry in fleet.entries.values()),
            "all peers close their links to it",
        )


def test_a_zone_that_cannot_be_reached_receives_a_change(tmp_path: Path) -> None:
    """Zone 1 has lost the store and peers cannot connect to it, but it can connect to them."""
    with running_fleet(tmp_path, **THREE_ZONES) as fleet:
        fleet.fault("store", "cut", link="store-1")
        fleet.fault("in", "cut", link="peer", target_zone=1)
        fleet.cli("node", "set", "guild", "limit=5")
        wait_until(lambda: min(versions(fleet)) == 2, "the change is in force everywhere")


def test_a_caller_that_stops_sending_its_request_is_refused(tmp_path: Path) -> None:
    """A caller announces a body and sends only half of it.

    Without a timeout each such caller would hold memory and a connection indefinitely.
    """
    with running_fleet(tmp_path) as fleet:
        entry = fleet.entries["entry-1-1"]
        with open_request(entry, "POST /check/item HTTP/1.1") as connection:
            connection.sendall(b"Request-Timeout: 0.5\r\nContent-Length: 100\r\n\r\nhalf")
            connection.settimeout(10)
            answer = read_answer(connection)
        assert answer.startswith("HTTP/1.1 408")
        assert "body-late" in answer


def test_the_slot_of_a_caller_that_stops_reading_is_freed(tmp_path: Path) -> None:
    """A caller requests a large answer and does not read it.

    Its unit of the limit and its slot on the executor must still be released.
    """
    with running_fleet(tmp_path, organisations={"guild": {"limit": 1}}) as fleet:
        fleet.behave([], answer_bytes=60_000_000)
        entry = fleet.entries["entry-1-1"]
        with open_request(entry, "GET /check/item HTTP/1.1") as connection:
            connection.sendall(b"\r\n")
            wait_until(lambda: entry.status()["organisations"]["guild"]["running"] == 1, "it runs")
            wait_until(
                lambda: entry.status()["organisations"]["guild"]["running"] == 0, "it is aborted"
            )
        fleet.behave([], answer_bytes=0)
        wait_until(lambda: send_one(entry, Call()).status == 200, "the next request runs")
