"""Carry peer messages over TCP, each behind its length."""

from __future__ import annotations

import struct
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
from anyio.streams.buffered import BufferedByteReceiveStream

from vanillawell.exceptions import PeerProtocolError
from vanillawell.protocol.peer_messages import Message, NameTable, decode, encode
from vanillawell.transport.sockets import apply_tcp_options

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import ByteStream

LENGTH = struct.Struct(">I")

LARGEST_MESSAGE = 4 * 2**20
"""Bytes; a longer announced length means that the other end is no peer of ours."""


class PeerStream:
    """Send and receive whole messages over one connection."""

    def __init__(
        self,
        stream: ByteStream,
        names: Callable[[], NameTable],
        count: Callable[[str, int], None],
    ) -> None:
        self._stream = stream
        self._names = names
        self._reader = BufferedByteReceiveStream(stream)
        self._count = count

    async def send(self, message: Message) -> int:
        """Send one message and return its bytes on the wire."""
        data = encode(message, self._names())
        await self._stream.send(LENGTH.pack(len(data)) + data)
        self._count("sent", len(data) + LENGTH.size)
        return len(data) + LENGTH.size

    async def receive(self) -> Message:
        """Receive one message; raises PeerProtocolError if it is none of ours."""
        (length,) = LENGTH.unpack(await self._reader.receive_exactly(LENGTH.size))
        if length > LARGEST_MESSAGE:
            raise PeerProtocolError(f"peer message of {length} bytes")
        data = await self._reader.receive_exactly(length)
        self._count("received", length + LENGTH.size)
        return decode(data, self._names())


async def connect(host: str, port: int, local_host: str, timeout: float) -> ByteStream:
    """Open a connection to a peer; raises OSError or TimeoutError."""
    with anyio.fail_after(timeout):
        stream = await anyio.connect_tcp(host, port, local_host=local_host)
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    apply_tcp_options(raw)
    return stream


@dataclass(frozen=True, slots=True)
class TcpPeerTransport:
    """Reach peers over TCP."""

    dial = staticmethod(connect)
    wrap = PeerStream
