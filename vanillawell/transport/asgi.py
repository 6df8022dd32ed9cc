"""Provide the ASGI and uvicorn helpers that all HTTP servers here share."""

from __future__ import annotations

import contextlib
import socket
import ssl
from collections.abc import Awaitable, Callable, Iterator, MutableMapping
from typing import Any

import orjson
import uvicorn

from vanillawell.exceptions import AddressInUseError

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]

LISTEN_BACKLOG = 1024
"""Connections that may wait to be accepted."""


class BodyTooLargeError(Exception):
    """A request body exceeds its maximum size."""


class CallerGoneError(Exception):
    """The caller closed the connection before its request was complete."""


class EmbeddedServer(uvicorn.Server):
    """uvicorn server that leaves signals to the process, which handles them in one place."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


def bind(host: str, port: int, key: str) -> socket.socket:
    """Bind a listening socket; `key` names the setting in the error.

    Raises:
        AddressInUseError: Another process holds the address, or this process may not bind it.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((host, port))
    except OSError as error:
        listener.close()
        raise AddressInUseError(f"{key}: cannot bind {host}:{port}: {error.strerror}") from error
    listener.listen(LISTEN_BACKLOG)
    listener.setblocking(False)
    return listener


def server(
    app: Any,
    keepalive: int = 20,
    stop_timeout: int | None = None,
    context: ssl.SSLContext | None = None,
) -> EmbeddedServer:
    """Build a uvicorn server around an ASGI application; `context` turns TLS on."""
    config = uvicorn.Config(
        app,
        http="httptools",
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
        date_header=False,
        timeout_keep_alive=keepalive,
        timeout_graceful_shutdown=stop_timeout,
        backlog=LISTEN_BACKLOG,
        ssl_context_factory=(lambda _config, _default: context) if context else None,
    )
    return EmbeddedServer(config)


async def read_body(receive: Receive, max_size: int) -> bytes:
    """Read a request body of at most `max_size` bytes.

    Raises:
        BodyTooLargeError: The body is larger.
        CallerGoneError: The caller disconnected before the body was complete.
    """
    chunks: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerGoneError
        chunk = message.get("body", b"")
        size += len(chunk)
        if size > max_size:
            raise BodyTooLargeError
        chunks.append(chunk)
        if not message.get("more_body", False):
            return b"".join(chunks)


async def send_bytes(
    send: Send, status: int, body: bytes, headers: list[tuple[bytes, bytes]] | None = None
) -> None:
    """Send a complete response with its length."""
    length = (b"content-length", str(len(body)).encode())
    start = {"type": "http.response.start", "status": status, "headers": [*(headers or []), length]}
    await send(start)
    await send({"type": "http.response.body", "body": body})


async def send_json(send: Send, document: object, status: int = 200) -> None:
    """Send a document as JSON."""
    headers = [(b"content-type", b"application/json")]
    await send_bytes(send, status, orjson.dumps(document), headers)
