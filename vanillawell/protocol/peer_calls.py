"""Describe connections between entries, free of any transport."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from contextlib import AbstractAsyncContextManager

    from anyio.abc import ByteStream

    from vanillawell.protocol.documents import Presence
    from vanillawell.protocol.peer_messages import Message, NameTable


class PeerLink(Protocol):
    """One connection that carries whole messages."""

    async def send(self, message: Message) -> int:
        """Send one message and return its bytes on the wire."""

    async def receive(self) -> Message:
        """Receive one message; raises PeerProtocolError if it is none of ours."""


class PeerTransport(Protocol):
    """How connections to other entries are opened and read."""

    @property
    def dial(self) -> Callable[[str, int, str, float], Awaitable[ByteStream]]:
        """Return what opens a connection: to host and port, from a local host, within seconds."""

    @property
    def wrap(
        self,
    ) -> Callable[[ByteStream, Callable[[], NameTable], Callable[[str, int], None]], PeerLink]:
        """Return what lets a connection carry messages."""


class AdminClient(Protocol):
    """One entry's admin port."""

    async def get(self, path: str, timeout: float) -> Any:
        """Fetch a document; raises NotSentError or NoAnswerError."""


class AdminCalls(Protocol):
    """How other entries' admin ports are reached."""

    def client(self, member: Presence) -> AbstractAsyncContextManager[AdminClient]:
        """Return a client for one entry's admin port."""
