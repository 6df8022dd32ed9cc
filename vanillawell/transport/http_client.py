"""Make small JSON calls over HTTP/1.1, telling refused from unanswered ones."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import httpcore
import orjson

from vanillawell.protocol.call_errors import NoAnswerError, NotSentError, UnauthorizedError
from vanillawell.transport.sockets import SILENCE_OPTIONS

if TYPE_CHECKING:
    import ssl
    from collections.abc import Callable
    from types import TracebackType

    from vanillawell.config.settings import Address


Headers = dict[bytes | str, bytes | str]
"""Headers of a call, as httpcore takes them."""


class TooLateToSendError(Exception):
    """The request may not be sent any more; nothing of it was."""


class SendWatcher:
    """Note whether a request's first byte may have gone out.

    httpcore reports each step through its trace extension. An error before the headers are
    begun proves that nothing ran; the same error afterwards proves nothing.
    """

    def __init__(self, may_send: Callable[[], bool] = lambda: True) -> None:
        self._sent = False
        self._may_send = may_send

    @property
    def sent(self) -> bool:
        """Tell whether writing has begun."""
        return self._sent

    async def trace(self, event: str, info: dict[str, Any]) -> None:
        """Receive one httpcore trace event; raises TooLateToSendError to stop the request.

        A process may have been paused since it decided to send. This is the last moment before
        the first byte, so the decision is checked here once more.
        """
        if event == "http11.send_request_headers.started":
            if not self._may_send():
                raise TooLateToSendError
            self._sent = True


def timeouts(seconds: float) -> dict[str, float]:
    """Return httpcore's timeout extension with one bound for every step."""
    return {"connect": seconds, "read": seconds, "write": seconds, "pool": seconds}


class JsonClient:
    """Own a connection pool to one address and exchange JSON documents over it."""

    def __init__(
        self,
        address: Address,
        connections: int = 4,
        keepalive: float = 20.0,
        local_host: str | None = None,
        ssl_context: ssl.SSLContext | None = None,
        headers: Headers | None = None,
    ) -> None:
        self._base = f"{'https' if ssl_context else 'http'}://{address}"
        self._headers: Headers = {"content-type": "application/json", **(headers or {})}
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=connections,
            keepalive_expiry=keepalive,
            ssl_context=ssl_context,
            socket_options=SILENCE_OPTIONS,
            local_address=local_host,
        )

    async def __aenter__(self) -> JsonClient:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._pool.aclose()

    @property
    def pool(self) -> httpcore.AsyncConnectionPool:
        """Give the pool for streamed calls."""
        return self._pool

    def url(self, path: str) -> str:
        """Return the whole URL of a path."""
        return self._base + path

    async def post(
        self, path: str, document: object, timeout: float, headers: Headers | None = None
    ) -> Any:
        """Send a document and return the answer's document.

        Raises:
            NotSentError: Nothing went out, or the call was refused for who makes it.
            NoAnswerError: No whole, successful answer came back.
        """
        return await self._call("POST", path, orjson.dumps(document), timeout, headers)

    async def get(self, path: str, timeout: float) -> Any:
        """Fetch a document; raises as `post` does."""
        return await self._call("GET", path, None, timeout)

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None,
        timeout: float,
        headers: Headers | None = None,
    ) -> Any:
        watcher = SendWatcher()
        try:
            response = await self._pool.request(
                method,
                self._base + path,
                headers={**self._headers, **(headers or {})},
                content=body,
                extensions={"timeout": timeouts(timeout), "trace": watcher.trace},
            )
            if response.status == 401:
                raise UnauthorizedError(f"{path}: not authorized")
            if response.status != 200:
                raise NoAnswerError(f"{path}: status {response.status}")
            return orjson.loads(response.content)
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
            kind = NoAnswerError if watcher.sent else NotSentError
            raise kind(f"{path}: {type(error).__name__}") from error
        except orjson.JSONDecodeError as error:
            raise NoAnswerError(f"{path}: the answer is not JSON") from error
