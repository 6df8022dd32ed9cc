"""Test the start of an entry when the store is unreachable or a port is taken."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from vanillawell.standins.processes import wait_until
from vanillawell.tests.caller import Call
from vanillawell.tests.fleet_base import running_fleet, send_one

if TYPE_CHECKING:
    from pathlib import Path

    from vanillawell.standins.fleet import Fleet


def test_an_entry_waits_for_an_unreachable_store_and_logs_it_once(tmp_path: Path) -> None:
    """An entry starts during an outage of the store and knows no peer.

    It must neither exit nor flood its log, and must serve as soon as the store is back.
    """
    with running_fleet(tmp_path) as fleet:
        entry = fleet.entries["entry-1-1"]
        entry.process.kill()
        fleet.set_store_faults(down=True)
        before = entry.process.log_text.count('"unreachable"')
        entry.process.start()
        wait_until(
            lambda: entry.process.log_text.count('"unreachable"') == before + 1,
            "the entry logs the outage",
        )
        wait_until(
            lambda: send_one(entry, Call()).problem == "starting", "requests are refused as not run"
        )
        requests_before = lease_requests(fleet)
        wait_until(lambda: lease_requests(fleet) >= requests_before + 4, "the entry keeps retrying")
        assert not entry.ready
        fleet.set_store_faults(down=False)
        wait_until(lambda: send_one(entry, Call()).status == 200, "the entry serves")
        assert entry.process.log_text.count('"unreachable"') == before + 1


def lease_requests(fleet: Fleet) -> int:
    return int(fleet.store_counts()["calls"].get("lease/grant", 0))


def test_a_taken_port_stops_the_start_with_one_clear_error(tmp_path: Path) -> None:
    with running_fleet(tmp_path) as fleet:
        entry = fleet.entries["entry-1-1"]
        entry.process.kill()
        with socket.socket() as other:
            other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            other.bind((entry.host, entry.ports.caller))
            other.listen()
            entry.process.start()
            assert entry.process.wait() == 3
        last = entry.process.log_text.splitlines()[-1]
        assert last.startswith("vanillawelld: caller: cannot bind")
        assert last.endswith("Address already in use")


def test_a_restarted_entry_gets_its_configuration_from_seeds_while_the_store_is_down(
    tmp_path: Path,
) -> None:
    """An entry is replaced during an outage of the store; its settings name a peer as seed.

    It gets the configuration from the peer, but holds no units of any limit, and refuses requests
    for that reason.
    """
    with running_fleet(tmp_path, entries_per_zone=2, seeded=True) as fleet:
        entry, other = fleet.entries["entry-1-2"], fleet.entries["entry-1-1"]
        entry.process.kill()
        wait_until(
            lambda: other.status()["entries"] == 1,
            "the other entry no longer counts it as a member",
        )
        fleet.set_store_faults(down=True)
        entry.process.start()
        wait_until(lambda: entry.ready, "the entry has a configuration")
        wait_until(
            lambda: send_one(entry, Call()).problem == "no-limit-units", "the entry holds no units"
        )
        fleet.set_store_faults(down=False)
        wait_until(lambda: send_one(entry, Call()).status == 200, "the entry serves")
