"""Run an emulated fleet: platform, backend servers, network proxies and entries."""

from __future__ import annotations

import ssl
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

import httpcore
import orjson

from vanillawell.standins.deployment import (
    Deployment,
    entry_names,
    executor_placements,
    operator_tree,
    zone_name,
)
from vanillawell.standins.load import Target
from vanillawell.standins.processes import (
    AccessOptions,
    Process,
    call,
    free_port,
    responds_ok,
    wait_until,
)

if TYPE_CHECKING:
    from types import TracebackType

LOOPBACK = "127.0.0.1"

ENTRY_HOST = "127.0.{zone}.{number}"
"""Address of an entry; the proxy derives the zone of a connection from it."""


@dataclass(frozen=True, slots=True)
class EntryPorts:
    """Ports of one entry; the proxy forwards `advertised` to `peer`."""

    caller: int
    admin: int
    peer: int
    advertised: int


class EntryHandle:
    """Control one entry of the fleet."""

    def __init__(
        self,
        name: str,
        zone: int,
        number: int,
        process: Process,
        ports: EntryPorts,
        access: AccessOptions,
    ):
        self._access = access
        self.name = name
        self.zone = zone
        self.host = ENTRY_HOST.format(zone=zone, number=number)
        self.process = process
        self.ports = ports

    @property
    def ready(self) -> bool:
        """Return whether the entry reports that the load balancer may send it requests."""
        return self.process.running and responds_ok(
            self.host, self.ports.admin, "/ready", self._access
        )

    def status(self) -> Any:
        """Return the status document of the entry."""
        return call(self.host, self.ports.admin, "/status", access=self._access)

    def metrics(self) -> str:
        """Return the metrics of the entry in the text format."""
        with httpcore.ConnectionPool(ssl_context=self._access.context) as pool:
            url = f"{self._access.scheme}://{self.host}:{self.ports.admin}/metrics"
            return pool.request("GET", url).content.decode()


