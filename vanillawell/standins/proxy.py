"""Run the fault-injecting TCP proxy that stands for the network in tests and the demo.

Each link listens on an address and forwards to a target. The zone at the other end is told by
the source address: an entry of zone number N binds its sockets to 127.0.N.x. Faults match links
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

CHUNK = 65_536
"""Bytes read at once."""

DELAYED_CHUNKS = 1_000
"""Chunks that may be under way in one direction of a delayed connection."""

SILENCE_POLL = 0.2
"""Seconds between two looks at whether a silent connection's fault was cleared."""

ENDED = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)
"""Errors by which either end of a connection is seen to have closed."""


class FaultKind(StrEnum):
    """What a fault does to the connections that it matches."""

    DELAY = "delay"
    CUT = "cut"
    SILENCE = "silence"
    SILENCE_OLD = "silence-old"
    CUT_AFTER_REQUEST = "cut-after-request"
    HALF_ANSWER = "half-answer"
    CUT_IN_ANSWER = "cut-in-answer"


@dataclass(slots=True)
class Fault:
    """One fault in force."""

    kind: FaultKind
    link: str = ""
    """Prefix of the link's name; empty matches all."""

    source_zone: int = 0
    """Zone of the end that opened the connection; 0 matches all."""

    target_zone: int = 0
    """Zone of the link's target; 0 matches all."""

    seconds: float = 0.0
    """Delay each way."""

    count: int = 1_000_000
    """How many more times it strikes, for those that strike once per request."""

    contains: str = ""
    """Text that the request must contain, for those that strike once per request."""

    after: int = 0
    """Bytes of the answer that pass, for cut-in-answer."""

    before: int = 0
    """Number of the first connection that it leaves alone, for silence-old."""


@dataclass(frozen=True, slots=True)
class Link:
    """One forwarded address."""

    name: str
    host: str
    port: int
    zone: int


def zone_of(address: str) -> int:
    """Return the zone number of a source address 127.0.N.x."""
    return int(address.split(".")[2])


class Network:
    """Hold the faults in force and count connections."""

    def __init__(self) -> None:
        self.faults: dict[str, Fault] = {}
        self.counts: Counter[str] = Counter()
        self._numbers = itertools.count(1)
        self._last = 0
        self._open: set[Connection] = set()

    def next_number(self) -> int:
        """Number a new connection."""
        self._last = next(self._numbers)
        return self._last

    def set_fault(self, name: str, fault: Fault) -> None:
        """Put a fault in force."""
        fault.before = self._last
        self.faults[name] = fault
        if fault.kind is FaultKind.CUT:
            for connection in list(self._open):
                if connection.matches(fault):
                    connection.abort()

    def add(self, connection: Connection) -> None:
        """Keep an open connection."""
        self._open.add(connection)

    def remove(self, connection: Connection) -> None:
        """Forget a closed connection."""
        self._open.discard(connection)


