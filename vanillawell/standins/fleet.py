"""Run a whole emulated fleet: platform, backend servers, network and entries."""

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
    executor_places,
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
"""Address of an entry; the proxy tells zones by it."""


@dataclass(frozen=True, slots=True)
class EntryPorts:
    """Ports of one entry; `advertised` leads to `peer` through the proxy."""

    caller: int
    admin: int
    peer: int
    advertised: int


class EntryHandle:
    """One entry of the fleet."""

    def __init__(
        self,
        name: str,
        zone: int,
        number: int,
        process: Process,
        ports: EntryPorts,
        access: AccessOptions,
    ):
        self._door = access
        self.name = name
        self.zone = zone
        self.host = ENTRY_HOST.format(zone=zone, number=number)
        self.process = process
        self.ports = ports

    @property
    def ready(self) -> bool:
        """Tell whether the balancer may send callers to it."""
        return self.process.running and responds_ok(
            self.host, self.ports.admin, "/ready", self._door
        )

    def status(self) -> Any:
        """Return its status document."""
        return call(self.host, self.ports.admin, "/status", access=self._door)

    def metrics(self) -> str:
        """Return its metrics page."""
        with httpcore.ConnectionPool(ssl_context=self._door.context) as pool:
            url = f"{self._door.scheme}://{self.host}:{self.ports.admin}/metrics"
            return pool.request("GET", url).content.decode()


