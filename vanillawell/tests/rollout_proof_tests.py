"""Prove that an accepted configuration is in force everywhere soon and never reverts."""

from __future__ import annotations

import re
import threading
import time
from base64 import b64encode
from typing import TYPE_CHECKING, Any

import orjson

from vanillawell.standins.processes import call as control
from vanillawell.standins.processes import wait_until
from vanillawell.tests.builders import QUICK_TIMING
from vanillawell.tests.caller import Call, Reply
from vanillawell.tests.fleet_base import (
    SteadyCallers,
    run_during_load,
    running_fleet,
    send_all,
    send_one,
    wait_for_answers,
)

if TYPE_CHECKING:
    from pathlib import Path

    from vanillawell.standins.fleet import EntryHandle, Fleet

THREE_ZONES: dict[str, Any] = {"zones": 3, "entries_per_zone": 2, "executors_per_service": 3}

CONFIGURATION_KEY = "/vanillawell/configuration"

STOP_NOTICE = 3.0
"""Seconds from a stopping entry's notice to its end of taking requests, as by default."""

BALANCER_LAG = 0.5
"""Seconds after which the balancer sends nothing more to an entry that gave notice."""


def units_held(entry: EntryHandle) -> int:
    return int(entry.status()["organisations"]["guild"]["units_held"])


def versions_applied(entry: EntryHandle) -> list[str]:
    """Return the versions that an entry has brought into force, in their order."""
    return re.findall(r'"state":"version (\d+)"', entry.process.log_text)


def versions(fleet: Fleet) -> list[int]:
    return [int(entry.status()["version"]) for entry in fleet.entries.values()]


def test_a_withdrawn_key_stops_everywhere_within_seconds(tmp_path: Path) -> None:
    """One zone has lost the store but still hears its peers when a key is withdrawn.

    Its entries must learn of it from the others; a withdrawn key that goes on working there
    would let a former submitter in.
    """
    with running_fleet(tmp_path, **THREE_ZONES) as fleet:
        fleet.set_fault("cut", "cut", link="store-1")
        started = time.monotonic()
        fleet.cli("key", "withdraw", "guild", "first")
        for entry in fleet.entries.values():
            wait_until(
                lambda e=entry: send_one(e, Call()).status == 401,  # type: ignore[misc]
                f"{entry.name} refuses the key",
                timeout=10.0,
            )
        print(f"withdrawn key refused everywhere after {time.monotonic() - started:.2f} s")


def test_a_zone_without_any_word_refuses_keys_after_their_bound(tmp_path: Path) -> None:
    """A zone has lost the store and all other zones, so it cannot hear of withdrawn keys.

    For the bound that operators chose it goes on serving, then it refuses as not run.
    """
    with running_fleet(
        tmp_path, **THREE_ZONES, fleet_settings={"key_freshness": 4.0, "reserve": 1.0}
    ) as fleet:
        wait_until(lambda: all(units_held(e) for e in fleet.entries.values()), "all hold units")
        fleet.set_fault("store", "cut", link="store-1")
        fleet.set_fault("out", "cut", link="peer", source_zone=1)
        fleet.set_fault("in", "cut", link="peer", target_zone=1)
        entry = fleet.entries["entry-1-1"]
        assert send_one(entry, Call()).status == 200
        wait_until(
            lambda: send_one(entry, Call()).problem == "configuration-stale", "it refuses in time"
        )
        for name in ("store", "out", "in"):
            fleet.clear_fault(name)
        wait_until(lambda: send_one(entry, Call()).status == 200, "it serves again")