class Connection:
    """Forward one connection, with the faults that match it."""

    def __init__(self, network: Network, link: Link, source_zone: int) -> None:
        self._network = network
        self._link = link
        self._source_zone = source_zone
        self._number = network.next_number()
        self._scope = anyio.CancelScope()
        self._request_tail = b""
        self._answered = 0

    def matches(self, fault: Fault) -> bool:
        """Tell whether a fault is about this connection."""
        return (
            self._link.name.startswith(fault.link)
            and fault.source_zone in (0, self._source_zone)
            and fault.target_zone in (0, self._link.zone)
        )

    def abort(self) -> None:
        """Close both ends."""
        self._scope.cancel()

    def _fault(self, *kinds: FaultKind) -> Fault | None:
        found = (item for item in self._network.faults.values() if item.kind in kinds)
        return next((item for item in found if item.count > 0 and self.matches(item)), None)

    def _silent(self) -> bool:
        old = self._fault(FaultKind.SILENCE_OLD)
        if old and self._number <= old.before:
            return True
        return self._fault(FaultKind.SILENCE) is not None

    def _delay(self) -> float:
        fault = self._fault(FaultKind.DELAY)
        return fault.seconds if fault else 0.0

    async def run(self, near: SocketStream) -> None:
        """Forward until either end closes."""
        self._network.counts[self._link.name] += 1
        if self._fault(FaultKind.CUT):
            await near.aclose()
            return
        self._network.add(self)
        try:
            with self._scope:
                async with near:
                    await self._join(near)
        except* ENDED:
            pass
        finally:
            self._network.remove(self)

    async def _join(self, near: SocketStream) -> None:
        far = await anyio.connect_tcp(self._link.host, self._link.port)
        async with far, anyio.create_task_group() as tasks:
            tasks.start_soon(self._forward, near, far, True)
            tasks.start_soon(self._forward, far, near, False)

    async def _forward(self, source: SocketStream, sink: SocketStream, request: bool) -> None:
        give, take = anyio.create_memory_object_stream[tuple[float, bytes]](DELAYED_CHUNKS)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._deliver, take, sink)
            async with give:
                await self._read(source, sink, request, give)
        self.abort()

    async def _read(
        self,
        source: SocketStream,
        sink: SocketStream,
        request: bool,
        give: MemoryObjectSendStream[tuple[float, bytes]],
    ) -> None:
        while True:
            try:
                data = await source.receive(CHUNK)
            except ENDED:
                await self._while_silent()
                return
            if self._silent():
                continue
            if request:
                self._request_tail = (self._request_tail + data)[-CHUNK:]
            elif await self._strike(data, sink):
                return
            if delay := self._delay():
                await give.send((anyio.current_time() + delay, data))
            else:
                await sink.send(data)

    async def _while_silent(self) -> None:
        """Keep the end of a silent connection to oneself; whoever lost track tells nobody."""
        while self._silent():
            await anyio.sleep(SILENCE_POLL)

    async def _deliver(
        self, take: MemoryObjectReceiveStream[tuple[float, bytes]], sink: SocketStream
    ) -> None:
        async for due, data in take:
            await anyio.sleep(max(0.0, due - anyio.current_time()))
            if not self._silent():
                await sink.send(data)

    async def _strike(self, data: bytes, sink: SocketStream) -> bool:
        """Play a fault that ends a connection on its answer; True if it did."""
        fault = self._fault(
            FaultKind.CUT_AFTER_REQUEST, FaultKind.HALF_ANSWER, FaultKind.CUT_IN_ANSWER
        )
        self._answered = len(data) + (0 if self._request_tail else self._answered)
        if fault and fault.kind is FaultKind.CUT_IN_ANSWER and self._answered <= fault.after:
            self._request_tail = b""
            return False
        if not fault or fault.contains.encode() not in self._request_tail:
            self._request_tail = b""
            return False
        fault.count -= 1
        self._network.counts[f"struck {fault.kind}"] += 1
        if fault.kind is FaultKind.HALF_ANSWER:
            await sink.send(data[: len(data) // 2])
        self.abort()
        return True


class ControlApp:
    """Let tests set and clear faults."""

    def __init__(self, network: Network) -> None:
        self._network = network

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one control call."""
        if scope["type"] != "http":
            return
        request: dict[str, Any] = orjson.loads(await read_body(receive, CHUNK) or b"{}")
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
    """Serve all links until the process is ended."""
    network = Network()
    async with anyio.create_task_group() as tasks:
        for text in links:
            name, listen, target_host, target_port, zone = text.split(",")
            link = Link(name, target_host, int(target_port), int(zone))
            listener = await anyio.abc.SocketListener.from_socket(bind(host, int(listen), name))
            tasks.start_soon(_serve_link, network, link, listener)
        control_server = server(ControlApp(network))
        await control_server.serve(sockets=[bind(host, control, "control")])


async def _serve_link(network: Network, link: Link, listener: anyio.abc.SocketListener) -> None:
    async def handle(near: SocketStream) -> None:
        address = near.extra(anyio.abc.SocketAttribute.remote_address)
        await Connection(network, link, zone_of(str(address[0]))).run(near)

    await listener.serve(handle)


def main(
    links: Annotated[
        list[str],
        typer.Argument(help="NAME,LISTEN_PORT,TARGET_HOST,TARGET_PORT,ZONE of each link."),
    ],
    control: Annotated[int, typer.Option(help="Port of the tests' control calls.")],
    host: Annotated[str, typer.Option()] = "127.0.0.1",
) -> None:
    """Run the fault-injecting proxy."""
    anyio.run(serve, host, control, links, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    typer.run(main)
