"""Exchange requests and answers with one executor over HTTP/1.1.

One request at a time travels on a connection, and a connection whose request was given up on is
closed and never reused, so a late answer cannot reach another request. An answer is whole by its
framing or it is an error.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import TYPE_CHECKING

import anyio
import httpcore

from vanillawell.protocol.backend_calls import Answer, Attempt, AttemptError, ForwardedRequest
from vanillawell.state.retries import Failure
from vanillawell.transport.http_client import SendWatcher, TooLateToSendError, timeouts

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.streams.memory import MemoryObjectSendStream

    from vanillawell.state.policy import Executor
    from vanillawell.transport.dialer import Dialer

BUFFER_BOUND = 262_144
"""Bytes of an answer that are collected before any of it goes to the caller."""

STREAM_BACKLOG = 4
"""Chunks that may wait between an executor and a slow caller."""

CONNECT_TIMEOUT = 1.0
"""Seconds to open a connection to an executor."""

KEEPALIVE = 10.0
"""Seconds after which an idle connection is retired, before a middlebox forgets it."""

RENEW_INTERVAL = 1.0
"""Seconds within which connections count as new, so that slow requests do not renew them all."""

PROBE_TIMEOUT = 1.0
"""Seconds that a probe on a new connection may take."""

VERDICT_HEADER = b"vanillawell-verdict"
"""Header by which a backend server proves that it refused a request without running it."""


class ExecutorLink:
    """Own all connections of this entry to one executor."""

    def __init__(self, executor: Executor, connections: int, dialer: Dialer) -> None:
        self._executor = executor
        self._connections = connections
        self._dialer = dialer
        self._pool = self._new_pool()
        self._old_pools: list[httpcore.AsyncConnectionPool] = []
        self._attempts: set[Attempt] = set()
        self._renewed_at = 0.0

    @property
    def attempts(self) -> set[Attempt]:
        """Return the attempts under way."""
        return self._attempts

    @property
    def executor(self) -> Executor:
        """Return the executor at the other end."""
        return self._executor

    def _new_pool(self) -> httpcore.AsyncConnectionPool:
        return self._dialer.pool(self._connections, KEEPALIVE)

    async def replace_connections(self, now: float) -> None:
        """Send all further requests over new connections; close old ones that are idle."""
        if now - self._renewed_at < RENEW_INTERVAL:
            return
        self._renewed_at = now
        self._old_pools.append(self._pool)
        self._pool = self._new_pool()
        await self.close_idle()

    async def close_idle(self) -> None:
        """Close replaced pools in which no request is under way any more."""
        idle = [pool for pool in self._old_pools if all(c.is_idle() for c in pool.connections)]
        self._old_pools = [pool for pool in self._old_pools if pool not in idle]
        for pool in idle:
            await pool.aclose()

    async def close(self) -> None:
        """Close everything."""
        for pool in (self._pool, *self._old_pools):
            await pool.aclose()

    def _url(self, target: bytes) -> httpcore.URL:
        return httpcore.URL(
            scheme=self._dialer.scheme,
            host=self._executor.host.encode(),
            port=self._executor.port,
            target=target,
        )

    async def probe(self) -> bool:
        """Ask for any answer on a new connection (OPTIONS *, RFC 9110 section 9.3.7)."""
        async with self._dialer.pool(1, None) as pool:
            try:
                await pool.request(
                    "OPTIONS", self._url(b"*"), extensions={"timeout": timeouts(PROBE_TIMEOUT)}
                )
            except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
                return False
            return True

    async def exchange(
        self,
        forward: ForwardedRequest,
        attempt: Attempt,
        longest: float,
        deliver: Callable[[Answer], None],
    ) -> None:
        """Send a request, hand the answer to `deliver`, and return when it has wholly arrived.

        A large answer is delivered when its first part is here, and the rest follows by its
        stream. Raises AttemptError if nothing could be delivered.
        """
        watcher = SendWatcher(attempt.may_send)
        self._attempts.add(attempt)
        try:
            await self._stream(forward, attempt, longest, deliver, watcher)
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
            failure = Failure.INCOMPLETE_RESPONSE if watcher.sent else Failure.NOT_SENT
            raise AttemptError(failure, type(error).__name__) from error
        except TooLateToSendError as error:
            raise AttemptError(Failure.TOO_LATE, "too late to send") from error
        finally:
            self._attempts.discard(attempt)

    async def _stream(
        self,
        forward: ForwardedRequest,
        attempt: Attempt,
        longest: float,
        deliver: Callable[[Answer], None],
        watcher: SendWatcher,
    ) -> None:
        limits = timeouts(longest) | {"connect": CONNECT_TIMEOUT, "pool": CONNECT_TIMEOUT}
        async with self._pool.stream(
            forward.method,
            self._url(forward.target),
            headers=forward.headers,
            content=forward.body,
            extensions={"timeout": limits, "trace": watcher.trace},
        ) as response:
            attempt.head_arrived = True
            if _refused(response):
                raise AttemptError(Failure.REFUSED_FULL, "the executor is full")
            await self._receive(response, deliver)

    async def _receive(
        self, response: httpcore.Response, deliver: Callable[[Answer], None]
    ) -> None:
        chunks = response.aiter_stream()
        collected: list[bytes] = []
        size = 0
        async for chunk in chunks:
            collected.append(chunk)
            size += len(chunk)
            if size > BUFFER_BOUND:
                answer = self._answer(response, b"".join(collected))
                await self._pass_on(answer, chunks, deliver)
                return
        deliver(self._answer(response, b"".join(collected)))

    def _answer(self, response: httpcore.Response, body: bytes) -> Answer:
        return Answer(response.status, response.headers, body, executor=self._executor.name)

    async def _pass_on(
        self, answer: Answer, chunks: AsyncIterator[bytes], deliver: Callable[[Answer], None]
    ) -> None:
        """Pass on the rest of a large answer; a caller that left does not stop the reading."""
        send, answer.remaining_body = anyio.create_memory_object_stream[bytes](STREAM_BACKLOG)
        deliver(answer)
        try:
            async for chunk in chunks:
                await _offer(send, chunk)
        except BaseException:
            answer.broken = True
            raise
        finally:
            send.close()


async def _offer(send: MemoryObjectSendStream[bytes], chunk: bytes) -> None:
    try:
        await send.send(chunk)
    except anyio.BrokenResourceError:
        return


def _refused(response: httpcore.Response) -> bool:
    """Tell whether the executor proves that it refused without running."""
    return response.status == 503 and (VERDICT_HEADER, b"not-run") in [
        (key.lower(), value) for key, value in response.headers
    ]
