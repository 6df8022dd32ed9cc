"""Speak to the platform's store in the JSON gateway format of etcd v3.

Source: the etcd v3 API reference (rpc.proto) and its gRPC gateway mapping: 64-bit integers are
JSON strings, bytes are base64, and fields with zero values are left out of answers.
"""

from __future__ import annotations

from base64 import b64decode, b64encode
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any, Self

import httpcore
import orjson

from vanillawell.exceptions import (
    StoreAccessError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from vanillawell.protocol.call_errors import NoAnswerError, NotSentError, UnauthorizedError
from vanillawell.protocol.store import KeyValue, Listing, Transaction, TransactionResult
from vanillawell.transport.http_client import Headers, JsonClient, timeouts
from vanillawell.transport.tls import ClientTrust

if TYPE_CHECKING:
    from pathlib import Path
    from types import TracebackType

    from vanillawell.config.settings import StoreSettings

WATCH_READ_TIMEOUT = 3600.0
"""Seconds a watch may be quiet; the version poll finds a silent one much earlier."""


def encode(text: str | bytes) -> str:
    """Encode a key or value as the gateway expects."""
    return b64encode(text.encode() if isinstance(text, str) else text).decode()


def prefix_end(prefix: str) -> str:
    """Return the first key after all keys that start with `prefix`."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def _key_value(document: dict[str, Any]) -> KeyValue:
    return KeyValue(
        key=b64decode(document["key"]).decode(),
        value=b64decode(document.get("value", "")),
        mod_revision=int(document.get("mod_revision", 0)),
    )


class EtcdStore:
    """Implement the Store protocol over the JSON gateway."""

    def __init__(self, settings: StoreSettings, local_host: str | None = None) -> None:
        self._settings = settings
        self._client = JsonClient(
            settings.address,
            connections=8,
            local_host=local_host,
            ssl_context=ClientTrust("store.tls", settings.tls).context if settings.tls else None,
        )
        self._calls = 0
        self._token = ""

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._client.__aexit__(kind, error, traceback)

    @property
    def calls(self) -> int:
        """Count the calls made so far, a watch as one."""
        return self._calls

    async def get(self, key: str) -> KeyValue | None:
        """Read one key."""
        answer = await self._post("/v3/kv/range", {"key": encode(key)})
        return next((_key_value(item) for item in answer.get("kvs", ())), None)

    async def list(self, prefix: str) -> Listing:
        """Read all keys that start with `prefix`."""
        request = {"key": encode(prefix), "range_end": encode(prefix_end(prefix))}
        answer = await self._post("/v3/kv/range", request)
        revision = int(answer["header"]["revision"])
        return Listing(revision, tuple(_key_value(item) for item in answer.get("kvs", ())))

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """Run one transaction."""
        answer = await self._post("/v3/kv/txn", _transaction_document(transaction))
        ranges = (item.get("response_range") for item in answer.get("responses", ()))
        found = [_key_value(kv) for item in ranges if item for kv in item.get("kvs", ())]
        return TransactionResult(
            succeeded=bool(answer.get("succeeded", False)),
            revision=int(answer["header"]["revision"]),
            values={item.key: item for item in found},
        )

    async def grant_lease(self, ttl: float) -> int:
        """Create a lease of `ttl` seconds and return its id."""
        answer = await self._post("/v3/lease/grant", {"TTL": str(max(1, round(ttl)))})
        return int(answer["ID"])

    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease; False means that it has ended."""
        answer = await self._post("/v3/lease/keepalive", {"ID": str(lease)})
        return int(answer.get("result", {}).get("TTL", 0)) > 0

    async def revoke(self, lease: int) -> None:
        """End a lease and delete its keys."""
        await self._post("/v3/lease/revoke", {"ID": str(lease)})

    @asynccontextmanager
    async def watch(self, key: str, from_revision: int) -> AsyncIterator[AsyncIterator[KeyValue]]:
        """Yield each change of `key` from `from_revision` on, until the stream ends."""
        self._calls += 1
        create = {"key": encode(key), "start_revision": str(from_revision)}
        limits = timeouts(self._settings.timeout) | {"read": WATCH_READ_TIMEOUT}
        try:
            async with self._client.pool.stream(
                "POST",
                self._client.url("/v3/watch"),
                headers=await self._login(),
                content=orjson.dumps({"create_request": create}),
                extensions={"timeout": limits},
            ) as response:
                yield _changes(response)
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
            raise StoreUnavailableError(f"store: watch ended: {type(error).__name__}") from error

    async def _login(self) -> Headers:
        """Return the header that proves the store's user; raises StoreError.

        Source: etcd v3 authentication, where the gateway takes the token as it is.
        """
        if not self._settings.user or not self._settings.password_file:
            return {}
        if not self._token:
            self._token = await self._new_token(self._settings.user, self._settings.password_file)
        return {"authorization": self._token}

    async def _new_token(self, user: str, password_file: Path) -> str:
        try:
            document = {"name": user, "password": password_file.read_text().strip()}
            answer = await self._send("/v3/auth/authenticate", document, {})
        except OSError as error:
            raise StoreAccessError(f"store.password_file: {error}") from error
        except StoreOutcomeUnknownError as error:
            raise StoreAccessError(f"store: login as {user!r} failed: {error}") from error
        return str(answer["token"])

    async def _post(self, path: str, document: object) -> Any:
        """Make a call as the store's user, once more with a new token if that was refused.

        Tokens end after some time or when the store restarts. The refusal proves that the call
        had no effect, so repeating it cannot apply it twice.
        """
        try:
            return await self._send(path, document, await self._login())
        except StoreAccessError:
            if not self._token:
                raise
            self._token = ""
            return await self._send(path, document, await self._login())

    async def _send(self, path: str, document: object, headers: Headers) -> Any:
        self._calls += 1
        try:
            return await self._client.post(path, document, self._settings.timeout, headers)
        except UnauthorizedError as error:
            raise StoreAccessError("store: the user or password was refused") from error
        except NotSentError as error:
            raise StoreUnavailableError(f"store not reached: {error}") from error
        except NoAnswerError as error:
            raise StoreOutcomeUnknownError(f"store gave no answer: {error}") from error


def _transaction_document(transaction: Transaction) -> dict[str, Any]:
    compares = [
        {
            "key": encode(item.key),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(item.mod_revision),
        }
        for item in transaction.compares
    ]
    puts = [
        {
            "request_put": {
                "key": encode(item.key),
                "value": encode(item.value),
                "lease": str(item.lease),
            }
        }
        for item in transaction.puts
    ]
    deletes = [{"request_delete_range": {"key": encode(key)}} for key in transaction.deletes]
    reads = [{"request_range": {"key": encode(key)}} for key in transaction.reads]
    after = reads if transaction.read_back else []
    return {"compare": compares, "success": [*puts, *deletes, *after], "failure": reads}


async def _changes(response: httpcore.Response) -> AsyncIterator[KeyValue]:
    """Split a watch's stream of JSON lines into changed keys."""
    pending = b""
    async for chunk in response.aiter_stream():
        *lines, pending = (pending + chunk).split(b"\n")
        documents = (orjson.loads(line) for line in lines if line.strip())
        for document in documents:
            for event in document.get("result", {}).get("events", ()):
                yield _key_value(event["kv"])
