"""Run the fault-injecting TCP proxy that emulates the network in tests and the demo.

Each link listens on an address and forwards to a target. The zone of the client is derived from
its source address: an entry of zone number N binds its sockets to 127.0.N.x. Faults match links
and zones, and can be set and cleared while connections are open.
"""

from __future__ import annotations

import itertools
from collections import Counter
from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated, Any

import anyio
import orjson
import typer
from anyio.abc import SocketStream
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from vanillawell.transport.asgi import (
    Receive,
    Scope,
    Send,
    bind,
    read_body,
    send_bytes,
    send_json,
    server,
)

CHUNK_SIZE = 65_536
"""Maximum number of bytes read at once."""

MAX_DELAYED_CHUNKS = 1_000
"""Maximum number of chunks in transit in one direction of a delayed connection."""

SILENCE_POLL_INTERVAL = 0.2
"""Seconds between two checks whether the fault of a silent connection was cleared."""

CONNECTION_CLOSED = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)
"""Errors raised when either end of a connection has closed it."""


class FaultKind(StrEnum):
    """Effect of a fault on the connections that it matches."""

    DELAY = "delay"
    CUT = "cut"
    SILENCE = "silence"
    SILENCE_OLD = "silence-old"
    CUT_AFTER_REQUEST = "cut-after-request"
    HALF_ANSWER = "half-answer"
    CUT_IN_ANSWER = "cut-in-answer"


@dataclass(slots=True)
class Fault:
    """One active fault."""

    kind: FaultKind
    link: str = ""
    """Prefix of the link's name; empty matches all links."""

    source_zone: int = 0
    """Zone of the client that opened the connection; 0 matches all zones."""

    target_zone: int = 0
    """Zone of the link's target; 0 matches all zones."""

    seconds: float = 0.0
    """Delay in each direction."""

    count: int = 1_000_000
    """Number of requests that the fault is still applied to, for faults of single requests."""

    contains: str = ""
    """Text that the request must contain, for faults of single requests."""

    after: int = 0
    """Bytes of the answer that are forwarded, for cut-in-answer."""

    before: int = 0
    """Number of the last connection that the fault applies to, for silence-old."""


@dataclass(frozen=True, slots=True)
class Link:
    """Name, target address and target zone of one link."""

    name: str
    host: str
    port: int
    zone: int


def zone_of(address: str) -> int:
    """Return the zone number of a source address 127.0.N.x."""
    return int(address.split(".")[2])


class Network:
    """Track active faults and open connections, and count connections."""

    def __init__(self) -> None:
        self.faults: dict[str, Fault] = {}
        self.counts: Counter[str] = Counter()
        self._numbers = itertools.count(1)
        self._last_number = 0
        self._open_connections: set[Connection] = set()

    def next_number(self) -> int:
        """Return the number of a new connection."""
        self._last_number = next(self._numbers)
        return self._last_number

    def set_fault(self, name: str, fault: Fault) -> None:
        """Activate a fault; a cut also closes the open connections that it matches."""
        fault.before = self._last_number
        self.faults[name] = fault
        if fault.kind is FaultKind.CUT:
            for connection in list(self._open_connections):
                if connection.matches(fault):
                    connection.abort()

    def add(self, connection: Connection) -> None:
        """Track an open connection."""
        self._open_connections.add(connection)

    def remove(self, connection: Connection) -> None:
        """Stop tracking a closed connection."""
        self._open_connections.discard(connection)


