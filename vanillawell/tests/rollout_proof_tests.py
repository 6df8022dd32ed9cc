"""Test that an accepted configuration is soon in force on all entries and never reverts."""

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
"""Seconds for which a stopping entry still accepts requests; the default."""

BALANCER_LAG = 0.5
"""Seconds after which the load balancer sends no more requests to a stopping entry."""


def units_held(entry: EntryHandle) -> int:
    return int(entry.status()["organisations"]["guild"]["units_held"])


def applied_versions(entry: EntryHandle) -> list[str]:
    """Return the versions that an entry has applied, in order."""
    return re.findall(r'"state":"version (\d+)"', entry.process.log_text)


def versions(fleet: Fleet) -> list[int]:
    return [int(entry.status()["version"]) for entry in fleet.entries.values()]


def test_a_withdrawn_key_is_refused_by_all_entries_within_seconds(tmp_path: Path) -> None:
    """One zone has lost the store but still receives updates from peers when a key is withdrawn.

    Its entries must receive the change from their peers; otherwise the withdrawn key would still
    give access there.
    """
    with running_fleet(tmp_path, **THREE_ZONES) as fleet:
        fleet.fault("cut", "cut", link="store-1")
        started = time.monotonic()
        fleet.cli("key", "withdraw", "guild", "first")
        for entry in fleet.entries.values():
            wait_until(
                lambda e=entry: send_one(e, Call()).status == 401,  # type: ignore[misc]
                f"{entry.name} refuses the key",
                bound=10.0,
            )
        print(f"withdrawn key refused everywhere after {time.monotonic() - started:.2f} s")


def test_an_isolated_zone_refuses_keys_after_their_freshness_bound(tmp_path: Path) -> None:
    """A zone has lost the store and all other zones, so it cannot learn of withdrawn keys.

    It continues to serve for the configured freshness bound, then refuses requests as not run.
    """
    with running_fleet(
        tmp_path, **THREE_ZONES, fleet_settings={"key_freshness": 4.0, "reserve": 1.0}
    ) as fleet:
        wait_until(lambda: all(units_held(e) for e in fleet.entries.values()), "all hold units")
        fleet.fault("store", "cut", link="store-1")
        fleet.fault("out", "cut", link="peer", source_zone=1)
        fleet.fault("in", "cut", link="peer", target_zone=1)
        entry = fleet.entries["entry-1-1"]
        assert send_one(entry, Call()).status == 200
        wait_until(
            lambda: send_one(entry, Call()).problem == "configuration-stale",
            "it refuses after the bound",
        )
        for name in ("store", "out", "in"):
            fleet.clear(name)
        wait_until(lambda: send_one(entry, Call()).status == 200, "it serves again")


def test_versions_only_increase_despite_cuts_restarts_and_a_restored_store(tmp_path: Path) -> None:
    """A zone is cut off and reconnected, an entry restarts in an outage, the store is restored.

    Each of these could put an older configuration back into force, and with it a withdrawn key or
    an old limit.
    """
    with running_fleet(tmp_path, **THREE_ZONES) as fleet:
        older_value = control(
            "127.0.0.1",
            int(fleet.store_address.rpartition(":")[2]),
            "/v3/kv/range",
            {"key": b64encode(CONFIGURATION_KEY.encode()).decode()},
        )["kvs"][0]["value"]
        fleet.fault("cut", "cut", link="store-1")
        fleet.cli("node", "set", "guild", "limit=5")
        wait_until(lambda: min(versions(fleet)) == 2, "the cut-off zone receives it from peers")
        fleet.store_faults(down=True)
        restarted = fleet.entries["entry-2-1"]
        restarted.process.kill()
        restarted.process.start()
        fleet.store_faults(down=False)
        put = {"key": b64encode(CONFIGURATION_KEY.encode()).decode(), "value": older_value}
        control("127.0.0.1", int(fleet.store_address.rpartition(":")[2]), "/v3/kv/put", put)
        fleet.clear("cut")
        wait_until(lambda: restarted.ready, "the restarted entry is ready")
        wait_until(
            lambda: min(versions(fleet)) == 2, "it receives the newer version from its peers"
        )
        wait_until(
            lambda: any("older" in e.process.log_text for e in fleet.entries.values()),
            "the older version is logged",
        )
        assert versions(fleet) == [2] * 6
        others = [entry for entry in fleet.entries.values() if entry is not restarted]
        assert all(applied_versions(entry) == ["1", "2"] for entry in others)


