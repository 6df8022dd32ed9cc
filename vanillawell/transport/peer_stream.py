"""Carry peer messages over TCP, each with a length prefix."""

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

LENGTH_PREFIX = struct.Struct(">I")

MAX_MESSAGE_SIZE = 4 * 2**20
"""Maximum bytes of a message; a larger length prefix means that the other end is not a peer."""


class PeerStream:
    """Send and receive complete messages over one connection."""

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
        """Send one message and return its size on the wire in bytes."""
        data = encode(message, self._names())
        await self._stream.send(LENGTH_PREFIX.pack(len(data)) + data)
        self._count("sent", len(data) + LENGTH_PREFIX.size)
        return len(data) + LENGTH_PREFIX.size

    async def receive(self) -> Message:
        """Receive one message; raises PeerProtocolError if it is not a valid peer message."""
        (length,) = LENGTH_PREFIX.unpack(await self._reader.receive_exactly(LENGTH_PREFIX.size))
        if length > MAX_MESSAGE_SIZE:
            raise PeerProtocolError(f"peer message of {length} bytes is too large")
        data = await self._reader.receive_exactly(length)
        self._count("received", length + LENGTH_PREFIX.size)
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
    """Connect to peers over TCP."""

    dial = staticmethod(connect)
    wrap = PeerStream
