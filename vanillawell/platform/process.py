"""Assemble and run one scheduler process on the users' platform."""

from __future__ import annotations

import logging
import os
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

import anyio

from vanillawell import logs, signals
from vanillawell.config.loader import load_model
from vanillawell.config.node_settings import NodeSettings
from vanillawell.coordination.ports import DocumentCodec, Ports
from vanillawell.node import STOP_NOTICE, Node
from vanillawell.platform import documents
from vanillawell.platform.callers import CallerApp, ReadyApp
from vanillawell.platform.executors import PlatformExecutors
from vanillawell.platform.http import HttpClient
from vanillawell.platform.machines import PlatformAdvice, PlatformMachines
from vanillawell.platform.store import PlatformStore
from vanillawell.transport.asgi import bind, server
from vanillawell.transport.metrics import MetricsApp
from vanillawell.transport.sockets import apply_tcp_options

if TYPE_CHECKING:
    import socket

    from vanillawell.config.settings import Address
    from vanillawell.transport.asgi import EmbeddedServer

log = logging.getLogger(__name__)

SETTINGS_VARIABLE = "VANILLAWELL_SETTINGS"
"""Environment variable with the path of the settings file."""

CALLER_KEEPALIVE = 75
"""Seconds after which an idle connection of a caller is closed; callers close theirs earlier."""


@dataclass(frozen=True, slots=True)
class ListeningServer:
    """A server and its listening socket."""

    server: EmbeddedServer
    listener: socket.socket

    async def serve(self) -> None:
        """Serve until the server is told to exit."""
        await self.server.serve([self.listener])


def build_ports(settings: NodeSettings, http: HttpClient) -> Ports:
    """Connect the scheduler's ports to the services of the platform."""
    return Ports(
        store=PlatformStore(http, settings.store),
        executors=PlatformExecutors(http),
        machines=PlatformMachines(http, settings.machines),
        advice=PlatformAdvice(http, settings.advice) if settings.advice else None,
        documents=DocumentCodec(
            policy=documents.read_config,
            wave=documents.read_wave,
            executor=documents.read_executor,
            write_wave_state=documents.write_wave_state,
            keys=documents.KEYS,
        ),
    )


def listen(app: Any, address: Address, key: str) -> ListeningServer:
    """Bind an address and build its server; `key` names the setting in errors."""
    listener = bind(address.host, address.port, key)
    apply_tcp_options(listener)
    return ListeningServer(server(app, keepalive=CALLER_KEEPALIVE), listener)


async def run(settings: NodeSettings) -> None:
    """Serve until a planned stop."""
    http = HttpClient()
    node = Node(settings, build_ports(settings, http))
    ready = ReadyApp(node.job_service)
    apps = {
        "caller": (CallerApp(node.job_service, node.telemetry), settings.caller),
        "ready": (ready, settings.ready),
        "metrics": (MetricsApp(node.telemetry.registry, node.refresh_telemetry), settings.metrics),
    }
    servers = [listen(app, address, key) for key, (app, address) in apps.items()]
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        await tasks.start(signals.handle_signals, stop)
        tasks.start_soon(logs.flush_periodically)
        for item in servers:
            tasks.start_soon(item.serve)
        tasks.start_soon(node.run)
        log.info("started", extra={"instance": settings.instance, "zone": settings.zone})
        await stop.wait()
        ready.stopping = True
        tasks.start_soon(node.hand_over)
        await anyio.sleep(STOP_NOTICE)
        for item in servers:
            item.server.should_exit = True
        await anyio.sleep(node.stop_duration - STOP_NOTICE)
        log.info("stopped", extra={"instance": settings.instance})
        tasks.cancel_scope.cancel()


def main() -> None:
    """Load the settings and run until a planned stop."""
    settings = load_model(Path(os.environ[SETTINGS_VARIABLE]), NodeSettings)
    logs.configure_queued(settings.instance, settings.log_level)
    anyio.run(run, settings, backend_options={"use_uvloop": True})
