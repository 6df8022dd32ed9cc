"""Exchange JSON documents over kept HTTP/1.1 connections, for everything the platform offers.

One owner makes hundreds of small calls a second on about one core. A client on a parser and plain
streams takes a fraction of the processor time of a general connection pool.
"""

from __future__ import annotations

import logging
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import anyio
import httptools
import orjson
from anyio.abc import SocketAttribute

from vanillawell import clock
from vanillawell.protocol.call_errors import NoAnswerError, NotSentError
from vanillawell.transport.sockets import apply_silence_options

if TYPE_CHECKING:
    from collections.abc import Mapping

    from anyio.abc import SocketStream

log = logging.getLogger(__name__)

CONNECT_BOUND = 1.0
"""Seconds to wait for a connection; a lost opening packet is sent again only after that."""

IDLE_BOUND = 12.0
"""Seconds after which an unused connection is not used again; the other ends close after 15."""

STALL_BOUND = 1.0
"""Seconds without a further byte after which an answer that has begun to arrive is given up."""

LONGEST_ANSWER = 10.0
"""Seconds after which an answer is given up even while it arrives; a page of 1 MB takes two over a
link of 5 Mbit/s."""

READ_SIZE = 65_536
"""Bytes taken from a connection at once."""


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """Status and body of an answer."""

    status: int
    body: bytes

    def document(self) -> Any:
        """Parse the body; raises NoAnswerError if it is not JSON."""
        try:
            return orjson.loads(self.body)
        except orjson.JSONDecodeError as error:
            raise NoAnswerError("the answer is not JSON") from error


class _Answer:
    """Collect one answer from the parser's callbacks."""

    def __init__(self) -> None:
        self.complete = False
        self.reusable = False
        self.body = bytearray()
        self.parser = httptools.HttpResponseParser(self)

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        self.body += data

    def on_message_complete(self) -> None:
        """Note that the answer is whole, and whether the connection stays open after it.

        The parser forgets the latter with the next message, so it is read here.
        """
        self.complete = True
        self.reusable = self.parser.should_keep_alive()


class _Connection:
    """One connection, used for one call at a time."""

    def __init__(self, stream: SocketStream, opened: float) -> None:
        self._stream = stream
        self.opened = opened
        self.idle_since = opened
        self.reusable = False

    async def exchange(self, request: bytes, timeout: float) -> HttpAnswer:
        """Send a request and read its whole answer, which has to begin within `timeout` seconds.

        An answer that is arriving is not given up: asked for again from its first byte, a large
        one would never be read over a narrow link. Raises TimeoutError.
        """
        self.reusable = False
        answer = _Answer()
        began = anyio.current_time()
        with anyio.fail_after(timeout) as scope:
            await self._stream.send(request)
            while not answer.complete:
                answer.parser.feed_data(await self._stream.receive(READ_SIZE))
                arriving = anyio.current_time() + min(timeout, STALL_BOUND)
                scope.deadline = max(scope.deadline, min(arriving, began + LONGEST_ANSWER))
        self.reusable = answer.reusable
        return HttpAnswer(answer.parser.get_status_code(), bytes(answer.body))

    async def close(self) -> None:
        """Drop the connection without waiting for the other end."""
        await anyio.aclose_forcefully(self._stream)


class HttpClient:
    """Own the connections to all addresses of the platform."""

    def __init__(self) -> None:
        self._idle: defaultdict[str, list[_Connection]] = defaultdict(list)
        self.opened = 0
        """Connections opened so far."""

    async def call(
        self,
        address: str,
        method: str,
        path: str,
        document: object = None,
        timeout: float = 1.0,
        headers: Mapping[str, str] | None = None,
        fresh: bool = False,
    ) -> HttpAnswer:
        """Make one call, whose answer has to begin within `timeout` seconds, over a new connection
        if `fresh`.

        Raises:
            NotSentError: No connection could be opened, so the call had no effect.
            NoAnswerError: The call went out and no whole answer came back.
        """
        body = b"" if document is None else orjson.dumps(document)
        request = _render(address, method, path, body, headers)
        began = clock.read()
        connection = await self._take(address, began, min(timeout, CONNECT_BOUND), fresh)
        try:
            answer = await connection.exchange(request, timeout)
        except TimeoutError as error:
            await connection.close()
            await self._drop_older(address, began)
            raise NoAnswerError(f"{path}: no answer in {timeout:.1f} s") from error
        except (OSError, anyio.EndOfStream, anyio.BrokenResourceError) as error:
            await connection.close()
            raise NoAnswerError(f"{path}: {type(error).__name__}") from error
        except httptools.HttpParserError as error:
            await connection.close()
            raise NoAnswerError(f"{path}: malformed answer: {error}") from error
        except BaseException:
            await connection.close()
            raise
        await self._give_back(address, connection)
        return answer

    async def _take(self, address: str, now: float, bound: float, fresh: bool) -> _Connection:
        idle = self._idle[address]
        while idle and not fresh:
            connection = idle.pop()
            if now - connection.idle_since < IDLE_BOUND:
                return connection
            await connection.close()
        return _Connection(await self._open(address, bound), now)

    async def _open(self, address: str, bound: float) -> SocketStream:
        host, _, port = address.rpartition(":")
        if not port.isdigit():
            raise NotSentError(f"{address!r} is no address")
        try:
            with anyio.fail_after(bound):
                stream = await anyio.connect_tcp(host, int(port))
        except TimeoutError as error:
            raise NotSentError(f"{address}: no connection in {bound:.1f} s") from error
        except OSError as error:
            raise NotSentError(f"{address}: {error}") from error
        apply_silence_options(stream.extra(SocketAttribute.raw_socket))
        self.opened += 1
        return stream

    async def _give_back(self, address: str, connection: _Connection) -> None:
        if not connection.reusable:
            await connection.close()
            return
        connection.idle_since = clock.read()
        self._idle[address].append(connection)

    async def _drop_older(self, address: str, moment: float) -> None:
        """Close idle connections from before a call that timed out.

        When the path to an address loses track of its connections, all open ones stay silent
        while new ones work. Trying them one by one would cost a timeout each.
        """
        idle = self._idle[address]
        old = [connection for connection in idle if connection.opened < moment]
        self._idle[address] = [connection for connection in idle if connection not in old]
        for connection in old:
            await connection.close()

    async def close(self) -> None:
        """Close all unused connections."""
        for connections in self._idle.values():
            while connections:
                await connections.pop().close()


def _render(
    address: str, method: str, path: str, body: bytes, headers: Mapping[str, str] | None
) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", f"Host: {address}", f"Content-Length: {len(body)}"]
    if body:
        lines.append("Content-Type: application/json")
    lines.extend(f"{name}: {value}" for name, value in (headers or {}).items())
    return "\r\n".join((*lines, "", "")).encode("latin-1") + body
