"""A small HTTP/1.1 server and client on asyncio, without libraries."""

from __future__ import annotations

import asyncio
import json
from typing import Any, Awaitable, Callable

Handler = Callable[[str, str, dict[str, str], bytes], Awaitable["tuple[int, Any] | None"]]
"""Takes method, path with query, headers and body; None leaves the call without an answer."""


class Server:
    """Serve one handler on a free loopback port."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self, port: int = 0) -> str:
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, limit=8_000_000, backlog=512
        )
        self.address = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]
        return self.address

    async def stop(self) -> None:
        """Close the listener and reset all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await _read_message(reader)
                if request is None:
                    break
                first, headers, body = request
                method, path, _ = first.split(" ", 2)
                answer = await self._handler(method, path, headers, body)
                if answer is None:
                    # No answer: the connection stays open until the caller gives up.
                    await reader.read()
                    break
                status, document = answer
                data = json.dumps(document).encode()
                head = "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                writer.write((head % (status, len(data))).encode() + data)
                await writer.drain()
        except (
            ConnectionError,
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
        ):
            pass  # the other end has gone, or the installation ends
        finally:
            self._writers.discard(writer)
            writer.close()


async def _read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes] | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


async def call(
    address: str,
    method: str,
    path: str,
    document: Any = None,
    headers: dict[str, str] | None = None,
    timeout: float = 3.0,
) -> tuple[int, Any]:
    """Make one call over a connection of its own; status 0 means that no answer came."""
    host, _, port = address.rpartition(":")
    body = b"" if document is None else json.dumps(document).encode()
    lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if body:
        lines.append("Content-Type: application/json")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            answer = await _read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()
    if answer is None:
        return 0, None
    first, _, data = answer
    try:
        return int(first.split(" ")[1]), json.loads(data) if data else None
    except ValueError:
        return int(first.split(" ")[1]), None
