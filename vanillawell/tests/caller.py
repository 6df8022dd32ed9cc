"""Send requests as callers do and record the replies."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import httpcore
import orjson

from vanillawell.standins.deployment import organisation_key

if TYPE_CHECKING:
    from types import TracebackType

    from vanillawell.standins.fleet import EntryHandle

TIMEOUT = {"connect": 5.0, "read": 30.0, "write": 5.0, "pool": 30.0}


@dataclass(frozen=True, slots=True)
class Call:
    """A request to send."""

    service: str = "check"
    organisation: str = "guild"
    method: str = "GET"
    mark: str = ""
    run_seconds: float | None = None
    timeout: float = 5.0
    key: str | None = None
    idempotency_key: str | None = None
    body: bytes = b""
    priority: str | None = None

    def headers(self) -> list[tuple[str, str]]:
        key = organisation_key(self.organisation) if self.key is None else self.key
        headers = [("request-timeout", str(self.timeout))]
        if key:
            headers.append(("authorization", f"Bearer {key}"))
        if self.mark:
            headers.append(("mark", self.mark))
        if self.run_seconds is not None:
            headers.append(("run-seconds", str(self.run_seconds)))
        if self.idempotency_key:
            headers.append(("idempotency-key", self.idempotency_key))
        if self.priority:
            headers.append(("priority", self.priority))
        return headers


@dataclass(frozen=True, slots=True)
class Reply:
    """A reply; `connection_error` names the error if the connection ended early."""

    call: Call
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    connection_error: str = ""
    seconds: float = 0.0

    @property
    def verdict(self) -> str:
        return self.header("vanillawell-verdict")

    def header(self, name: str) -> str:
        return next((value for key, value in self.headers if key == name), "")

    @property
    def problem(self) -> str:
        if self.header("content-type") != "application/problem+json":
            return ""
        return str(orjson.loads(self.body)["type"]).rpartition(":")[2]


class Callers:
    """Manage the callers' connections."""

    def __init__(self) -> None:
        self._pool = httpcore.AsyncConnectionPool(max_connections=1000)

    async def __aenter__(self) -> Callers:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._pool.aclose()

    async def send(self, entry: EntryHandle, call: Call) -> Reply:
        started = time.monotonic()
        try:
            response = await self._pool.request(
                call.method,
                f"http://{entry.host}:{entry.ports.caller}/{call.service}/item",
                headers=call.headers(),
                content=call.body,
                extensions={"timeout": TIMEOUT},
            )
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
            seconds = time.monotonic() - started
            return Reply(call, connection_error=type(error).__name__, seconds=seconds)
        headers = tuple((k.decode().lower(), v.decode()) for k, v in response.headers)
        seconds = time.monotonic() - started
        return Reply(call, response.status, headers, response.content, "", seconds)
