"""Test TLS, the renewal of certificates, and access to the store and the admin port."""

from __future__ import annotations

import socket
import ssl
import time
from typing import TYPE_CHECKING, Any

import orjson
import pytest

from vanillawell.standins.processes import wait_until
from vanillawell.tests.builders import uuid7
from vanillawell.tests.caller import Call
from vanillawell.tests.certificates import CertificateAuthority
from vanillawell.tests.fleet_base import running_fleet, send_one, units_held

if TYPE_CHECKING:
    from pathlib import Path

    from vanillawell.standins.fleet import EntryHandle

ENTRY_HOST = "127.0.1.1"

PASSWORD = "correct horse"

USER = "operator"


def tls_fleet(folder: Path, authority: CertificateAuthority) -> dict[str, Any]:
    """Return the options of a fleet in which callers, backend servers and admin ports use TLS."""
    token = folder / "token"
    token.write_text("a secret\n")
    backend = authority.issue("backend", "127.0.0.1")
    return {
        "entries_per_zone": 2,
        "entry_settings": {
            "caller_tls": authority.issue("caller", ENTRY_HOST, "127.0.1.2"),
            "backend_tls": authority.trust,
            "admin_tls": authority.issue("admin", ENTRY_HOST, "127.0.1.2"),
            "admin_trust": authority.trust,
            "admin_token_file": str(token),
        },
        "backend_options": ["--certificate", backend["certificate"], "--key", backend["key"]],
        "cli_options": [
            "--authorities",
            str(authority.certificate_file),
            "--admin-token-file",
            str(token),
        ],
    }


