"""Exchange JSON documents with the platform over persistent HTTP/1.1 connections.

A shard owner makes hundreds of small calls a second on about one core. A client built on a parser
and plain streams takes a fraction of the processor time of a general connection pool.
"""

from __future__ import annotations

import logging
import re
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import anyio
import httptools
import orjson
from anyio.abc import SocketAttribute

from vanillawell import clock
from vanillawell.platform.addresses import parse_address
from vanillawell.platform.idle_connections import IdleConnections
from vanillawell.protocol.call_errors import NoAnswerError, NotSentError
from vanillawell.transport.sockets import apply_tcp_options

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from anyio.abc import SocketStream

log = logging.getLogger(__name__)

CONNECT_TIMEOUT = 1.0
"""Seconds to wait for a connection; TCP retransmits a lost SYN only after that."""

STALL_TIMEOUT = 1.0
"""Seconds without new data after which a partly received answer is abandoned."""

MAX_ANSWER_DURATION = 10.0
"""Seconds after which an answer is abandoned even while data arrives; a page of 1 MB takes two
seconds over a link of 5 Mbit/s."""

READ_SIZE = 65_536
"""Maximum bytes read from a connection at once."""

LINE_END = re.compile(r"[\r\n\0]")
"""Characters that no line of a request's head may contain."""


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
    """Assemble one answer from the parser's callbacks."""

    def __init__(self) -> None:
        self.complete = False
        self.reusable = False
        self.body = bytearray()
        self.parser = httptools.HttpResponseParser(self)

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        self.body += data

    def on_message_complete(self) -> None:
        """Record that the answer is complete and whether the connection stays open after it.

        The parser resets the latter at the next message, so it is read here.
        """
        self.complete = True
        self.reusable = self.parser.should_keep_alive()


class _Connection:
    """A connection that carries one call at a time."""

    def __init__(self, stream: SocketStream, opened_at: float) -> None:
        self._stream = stream
        self.opened_at = opened_at
        self.idle_since = opened_at
        self.reusable = False

    async def exchange(self, request: bytes, timeout: float) -> HttpAnswer:
        """Send a request and read its complete answer, which has to begin within `timeout` seconds.

        Each part that arrives extends the deadline, up to `MAX_ANSWER_DURATION`. A large answer
        that was abandoned midway and requested again from its first byte would never arrive over a
        slow link. Raises TimeoutError.
        """
        self.reusable = False
        answer = _Answer()
        started_at = anyio.current_time()
        with anyio.fail_after(timeout) as scope:
            await self._stream.send(request)
            while not answer.complete:
                answer.parser.feed_data(await self._stream.receive(READ_SIZE))
                stall_deadline = anyio.current_time() + min(timeout, STALL_TIMEOUT)
                scope.deadline = max(
                    scope.deadline, min(stall_deadline, started_at + MAX_ANSWER_DURATION)
                )
        self.reusable = answer.reusable
        return HttpAnswer(answer.parser.get_status_code(), bytes(answer.body))

    async def close(self) -> None:
        """Close the connection without waiting for the other end."""
        await anyio.aclose_forcefully(self._stream)


class HttpClient:
    """HTTP client that keeps idle connections to the addresses of the platform."""

    def __init__(self) -> None:
        self._idle: IdleConnections[_Connection] = IdleConnections()
        self.connections_opened = 0
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
            NoAnswerError: The call was sent, but no complete answer arrived.
        """
        request = _render_request(address, method, path, document, headers)
        started_at = clock.read()
        connection = await self._acquire(address, started_at, min(timeout, CONNECT_TIMEOUT), fresh)
        try:
            answer = await connection.exchange(request, timeout)
        except TimeoutError as error:
            await connection.close()
            await self._close_opened_before(address, started_at)
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
        await self._release(address, connection)
        return answer

    async def _acquire(self, address: str, now: float, timeout: float, fresh: bool) -> _Connection:
        await _close_all(self._idle.remove_expired(now))
        connection = None if fresh else self._idle.take(address)
        if connection is not None:
            return connection
        return _Connection(await self._connect(address, timeout), now)

    async def _connect(self, address: str, timeout: float) -> SocketStream:
        try:
            host, port = parse_address(address)
        except ValueError as error:
            raise NotSentError(str(error)) from error
        try:
            with anyio.fail_after(timeout):
                stream = await anyio.connect_tcp(host, port)
        except TimeoutError as error:
            raise NotSentError(f"{address}: no connection in {timeout:.1f} s") from error
        except OSError as error:
            raise NotSentError(f"{address}: {error}") from error
        try:
            apply_tcp_options(stream.extra(SocketAttribute.raw_socket))
        except (OSError, AttributeError) as error:
            # The event loop forgets the socket of a connection that is reset as it is opened.
            await anyio.aclose_forcefully(stream)
            raise NotSentError(f"{address}: connection reset as it was opened") from error
        self.connections_opened += 1
        return stream

    async def _release(self, address: str, connection: _Connection) -> None:
        if not connection.reusable:
            await connection.close()
            return
        self._idle.add(address, connection, clock.read())

    async def _close_opened_before(self, address: str, moment: float) -> None:
        """Close idle connections that were opened before a call that timed out.

        When a middlebox on the path loses its connection table, all open connections get no
        answers while new ones work. Trying them one by one would cost a timeout each.
        """
        await _close_all(self._idle.remove_opened_before(address, moment))

    async def close(self) -> None:
        """Close all idle connections."""
        await _close_all(self._idle.remove_all())


async def _close_all(connections: Iterable[_Connection]) -> None:
    """Close connections, all of them even if the call that does is cancelled meanwhile."""
    with anyio.CancelScope(shield=True):
        for connection in connections:
            await connection.close()


def _render_request(
    address: str, method: str, path: str, document: object, headers: Mapping[str, str] | None
) -> bytes:
    """Return the bytes of a request.

    Raises:
        NotSentError: A value of the call has no place in a request. The values come from documents
            of other writers, so that such a call has to fail by itself.
    """
    try:
        body = b"" if document is None else orjson.dumps(document)
        lines = [f"{method} {path} HTTP/1.1", f"Host: {address}", f"Content-Length: {len(body)}"]
        if body:
            lines.append("Content-Type: application/json")
        lines.extend(f"{name}: {value}" for name, value in (headers or {}).items())
        if any(LINE_END.search(line) for line in lines):
            raise NotSentError(f"{path!r}: a line of the request would hold another")
        return "\r\n".join((*lines, "", "")).encode("latin-1") + body
    except (orjson.JSONEncodeError, UnicodeEncodeError) as error:
        raise NotSentError(f"{path!r}: not to be written as a request: {error}") from error


def refusal_reason(answer: HttpAnswer) -> str:
    """Return the reason that a refusal names, empty if it names none."""
    document = answer.document()
    reason = document.get("reason") if isinstance(document, dict) else None
    return reason if isinstance(reason, str) else ""