def test_no_accepted_change_of_concurrent_operators_is_lost(tmp_path: Path) -> None:
    """Several operators change settings at the same time, and the store is slow.

    Each change is either accepted or refused with the differences; no accepted change is lost.
    """
    with running_fleet(tmp_path) as fleet:
        fleet.store_faults(delay=0.4)
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


def test_a_change_whose_answer_was_lost_is_recognised(tmp_path: Path) -> None:
    """The store applies a change and its answer is lost; the command must not report a conflict."""
    with running_fleet(tmp_path) as fleet:
        fleet.store_faults(lose_answers=1)
        fleet.cli("node", "set", "guild", "limit=5")
        history = fleet.cli("config", "history")
        assert [item["version"] for item in history] == [1, 2]
        assert fleet.cli("config", "show")["nodes"]["guild"]["settings"]["limit"] == 5


def test_a_command_retries_a_read_whose_answer_was_lost(tmp_path: Path) -> None:
    """The store does not answer a read. The entry is killed first, so the read is the command's.

    A command that stopped there would report an error even after its change was accepted.
    """
    with running_fleet(tmp_path) as fleet:
        fleet.entries["entry-1-1"].process.kill()
        fleet.store_faults(lose_reads=1)
        assert fleet.cli("node", "set", "guild", "limit=5")["version"] == 2
        fleet.store_faults(lose_reads=1)
        assert [item["version"] for item in fleet.cli("config", "history")] == [1, 2]
        fleet.store_faults(lose_reads=100)
        ended = fleet.try_cli("config", "history")
        assert ended.returncode == 4
        assert ended.stderr.startswith("vanillawell: store gave no answer")


def test_an_earlier_tree_is_restored_as_a_new_version(tmp_path: Path) -> None:
    with running_fleet(tmp_path) as fleet:
        fleet.cli("node", "set", "guild", "limit=5")
        fleet.cli("config", "restore", "1", "--wait")
        assert versions(fleet) == [3]
        assert fleet.cli("config", "show")["nodes"]["guild"]["settings"]["limit"] == 8


def test_a_planned_stop_cuts_no_request(tmp_path: Path) -> None:
    """An entry is stopped under load, and the load balancer reacts a moment later.

    Each accepted request must be answered; none may be cut off or lost. Some run longer than the
    stop notice. Units are held in advance and the limits exceed the number of open requests, so
    that no request is refused for lack of a unit.
    """
    timing = QUICK_TIMING | {"stop_notice": STOP_NOTICE, "longest_request": 10.0}
    high_limits = {"guild": {"limit": 100}, "court": {"limit": 100}}
    with running_fleet(
        tmp_path, **THREE_ZONES | {"timing": timing, "organisations": high_limits}
    ) as fleet:
        entries = dict(fleet.entries)
        stopping = entries["entry-1-1"]
        callers = SteadyCallers(
            list(entries.values()),
            lambda n: Call(mark=f"m{n}", run_seconds=0.05 + n % 5 * 0.1, timeout=5.0),
            open_requests=12,
        )
        long_request = Call(organisation="court", run_seconds=STOP_NOTICE + 1, timeout=10.0)
        long_replies: list[Reply] = []

        wait_until(lambda: all(units_held(e) for e in entries.values()), "all hold units")

        def script() -> None:
            wait_for_answers(callers, 30, "requests are answered")
            long_callers = threading.Thread(
                target=lambda: long_replies.extend(send_all([(stopping, long_request)] * 3))
            )
            long_callers.start()
            wait_until(
                lambda: stopping.status()["organisations"]["court"]["running"] == 3, "they run"
            )
            thread = threading.Thread(target=stopping.process.stop)
            thread.start()
            wait_until(lambda: not stopping.ready, "the entry is not ready any more")
            time.sleep(BALANCER_LAG)
            callers.remove_entry(stopping)
            thread.join()
            long_callers.join()
            assert stopping.process.wait() == 0
            wait_for_answers(callers, 30, "the other entries answer")

        replies = run_during_load(callers, script)
        assert len(long_replies) == 3
        assert [reply for reply in [*replies, *long_replies] if reply.status != 200] == []
        held = fleet.entries["entry-1-2"].status()["entries"]
        assert held <= 6


def test_a_slow_rollout_names_lagging_entries_and_has_its_own_exit_status(tmp_path: Path) -> None:
    """One entry is paused while an operator waits for a change to be in force.

    Its lease must outlast the start of the command, however slow that is: the command does not
    wait for an entry whose presence has expired.
    """
    long_lease = {"poll_interval": 0.5, "lease_ttl": 30.0, "timeout": 0.7}
    with running_fleet(tmp_path, entries_per_zone=2, store=long_lease) as fleet:
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