def test_versions_only_rise_through_cuts_restarts_and_an_older_store(tmp_path: Path) -> None:
    """A zone is cut off and comes back, an entry restarts in an outage, the store is restored.

    Any of these could bring an older configuration back into force, and with it a withdrawn key
    or an old limit.
    """
    with running_fleet(tmp_path, **THREE_ZONES) as fleet:
        older = control(
            "127.0.0.1",
            int(fleet.store_address.rpartition(":")[2]),
            "/v3/kv/range",
            {"key": b64encode(CONFIGURATION_KEY.encode()).decode()},
        )["kvs"][0]["value"]
        fleet.set_fault("cut", "cut", link="store-1")
        fleet.cli("node", "set", "guild", "limit=5")
        wait_until(lambda: min(versions(fleet)) == 2, "peers tell the cut-off zone")
        fleet.set_store_faults(down=True)
        restarted = fleet.entries["entry-2-1"]
        restarted.process.kill()
        restarted.process.start()
        fleet.set_store_faults(down=False)
        put = {"key": b64encode(CONFIGURATION_KEY.encode()).decode(), "value": older}
        control("127.0.0.1", int(fleet.store_address.rpartition(":")[2]), "/v3/kv/put", put)
        fleet.clear_fault("cut")
        wait_until(lambda: restarted.ready, "the restarted entry is ready")
        wait_until(lambda: min(versions(fleet)) == 2, "it learns the newer one from its peers")
        wait_until(
            lambda: any("older" in e.process.log_text for e in fleet.entries.values()),
            "the older one is noticed",
        )
        assert versions(fleet) == [2] * 6
        others = [entry for entry in fleet.entries.values() if entry is not restarted]
        assert all(versions_applied(entry) == ["1", "2"] for entry in others)


