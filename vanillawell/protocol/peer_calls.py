"""Define connections between entries, independently of the transport."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from contextlib import AbstractAsyncContextManager

    from anyio.abc import ByteStream

    from vanillawell.protocol.documents import Presence
    from vanillawell.protocol.peer_messages import Message, NameTable


class PeerLink(Protocol):
    """One connection that carries complete messages."""

    async def send(self, message: Message) -> int:
        """Send one message and return its size on the wire in bytes."""

    async def receive(self) -> Message:
        """Receive one message; raises PeerProtocolError if it is malformed."""


class PeerTransport(Protocol):
    """Functions that open connections to other entries and frame messages on them."""

    @property
    def dial(self) -> Callable[[str, int, str, float], Awaitable[ByteStream]]:
        """Return a function that opens a connection.

        Its arguments are the remote host and port, the local host and the timeout in seconds.
        """

    @property
    def wrap(
        self,
    ) -> Callable[[ByteStream, Callable[[], NameTable], Callable[[str, int], None]], PeerLink]:
        """Return a function that wraps a connection so that it carries messages."""


class AdminClient(Protocol):
    """Client of one entry's admin port."""

    async def get(self, path: str, timeout: float) -> Any:
        """Fetch a document; raises NotSentError or NoAnswerError."""


class AdminCalls(Protocol):
    """Access to the admin ports of other entries."""

    def client(self, member: Presence) -> AbstractAsyncContextManager[AdminClient]:
        """Return a client for one entry's admin port."""