class Fleet:
    """Manage all processes of one emulated deployment."""

    def __init__(self, deployment: Deployment, folder: Path) -> None:
        self.deployment = deployment
        self._folder = folder
        self.cli_options: list[str] = list(deployment.cli_options)
        self._executors = executor_placements(deployment)
        self._executor_ports = {executor.name: free_port() for executor in self._executors}
        self._executor_link_ports = {executor.name: free_port() for executor in self._executors}
        self._store_port = free_port()
        self._store_link_ports = {zone: free_port() for zone in range(1, deployment.zones + 1)}
        self._control_ports = {name: free_port() for name in ("backend", "network", "wires")}
        self._seed_port = free_port()
        self.entries = {
            name: self._build_entry(name, zone, number)
            for name, zone, number in entry_names(deployment)
        }
        self.platform = self._build_process(
            "platform", "vanillawell.standins.platform", ["--port", str(self._store_port)]
        )
        self.backend = self._build_process(
            "backend", "vanillawell.standins.backend", self._backend_arguments()
        )
        self.executor_proxy = self._build_process(
            "network", "vanillawell.standins.proxy", self._executor_proxy_arguments()
        )
        self.control_proxy = self._build_process(
            "wires", "vanillawell.standins.proxy", self._control_proxy_arguments()
        )

    def __enter__(self) -> Fleet:
        try:
            self.start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()

    @property
    def store_address(self) -> str:
        """Return the address of the store itself, not of a proxy link."""
        return f"{LOOPBACK}:{self._store_port}"

    def _build_process(self, name: str, module: str, arguments: list[str]) -> Process:
        return Process(name, module, arguments, self._folder / f"{name}.log")

    def _build_entry(self, name: str, zone: int, number: int) -> EntryHandle:
        first = (zone, number) == (1, 1)
        advertised = self._seed_port if first else free_port()
        ports = EntryPorts(free_port(), free_port(), free_port(), advertised)
        path = self._folder / f"{name}.jsonc"
        host = ENTRY_HOST.format(zone=zone, number=number)
        path.write_bytes(orjson.dumps(self._entry_settings(name, zone, host, ports)))
        process = self._build_process(name, "vanillawell.daemon", [str(path)])
        return EntryHandle(name, zone, number, process, ports, self._admin_access())

    def _admin_access(self) -> AccessOptions:
        """Return the TLS context and token for admin ports from the settings of the entries."""
        settings = self.deployment.entry_settings
        trust = settings.get("admin_trust")
        context = ssl.create_default_context(cafile=trust["authorities"]) if trust else None
        token_file = settings.get("admin_token_file")
        return AccessOptions(context, Path(token_file).read_text().strip() if token_file else "")

    def _entry_settings(
        self, name: str, zone: int, host: str, ports: EntryPorts
    ) -> dict[str, object]:
        return {
            "instance": name,
            "zone": zone_name(zone),
            "caller": {"host": host, "port": ports.caller},
            "admin": {"host": host, "port": ports.admin},
            "peer": {"host": host, "port": ports.peer},
            "peer_advertised": {"host": LOOPBACK, "port": ports.advertised},
            "store": {
                "address": {"host": LOOPBACK, "port": self._store_link_ports[zone]},
                **self.deployment.store,
            },
            "timing": self.deployment.timing,
            "seeds": self._seed_addresses(name),
            "experiment": self.deployment.experiment,
            "platform": {"host": LOOPBACK, "port": self._store_link_ports[zone]},
            **self.deployment.entry_settings,
        }

    def _seed_addresses(self, name: str) -> list[dict[str, object]]:
        seeded = self.deployment.seeded and name != "entry-1-1"
        return [{"host": LOOPBACK, "port": self._seed_port}] if seeded else []

    def _backend_arguments(self) -> list[str]:
        executors = [f"{name}={port}" for name, port in self._executor_ports.items()]
        control = str(self._control_ports["backend"])
        options = ["--control", control, "--slots", str(self.deployment.slots)]
        return [*options, *self.deployment.backend_options, *executors]

    def _executor_proxy_arguments(self) -> list[str]:
        """Return the arguments of the proxy between entries and executors."""
        links = [
            f"executor-{executor.name},{self._executor_link_ports[executor.name]},{LOOPBACK},"
            f"{self._executor_ports[executor.name]},{executor.zone}"
            for executor in self._executors
        ]
        return ["--control", str(self._control_ports["network"]), *links]

    def _control_proxy_arguments(self) -> list[str]:
        """Return the arguments of the proxy to the store and between entries."""
        store_links = [
            f"store-{zone},{port},{LOOPBACK},{self._store_port},0"
            for zone, port in self._store_link_ports.items()
        ]
        peer_links = [
            f"peer-{entry.name},{entry.ports.advertised},{entry.host},{entry.ports.peer},"
            f"{entry.zone}"
            for entry in self.entries.values()
        ]
        return ["--control", str(self._control_ports["wires"]), *store_links, *peer_links]

    def start(self, entries: bool = True) -> None:
        """Start the emulators, push the configuration and, by default, start the entries."""
        for process in (self.platform, self.backend, self.executor_proxy, self.control_proxy):
            process.start()
        wait_until(
            lambda: responds_ok(LOOPBACK, self._store_port, "/control/counts"),
            "the platform responds",
        )
        if self.deployment.store_users:
            call(LOOPBACK, self._store_port, "/control/users", self.deployment.store_users)
        for name, port in self._control_ports.items():
            wait_until(lambda p=port: responds_ok(LOOPBACK, p, "/control/counts"), name)  # type: ignore[misc]
        for service, plan in self.deployment.services.items():
            names = [executor.name for executor in self._executors if executor.service == service]
            self.set_behaviour(names, mean_seconds=plan.mean_seconds)
        self._set_delays()
        self.set_up_machines()
        self.push(self.tree_document())
        if entries:
            self.start_entries()

    def start_entries(self) -> None:
        """Start all entries and wait until they are ready and list each other."""
        for entry in self.entries.values():
            entry.process.start()
        for entry in self.entries.values():
            wait_until(lambda e=entry: e.ready, f"{entry.name} is ready")  # type: ignore[misc]
        for entry in self.entries.values():
            wait_until(
                lambda e=entry: e.status()["entries"] == len(self.entries),  # type: ignore[misc]
                f"{entry.name} lists all entries",
            )

    def _set_delays(self) -> None:
        seconds = self.deployment.zone_delay_ms / 1000
        zones = range(1, self.deployment.zones + 1)
        for source_zone in zones if seconds else ():
            for target_zone in (zone for zone in zones if zone != source_zone):
                self.set_fault(
                    f"latency-{source_zone}-{target_zone}",
                    "delay",
                    seconds=seconds,
                    source_zone=source_zone,
                    target_zone=target_zone,
                )

    def close(self) -> None:
        """Kill all processes that still run."""
        processes = [entry.process for entry in self.entries.values()]
        processes += [self.platform, self.backend, self.executor_proxy, self.control_proxy]
        for process in processes:
            if process.running:
                process.resume()
                process.kill()

    def executor_target(self, name: str) -> Target:
        """Return the address of an executor itself, not of its proxy link."""
        return Target(LOOPBACK, self._executor_ports[name])

    def tree_document(self) -> dict[str, Any]:
        """Return the operators' configuration tree of the deployment as plain data."""
        tree = operator_tree(self.deployment, self._executor_link_ports)
        return tree.model_dump(mode="json", exclude_defaults=True)

    def push(self, document: dict[str, Any], *options: str) -> Any:
        """Push a configuration tree by the command line and return its JSON output."""
        path = self._folder / "tree.jsonc"
        path.write_bytes(orjson.dumps(document))
        return self.cli("config", "push", str(path), *options)

    def cli(self, *arguments: str) -> Any:
        """Run the operators' command line and return its JSON output; fail on an error status."""
        result = self.try_cli(*arguments)
        if result.returncode:
            raise AssertionError(f"{arguments}: {result.stderr}")
        return orjson.loads(result.stdout) if result.stdout.strip() else None

    def try_cli(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run the operators' command line and return its result whatever the exit status."""
        options = ["--store", self.store_address, "--output", "json", *self.cli_options]
        command = [sys.executable, "-m", "vanillawell.cli", *options, *arguments]
        return subprocess.run(command, capture_output=True, text=True, check=False)

    def set_fault(self, name: str, kind: str, **fields: object) -> None:
        """Set a network fault on all links that it matches."""
        for proxy in ("network", "wires"):
            document = {"name": name, "kind": kind, **fields}
            call(LOOPBACK, self._control_ports[proxy], "/control/set", document)

    def clear_fault(self, name: str) -> None:
        """Clear a network fault."""
        for proxy in ("network", "wires"):
            call(LOOPBACK, self._control_ports[proxy], "/control/clear", {"name": name})

    def network_counts(self) -> Any:
        """Return the counts of connections and applied faults on the links to executors."""
        return call(LOOPBACK, self._control_ports["network"], "/control/counts")

    def set_store_faults(self, **fields: object) -> None:
        """Set the faults of the store: down, slow, or losing responses."""
        call(LOOPBACK, self._store_port, "/control/faults", fields)

    def revoke_store_tokens(self) -> None:
        """Invalidate all authentication tokens of the store."""
        call(LOOPBACK, self._store_port, "/control/users", self.deployment.store_users)

    def store_counts(self) -> Any:
        """Return the store's counts of calls and open watches."""
        return call(LOOPBACK, self._store_port, "/control/counts")

    def set_behaviour(self, executors: list[str], **fields: object) -> None:
        """Change the behaviour of executors; an empty list means all."""
        document = {"executors": executors, **fields}
        call(LOOPBACK, self._control_ports["backend"], "/control/behaviour", document)

    def set_up_machines(self, **fields: object) -> None:
        """Configure the instances of the platform and its delays."""
        homes = {executor.name: f"pool-{executor.service}" for executor in self._executors}
        document = {"homes": homes, **fields}
        call(LOOPBACK, self._store_port, "/control/machines", document)

    def fail_instances(self, instances: list[str], seconds: float) -> None:
        """Make instances fail without notice for some seconds."""
        document = {"instances": instances, "seconds": seconds}
        call(LOOPBACK, self._store_port, "/control/fail", document)

    def remove_permanently(self, entry: EntryHandle) -> None:
        """Kill an entry and mark its instance as gone permanently."""
        entry.process.kill()
        call(LOOPBACK, self._store_port, "/control/gone", {"instances": [entry.name]})

    def set_up_workers(self, **fields: object) -> None:
        """Configure the workers of the platform and the jobs that fail."""
        call(LOOPBACK, self._store_port, "/control/workers", fields)

    def finished_jobs(self) -> Any:
        """Return the jobs that workers have completed and the number of stopped tasks."""
        return call(LOOPBACK, self._store_port, "/control/finished")

    def availability_record(self) -> Any:
        """Return the platform's record of minimum availability, moves and reboots."""
        return call(LOOPBACK, self._store_port, "/control/margins")

    def backend_counts(self) -> Any:
        """Return the counts of all executors together."""
        return call(LOOPBACK, self._control_ports["backend"], "/control/counts")

    def backend_runs(self) -> list[dict[str, Any]]:
        """Return a record of each request that an executor has run."""
        runs: list[dict[str, Any]] = call(
            LOOPBACK, self._control_ports["backend"], "/control/runs"
        )["runs"]
        return runs

    def reset_backend(self) -> None:
        """Reset the counts and run records of all executors."""
        call(LOOPBACK, self._control_ports["backend"], "/control/reset", {})