class Fleet:
    """Own all processes of one emulated deployment."""

    def __init__(self, deployment: Deployment, folder: Path) -> None:
        self.deployment = deployment
        self._folder = folder
        self.cli_options: list[str] = list(deployment.cli_options)
        self._places = executor_places(deployment)
        self._executor_ports = {place.name: free_port() for place in self._places}
        self._executor_links = {place.name: free_port() for place in self._places}
        self._store_port = free_port()
        self._store_links = {zone: free_port() for zone in range(1, deployment.zones + 1)}
        self._control_ports = {name: free_port() for name in ("backend", "network", "wires")}
        self._seed_port = free_port()
        self.entries = {
            name: self._entry(name, zone, number) for name, zone, number in entry_names(deployment)
        }
        self.platform = self._process(
            "platform", "vanillawell.standins.platform", ["--port", str(self._store_port)]
        )
        self.backend = self._process(
            "backend", "vanillawell.standins.backend", self._backend_arguments()
        )
        self.network = self._process(
            "network", "vanillawell.standins.proxy", self._network_arguments()
        )
        self.wires = self._process("wires", "vanillawell.standins.proxy", self._wire_arguments())

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
        """Return the store's own address, past the proxy."""
        return f"{LOOPBACK}:{self._store_port}"

    def _process(self, name: str, module: str, arguments: list[str]) -> Process:
        return Process(name, module, arguments, self._folder / f"{name}.log")

    def _entry(self, name: str, zone: int, number: int) -> EntryHandle:
        first = (zone, number) == (1, 1)
        advertised = self._seed_port if first else free_port()
        ports = EntryPorts(free_port(), free_port(), free_port(), advertised)
        path = self._folder / f"{name}.jsonc"
        host = ENTRY_HOST.format(zone=zone, number=number)
        path.write_bytes(orjson.dumps(self._entry_settings(name, zone, host, ports)))
        process = self._process(name, "vanillawell.daemon", [str(path)])
        return EntryHandle(name, zone, number, process, ports, self._door())

    def _door(self) -> AccessOptions:
        """Return how admin ports are reached, by the entries' settings."""
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
                "address": {"host": LOOPBACK, "port": self._store_links[zone]},
                **self.deployment.store,
            },
            "timing": self.deployment.timing,
            "seeds": self._seeds(name),
            "experiment": self.deployment.experiment,
            "platform": {"host": LOOPBACK, "port": self._store_links[zone]},
            **self.deployment.entry_settings,
        }

    def _seeds(self, name: str) -> list[dict[str, object]]:
        seeded = self.deployment.seeded and name != "entry-1-1"
        return [{"host": LOOPBACK, "port": self._seed_port}] if seeded else []

    def _backend_arguments(self) -> list[str]:
        executors = [f"{name}={port}" for name, port in self._executor_ports.items()]
        control = str(self._control_ports["backend"])
        options = ["--control", control, "--slots", str(self.deployment.slots)]
        return [*options, *self.deployment.backend_options, *executors]

    def _network_arguments(self) -> list[str]:
        """Return the links to executors; they carry the load."""
        links = [
            f"executor-{place.name},{self._executor_links[place.name]},{LOOPBACK},"
            f"{self._executor_ports[place.name]},{place.zone}"
            for place in self._places
        ]
        return ["--control", str(self._control_ports["network"]), *links]

    def _wire_arguments(self) -> list[str]:
        """Return the links to the store and between entries; they carry control."""
        stores = [
            f"store-{zone},{port},{LOOPBACK},{self._store_port},0"
            for zone, port in self._store_links.items()
        ]
        peers = [
            f"peer-{entry.name},{entry.ports.advertised},{entry.host},{entry.ports.peer},"
            f"{entry.zone}"
            for entry in self.entries.values()
        ]
        return ["--control", str(self._control_ports["wires"]), *stores, *peers]

    def start(self, entries: bool = True) -> None:
        """Start everything, push the configuration and wait until all entries are ready."""
        for process in (self.platform, self.backend, self.network, self.wires):
            process.start()
        wait_until(
            lambda: responds_ok(LOOPBACK, self._store_port, "/control/counts"), "the platform"
        )
        if self.deployment.store_users:
            call(LOOPBACK, self._store_port, "/control/users", self.deployment.store_users)
        for name, port in self._control_ports.items():
            wait_until(lambda p=port: responds_ok(LOOPBACK, p, "/control/counts"), name)  # type: ignore[misc]
        for service, plan in self.deployment.services.items():
            names = [place.name for place in self._places if place.service == service]
            self.set_behaviour(names, mean_seconds=plan.mean_seconds)
        self._set_delays()
        self.set_up_machines()
        self.push(self.tree_document())
        if entries:
            self.start_entries()

    def start_entries(self) -> None:
        """Start all entries and wait until they are ready and know each other."""
        for entry in self.entries.values():
            entry.process.start()
        for entry in self.entries.values():
            wait_until(lambda e=entry: e.ready, f"{entry.name} is ready")  # type: ignore[misc]
        for entry in self.entries.values():
            wait_until(
                lambda e=entry: e.status()["entries"] == len(self.entries),  # type: ignore[misc]
                f"{entry.name} knows all entries",
            )

    def _set_delays(self) -> None:
        seconds = self.deployment.zone_delay_ms / 1000
        zones = range(1, self.deployment.zones + 1)
        for near in zones if seconds else ():
            for far in (zone for zone in zones if zone != near):
                self.set_fault(
                    f"latency-{near}-{far}",
                    "delay",
                    seconds=seconds,
                    source_zone=near,
                    target_zone=far,
                )

    def close(self) -> None:
        """End every process."""
        processes = [entry.process for entry in self.entries.values()]
        processes += [self.platform, self.backend, self.network, self.wires]
        for process in processes:
            if process.running:
                process.resume()
                process.kill()

    def executor_target(self, name: str) -> Target:
        """Return an executor's own address, past the proxy."""
        return Target(LOOPBACK, self._executor_ports[name])

    def tree_document(self) -> dict[str, Any]:
        """Return the operators' tree of the deployment as plain data."""
        tree = operator_tree(self.deployment, self._executor_links)
        return tree.model_dump(mode="json", exclude_defaults=True)

    def push(self, document: dict[str, Any], *options: str) -> Any:
        """Push a tree by the command line and return what it prints."""
        path = self._folder / "tree.jsonc"
        path.write_bytes(orjson.dumps(document))
        return self.cli("config", "push", str(path), *options)

    def cli(self, *arguments: str) -> Any:
        """Run the operators' command line and return its JSON output."""
        done = self.try_cli(*arguments)
        if done.returncode:
            raise AssertionError(f"{arguments}: {done.stderr}")
        return orjson.loads(done.stdout) if done.stdout.strip() else None

    def try_cli(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run the operators' command line, whatever its exit status."""
        base = ["--store", self.store_address, "--output", "json", *self.cli_options]
        command = [sys.executable, "-m", "vanillawell.cli", *base, *arguments]
        return subprocess.run(command, capture_output=True, text=True, check=False)

    def set_fault(self, name: str, kind: str, **fields: object) -> None:
        """Put a network fault in force on all links that it matches."""
        for proxy in ("network", "wires"):
            document = {"name": name, "kind": kind, **fields}
            call(LOOPBACK, self._control_ports[proxy], "/control/set", document)

    def clear_fault(self, name: str) -> None:
        """End a network fault."""
        for proxy in ("network", "wires"):
            call(LOOPBACK, self._control_ports[proxy], "/control/clear", {"name": name})

    def network_counts(self) -> Any:
        """Return connections and struck faults of the links to executors."""
        return call(LOOPBACK, self._control_ports["network"], "/control/counts")

    def set_store_faults(self, **fields: object) -> None:
        """Let the store be down, slow, or lose answers."""
        call(LOOPBACK, self._store_port, "/control/faults", fields)

    def revoke_store_tokens(self) -> None:
        """Let the store forget who has logged in."""
        call(LOOPBACK, self._store_port, "/control/users", self.deployment.store_users)

    def store_counts(self) -> Any:
        """Return the calls that the store has counted."""
        return call(LOOPBACK, self._store_port, "/control/counts")

    def set_behaviour(self, executors: list[str], **fields: object) -> None:
        """Change how executors behave; an empty list means all."""
        document = {"executors": executors, **fields}
        call(LOOPBACK, self._control_ports["backend"], "/control/behaviour", document)

    def set_up_machines(self, **fields: object) -> None:
        """Tell the platform which instances it runs, and how slow it is."""
        homes = {place.name: f"pool-{place.service}" for place in self._places}
        document = {"homes": homes, **fields}
        call(LOOPBACK, self._store_port, "/control/machines", document)

    def fail_instances(self, instances: list[str], seconds: float) -> None:
        """Let instances fail without warning."""
        document = {"instances": instances, "seconds": seconds}
        call(LOOPBACK, self._store_port, "/control/fail", document)

    def remove_permanently(self, entry: EntryHandle) -> None:
        """Kill an entry whose instance is gone for good."""
        entry.process.kill()
        call(LOOPBACK, self._store_port, "/control/gone", {"instances": [entry.name]})

    def set_up_workers(self, **fields: object) -> None:
        """Tell the platform which workers it has, and which jobs cannot run."""
        call(LOOPBACK, self._store_port, "/control/workers", fields)

    def finished_jobs(self) -> Any:
        """Return the jobs that workers have done, and how many tasks were stopped."""
        return call(LOOPBACK, self._store_port, "/control/finished")

    def availability_record(self) -> Any:
        """Return the platform's true record of available instances."""
        return call(LOOPBACK, self._store_port, "/control/margins")

    def backend_counts(self) -> Any:
        """Return what all executors together have counted."""
        return call(LOOPBACK, self._control_ports["backend"], "/control/counts")

    def backend_runs(self) -> list[dict[str, Any]]:
        """Return every request that an executor has run."""
        runs: list[dict[str, Any]] = call(
            LOOPBACK, self._control_ports["backend"], "/control/runs"
        )["runs"]
        return runs

    def reset_backend(self) -> None:
        """Forget what executors have counted."""
        call(LOOPBACK, self._control_ports["backend"], "/control/reset", {})