def test_of_racing_operators_none_is_lost(tmp_path: Path) -> None:
    """Several operators change settings at the same moment, and the store is slow.

    Each either wins or is told what the other changed; nobody's accepted change disappears.
    """
    with running_fleet(tmp_path) as fleet:
        fleet.set_store_faults(delay=0.4)
        results: dict[int, Any] = {}

        def change(number: int) -> None:
            results[number] = fleet.try_cli(
                "node", "create", f"organisation-{number}", "--kind", "organisation"
            )

        threads = [threading.Thread(target=change, args=(number,)) for number in range(6)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        won = {number for number, done in results.items() if done.returncode == 0}
        lost = {number for number, done in results.items() if done.returncode == 5}
        assert won | lost == set(range(6))
        assert won
        nodes = fleet.cli("config", "show")["nodes"]
        assert {number for number in range(6) if f"organisation-{number}" in nodes} == won
        assert all("the configuration changed meanwhile" in results[n].stderr for n in lost)


def test_an_operators_lost_answer_is_recognised(tmp_path: Path) -> None:
    """The store applies a change and its answer is lost; the command must not report a race."""
    with running_fleet(tmp_path) as fleet:
        fleet.set_store_faults(lose_answers=1)
        fleet.cli("node", "set", "guild", "limit=5")
        history = fleet.cli("config", "history")
        assert [item["version"] for item in history] == [1, 2]
        assert fleet.cli("config", "show")["nodes"]["guild"]["settings"]["limit"] == 5


def test_a_lost_answer_to_a_read_does_not_end_an_operators_command(tmp_path: Path) -> None:
    """The store leaves a read unanswered; the entry is gone, so that the command's is the one.

    A command that ended there would report an error, also after its change was accepted.
    """
    with running_fleet(tmp_path) as fleet:
        fleet.entries["entry-1-1"].process.kill()
        fleet.set_store_faults(lose_reads=1)
        assert fleet.cli("node", "set", "guild", "limit=5")["version"] == 2
        fleet.set_store_faults(lose_reads=1)
        assert [item["version"] for item in fleet.cli("config", "history")] == [1, 2]
        fleet.set_store_faults(lose_reads=100)
        ended = fleet.try_cli("config", "history")
        assert ended.returncode == 4
        assert ended.stderr.startswith("vanillawell: store gave no answer")


def test_an_earlier_tree_comes_back_as_a_new_version(tmp_path: Path) -> None:
    with running_fleet(tmp_path) as fleet:
        fleet.cli("node", "set", "guild", "limit=5")
        fleet.cli("config", "restore", "1", "--wait")
        assert versions(fleet) == [3]
        assert fleet.cli("config", "show")["nodes"]["guild"]["settings"]["limit"] == 8


def test_a_planned_stop_cuts_no_request(tmp_path: Path) -> None:
    """An entry is asked to stop while callers use it, the balancer noticing a moment later.

    Each request that it accepted must get its answer; none may be cut or lost. Some run on when
    the notice is over. Units are there and the limits above the open requests, so that none is
    refused for want of one.
    """
    timing = QUICK_TIMING | {"stop_notice": STOP_NOTICE, "longest_request": 10.0}
    roomy = {"guild": {"limit": 100}, "court": {"limit": 100}}
    with running_fleet(
        tmp_path, **THREE_ZONES | {"timing": timing, "organisations": roomy}
    ) as fleet:
        entries = dict(fleet.entries)
        stopping = entries["entry-1-1"]
        callers = SteadyCallers(
            list(entries.values()),
            lambda n: Call(mark=f"m{n}", run_seconds=0.05 + n % 5 * 0.1, timeout=5.0),
            open_requests=12,
        )
        outlasting = Call(organisation="court", run_seconds=STOP_NOTICE + 1, timeout=10.0)
        kept: list[Reply] = []

        wait_until(lambda: all(units_held(e) for e in entries.values()), "all hold units")

        def script() -> None:
            wait_for_answers(callers, 30, "requests are answered")
            long = threading.Thread(
                target=lambda: kept.extend(send_all([(stopping, outlasting)] * 3))
            )
            long.start()
            wait_until(
                lambda: stopping.status()["organisations"]["court"]["running"] == 3, "they run"
            )
            thread = threading.Thread(target=stopping.process.stop)
            thread.start()
            wait_until(lambda: not stopping.ready, "readiness goes off")
            time.sleep(BALANCER_LAG)
            callers.remove_entry(stopping)
            thread.join()
            long.join()
            assert stopping.process.wait() == 0
            wait_for_answers(callers, 30, "the others answer")

        replies = run_during_load(callers, script)
        assert len(kept) == 3
        assert [reply for reply in [*replies, *kept] if reply.status != 200] == []
        held = fleet.entries["entry-1-2"].status()["entries"]
        assert held <= 6


def test_a_slow_rollout_names_who_lags_and_ends_with_its_own_status(tmp_path: Path) -> None:
    """One entry is paused while operators wait for a change to be in force.

    Its presence must outlast the start of the command, however slow that is: an entry whose
    presence has lapsed is not waited for.
    """
    lasting = {"poll_interval": 0.5, "lease_ttl": 30.0, "timeout": 0.7}
    with running_fleet(tmp_path, entries_per_zone=2, store=lasting) as fleet:
        document = fleet.tree_document()
        document["nodes"]["guild"]["settings"]["limit"] = 5
        path = tmp_path / "changed.jsonc"
        path.write_bytes(orjson.dumps(document))
        fleet.entries["entry-1-2"].process.pause()
        done = fleet.try_cli("config", "push", str(path), "--wait", "--wait-bound", "2.5")
        fleet.entries["entry-1-2"].process.resume()
        assert "1 of 2 entries confirm, waiting for entry-1-2" in done.stderr
        assert done.returncode == 6


def test_a_dry_run_shows_the_difference_and_changes_nothing(tmp_path: Path) -> None:
    with running_fleet(tmp_path) as fleet:
        shown = fleet.cli("node", "set", "guild", "limit=5", "--dry-run")
        assert shown["changed"] is False
        assert any("limit" in line for line in shown["differences"])
        assert versions(fleet) == [1]
        changed = fleet.cli("node", "set", "guild", "limit=5", "--wait")
        assert (changed["changed"], changed["version"]) == (True, 2)
        assert changed["differences"] == shown["differences"]
        again = fleet.cli("node", "set", "guild", "limit=5")
        assert (again["changed"], again["differences"]) == (False, [])