class Connection:
    """Forward one connection and apply the faults that match it."""

    def __init__(self, network: Network, link: Link, source_zone: int) -> None:
        self._network = network
        self._link = link
        self._source_zone = source_zone
        self._number = network.next_number()
        self._scope = anyio.CancelScope()
        self._request_tail = b""
        self._answer_bytes = 0

    def matches(self, fault: Fault) -> bool:
        """Return whether a fault matches this connection."""
        return (
            self._link.name.startswith(fault.link)
            and fault.source_zone in (0, self._source_zone)
            and fault.target_zone in (0, self._link.zone)
        )

    def abort(self) -> None:
        """Close the connections to both ends."""
        self._scope.cancel()

    def _fault(self, *kinds: FaultKind) -> Fault | None:
        matching = (item for item in self._network.faults.values() if item.kind in kinds)
        return next((item for item in matching if item.count > 0 and self.matches(item)), None)

    def _is_silent(self) -> bool:
        fault = self._fault(FaultKind.SILENCE_OLD)
        if fault and self._number <= fault.before:
            return True
        return self._fault(FaultKind.SILENCE) is not None

    def _delay(self) -> float:
        fault = self._fault(FaultKind.DELAY)
        return fault.seconds if fault else 0.0

    async def run(self, client: SocketStream) -> None:
        """Forward data until either end closes the connection."""
        self._network.counts[self._link.name] += 1
        if self._fault(FaultKind.CUT):
            await client.aclose()
            return
        self._network.add(self)
        try:
            with self._scope:
                async with client:
                    await self._forward_both_ways(client)
        except* CONNECTION_CLOSED:
            pass
        finally:
            self._network.remove(self)

    async def _forward_both_ways(self, client: SocketStream) -> None:
        target = await anyio.connect_tcp(self._link.host, self._link.port)
        async with target, anyio.create_task_group() as tasks:
            tasks.start_soon(self._forward, client, target, True)
            tasks.start_soon(self._forward, target, client, False)

    async def _forward(
        self, source: SocketStream, destination: SocketStream, is_request: bool
    ) -> None:
        sender, receiver = anyio.create_memory_object_stream[tuple[float, bytes]](
            MAX_DELAYED_CHUNKS
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._deliver, receiver, destination)
            async with sender:
                await self._read(source, destination, is_request, sender)
        self.abort()

    async def _read(
        self,
        source: SocketStream,
        destination: SocketStream,
        is_request: bool,
        sender: MemoryObjectSendStream[tuple[float, bytes]],
    ) -> None:
        while True:
            try:
                data = await source.receive(CHUNK_SIZE)
            except CONNECTION_CLOSED:
                await self._wait_while_silent()
                return
            if self._is_silent():
                continue
            if is_request:
                self._request_tail = (self._request_tail + data)[-CHUNK_SIZE:]
            elif await self._apply_answer_fault(data, destination):
                return
            if delay := self._delay():
                await sender.send((anyio.current_time() + delay, data))
            else:
                await destination.send(data)

    async def _wait_while_silent(self) -> None:
        """Withhold the close from the other end for as long as the connection is silent.

        A network path that has lost track of a connection forwards no close either.
        """
        while self._is_silent():
            await anyio.sleep(SILENCE_POLL_INTERVAL)

    async def _deliver(
        self, receiver: MemoryObjectReceiveStream[tuple[float, bytes]], destination: SocketStream
    ) -> None:
        async for due, data in receiver:
            await anyio.sleep(max(0.0, due - anyio.current_time()))
            if not self._is_silent():
                await destination.send(data)

    async def _apply_answer_fault(self, data: bytes, destination: SocketStream) -> bool:
        """Apply a fault that closes the connection on its answer; return whether one applied."""
        fault = self._fault(
            FaultKind.CUT_AFTER_REQUEST, FaultKind.HALF_ANSWER, FaultKind.CUT_IN_ANSWER
        )
        self._answer_bytes = len(data) + (0 if self._request_tail else self._answer_bytes)
        if fault and fault.kind is FaultKind.CUT_IN_ANSWER and self._answer_bytes <= fault.after:
            self._request_tail = b""
            return False
        if not fault or fault.contains.encode() not in self._request_tail:
            self._request_tail = b""
            return False
        fault.count -= 1
        self._network.counts[f"struck {fault.kind}"] += 1
        if fault.kind is FaultKind.HALF_ANSWER:
            await destination.send(data[: len(data) // 2])
        self.abort()
        return True


class ControlApp:
    """Serve the control calls by which tests set and clear faults."""

    def __init__(self, network: Network) -> None:
        self._network = network

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one control call."""
        if scope["type"] != "http":
            return
        request: dict[str, Any] = orjson.loads(await read_body(receive, CHUNK_SIZE) or b"{}")
        match scope["path"]:
            case "/control/set":
                name = request.pop("name")
                kind = FaultKind(request.pop("kind"))
                self._network.set_fault(name, Fault(kind, **request))
                await send_json(send, {"ok": True})
            case "/control/clear":
                self._network.faults.pop(request["name"], None)
                await send_json(send, {"ok": True})
            case "/control/counts":
                await send_json(send, dict(self._network.counts))
            case _:
                await send_bytes(send, 404, b"")


async def serve(host: str, control: int, links: list[str]) -> None:
    """Serve all links until the process is terminated."""
    network = Network()
    async with anyio.create_task_group() as tasks:
        for argument in links:
            name, listen, target_host, target_port, zone = argument.split(",")
            link = Link(name, target_host, int(target_port), int(zone))
            listener = await anyio.abc.SocketListener.from_socket(bind(host, int(listen), name))
            tasks.start_soon(_serve_link, network, link, listener)
        control_server = server(ControlApp(network))
        await control_server.serve(sockets=[bind(host, control, "control")])


async def _serve_link(network: Network, link: Link, listener: anyio.abc.SocketListener) -> None:
    async def handle(client: SocketStream) -> None:
        address = client.extra(anyio.abc.SocketAttribute.remote_address)
        await Connection(network, link, zone_of(str(address[0]))).run(client)

    await listener.serve(handle)


def main(
    links: Annotated[
        list[str],
        typer.Argument(help="NAME,LISTEN_PORT,TARGET_HOST,TARGET_PORT,ZONE of each link."),
    ],
    control: Annotated[int, typer.Option(help="Port for control calls of tests.")],
    host: Annotated[str, typer.Option()] = "127.0.0.1",
) -> None:
    """Run the fault-injecting proxy."""
    anyio.run(serve, host, control, links, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    typer.run(main)