def exchange(
    entry: EntryHandle, authority: CertificateAuthority, port: int, lines: str
) -> tuple[int, bytes]:
    """Send a request over TLS; return the serial number of the certificate and the answer."""
    context = ssl.create_default_context(cafile=authority.certificate_file)
    with (
        socket.create_connection((entry.host, port), timeout=5) as raw,
        context.wrap_socket(raw, server_hostname=entry.host) as connection,
    ):
        certificate = connection.getpeercert()
        assert certificate
        connection.sendall(f"{lines}\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
        parts = iter(lambda: connection.recv(65_536), b"")
        return int(str(certificate["serialNumber"]), 16), b"".join(parts)


def send_check_request(entry: EntryHandle, authority: CertificateAuthority) -> tuple[int, bytes]:
    """Call a service once the entry can run the request, and return the same as `exchange`."""
    wait_until(lambda: units_held(entry) > 0, "the entry holds units of the limit")
    lines = "GET /check/item HTTP/1.1\r\nAuthorization: Bearer vw-demo-guild"
    return exchange(entry, authority, entry.ports.caller, lines)


def test_callers_backend_servers_and_admin_ports_use_tls(tmp_path: Path) -> None:
    authority = CertificateAuthority(tmp_path)
    with running_fleet(tmp_path, **tls_fleet(tmp_path, authority)) as fleet:
        entry = fleet.entries["entry-1-1"]
        _, answer = send_check_request(entry, authority)
        assert answer.startswith(b"HTTP/1.1 200")
        assert send_one(entry, Call()).connection_error, "the caller port still accepts plain HTTP"
        assert set(fleet.cli("status")) == set(fleet.entries)
        assert fleet.cli("node", "set", "guild", "limit=5", "--wait")["lagging"] == []


def test_a_renewed_certificate_is_used_without_a_restart(tmp_path: Path) -> None:
    """A certificate is renewed while the entry runs, and its files are written one by one.

    An entry that loaded the new certificate with the previous key would fail every handshake; one
    that did not reload would keep using a certificate that expires.
    """
    authority = CertificateAuthority(tmp_path)
    with running_fleet(tmp_path, **tls_fleet(tmp_path, authority)) as fleet:
        entry = fleet.entries["entry-1-1"]
        before, _ = send_check_request(entry, authority)
        old_key = (tmp_path / "caller.key").read_bytes()
        renewed = authority.issue("caller", ENTRY_HOST, "127.0.1.2")
        new_key = (tmp_path / "caller.key").read_bytes()
        (tmp_path / "caller.key").write_bytes(old_key)
        wait_until(
            lambda: "not usable" in entry.process.log_text,
            "the entry reports the half-finished renewal",
        )
        serial, answer = send_check_request(entry, authority)
        assert (serial, answer[:12]) == (before, b"HTTP/1.1 200")
        (tmp_path / "caller.key").write_bytes(new_key)
        wait_until(
            lambda: send_check_request(entry, authority)[0] != before,
            "the entry uses the new certificate",
        )
        assert send_check_request(entry, authority)[1].startswith(b"HTTP/1.1 200")
        assert renewed["key"] == str(tmp_path / "caller.key")


def test_a_backend_server_with_an_untrusted_certificate_receives_no_request(tmp_path: Path) -> None:
    """Another server answers at a backend server's address, with an untrusted certificate."""
    authority, others = CertificateAuthority(tmp_path), tmp_path / "others"
    others.mkdir()
    forged = CertificateAuthority(others).issue("forged", "127.0.0.1")
    options = ["--certificate", forged["certificate"], "--key", forged["key"]]
    settings = tls_fleet(tmp_path, authority) | {"backend_options": options}
    with running_fleet(tmp_path, **settings) as fleet:
        _, answer = send_check_request(fleet.entries["entry-1-1"], authority)
        assert answer.startswith(b"HTTP/1.1 503")
        assert b'"verdict":"not-run"' in answer
        assert fleet.backend_runs() == []


def test_the_admin_port_requires_its_token_except_on_public_paths(tmp_path: Path) -> None:
    authority = CertificateAuthority(tmp_path)
    with running_fleet(tmp_path, **tls_fleet(tmp_path, authority)) as fleet:
        entry = fleet.entries["entry-1-1"]

        def status_of(path: str, bearer: str = "") -> bytes:
            header = f"\r\nAuthorization: Bearer {bearer}" if bearer else ""
            lines = f"GET {path} HTTP/1.1{header}"
            return exchange(entry, authority, entry.ports.admin, lines)[1][9:12]

        assert [status_of(path) for path in ("/status", "/burn", "/executors/check-1")] == [
            b"401"
        ] * 3
        assert status_of("/status", "a secre") == b"401"
        assert status_of("/status", "a secret") == b"200"
        assert [status_of(path) for path in ("/ready", "/live", "/metrics")] == [b"200"] * 3


def test_the_store_authenticates_who_changes_the_configuration(tmp_path: Path) -> None:
    """The store requires a login; its tokens end at once when its users change or it restarts."""
    password, wrong = tmp_path / "password", tmp_path / "wrong"
    password.write_text(PASSWORD)
    wrong.write_text("guess")
    options = ["--store-user", USER, "--store-password-file", str(password)]
    with running_fleet(
        tmp_path,
        store={"poll_interval": 0.5, "timeout": 0.7, "user": USER, "password_file": str(password)},
        cli_options=options,
        store_users={USER: PASSWORD},
    ) as fleet:
        assert fleet.cli("node", "set", "guild", "limit=5", "--wait")["entries"] == 1
        assert {row["author"] for row in fleet.cli("config", "history")} == {USER}
        fleet.revoke_store_tokens()
        stamp = Call(method="POST", mark="stamp", idempotency_key=uuid7(int(time.time() * 1000)))
        wait_until(
            lambda: send_one(fleet.entries["entry-1-1"], stamp).status == 200,
            "the entry has logged in again",
        )
        assert fleet.cli("node", "set", "guild", "limit=6", "--wait")["entries"] == 1
        fleet.cli_options = ["--store-user", USER, "--store-password-file", str(wrong)]
        refused = fleet.try_cli("node", "set", "guild", "limit=7")
        assert refused.returncode == 7
        assert refused.stderr.startswith("vanillawell: store: login as 'operator' failed")
        fleet.cli_options = []
        assert fleet.try_cli("node", "set", "guild", "limit=7").returncode == 7


@pytest.mark.parametrize("missing", ["caller.pem", "caller.key"])
def test_a_missing_certificate_stops_the_start_with_one_clear_error(
    tmp_path: Path, missing: str
) -> None:
    authority = CertificateAuthority(tmp_path)
    with running_fleet(tmp_path, **tls_fleet(tmp_path, authority)) as fleet:
        entry = fleet.entries["entry-1-1"]
        entry.process.kill()
        (tmp_path / missing).unlink()
        entry.process.start()
        assert entry.process.wait() == 2
        last = entry.process.log_text.splitlines()[-1]
        assert last.startswith("vanillawelld: caller_tls: cannot use the certificate files")


def test_admin_tls_requires_admin_trust(tmp_path: Path) -> None:
    authority = CertificateAuthority(tmp_path)
    with running_fleet(tmp_path) as fleet:
        path = tmp_path / "bad.jsonc"
        document = orjson.loads((tmp_path / "entry-1-1.jsonc").read_bytes())
        document["admin_tls"] = authority.issue("admin", ENTRY_HOST)
        path.write_bytes(orjson.dumps(document))
        checked = fleet.try_cli("settings", "check", str(path))
        assert checked.returncode == 2
        assert "admin_trust: needed where admin_tls is on" in checked.stderr
