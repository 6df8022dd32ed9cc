"""Stand in for the platform's key-value store, with the faults that clients have to live with."""

from __future__ import annotations

import base64
import itertools
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

import anyio
import orjson

from vanillawell.transport.asgi import read_body, send_bytes, send_json

if TYPE_CHECKING:
    from collections.abc import Callable

    from vanillawell.transport.asgi import Receive, Scope, Send

LARGEST_BODY = 4_000_000
"""Bytes of a request that are read."""

PAGE = 500
"""Items in one page of a listing."""

LATE = 1.0
"""Seconds after which a write is carried out whose answer is lost and that comes late."""


@dataclass(slots=True)
class Item:
    """One stored value."""

    value: str
    revision: int
    created: int
    lease: int


@dataclass(slots=True)
class Faults:
    """What goes wrong now."""

    down: bool = False
    """Every call stays without an answer and has no effect."""

    refuse: bool = False
    """Every call is answered 503 and has no effect."""

    delay: float = 0.0
    """Seconds by which every answer is late."""

    withhold_changes: bool = False
    """Waiting calls hear of no change."""

    lose_answers: int = 0
    """So many of the next writes take effect and get no answer."""

    late_writes: int = 0
    """So many of the next writes get no answer and take effect later, if they still can."""

    lose_renewal_answers: int = 0
    """So many of the next renewals of a lease take effect and get no answer."""

    write_filter: Callable[[str], bool] = field(default=lambda _body: True)
    """Which writes lose their answers, by their body."""


class StandInStore:
    """An ASGI application that keeps everything in memory."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.faults = Faults()
        self.calls = 0
        self._revision = 1
        self._history: list[dict[str, Any]] = []
        self._kept_from = 0
        self._leases: dict[int, tuple[float, float]] = {}
        self._numbers = itertools.count(101)
        self._changed = anyio.Event()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one call."""
        body = await read_body(receive, LARGEST_BODY)
        self.calls += 1
        if self.faults.down:
            await anyio.sleep_forever()
        if self.faults.refuse:
            await send_bytes(send, 503, b"{}")
            return
        await anyio.sleep(self.faults.delay)
        self._expire()
        path = scope["path"]
        query = {key: values[0] for key, values in parse_qs(scope["query_string"].decode()).items()}
        if scope["method"] == "GET":
            status, document = await self._read(path, query)
        else:
            status, document = await self._write(path, body)
        await send_json(send, document, status)

    async def _read(self, path: str, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        if path == "/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"storeRevision": self._revision}
            return 200, {**self._show(query["key"]), "storeRevision": self._revision}
        if path == "/kv-range":
            keys = sorted(key for key in self.items if key.startswith(query["prefix"]))
            after = query.get("after", "")
            keys = [key for key in keys if key > after]
            items = [self._show(key) for key in keys[:PAGE]]
            more = len(keys) > PAGE
            return 200, {"items": items, "hasMore": more, "storeRevision": self._revision}
        return await self._watch(query)

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after, prefix = int(query["after"]), query["prefix"]
        with anyio.move_on_after(int(query["waitMs"]) / 1000):
            while after >= self._kept_from and not self._events(prefix, after):
                await self._changed.wait()
        # The wait may end in the moment of a change, so look once more: unless it plays deaf, an
        # answer holds all that happened up to the revision that it names.
        if after < self._kept_from:
            return 410, {}
        return 200, {"events": self._events(prefix, after), "storeRevision": self._revision}

    def _events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        """Return what a waiting call is told of the changes after a revision."""
        if self.faults.withhold_changes:
            return []
        return [
            event
            for event in self._history
            if event["revision"] > after and event["key"].startswith(prefix)
        ]

    async def _write(self, path: str, body: bytes) -> tuple[int, dict[str, Any]]:
        faults = self.faults
        matching = faults.write_filter(body.decode())
        if matching and faults.late_writes and path == "/kv-txn":
            faults.late_writes -= 1
            await anyio.sleep(LATE)
            self._carry_out(path, body)
            await anyio.sleep_forever()
        result = self._carry_out(path, body)
        if matching and faults.lose_answers and path == "/kv-txn":
            faults.lose_answers -= 1
            await anyio.sleep_forever()
        if faults.lose_renewal_answers and path.startswith("/kv-keep/"):
            faults.lose_renewal_answers -= 1
            await anyio.sleep_forever()
        return result

    def _carry_out(self, path: str, body: bytes) -> tuple[int, dict[str, Any]]:
        document = orjson.loads(body) if body else {}
        if path == "/kv-txn":
            return self._transact(document)
        if path == "/kv-lease":
            lease = next(self._numbers)
            ttl = document["ttlMs"] / 1000
            self._leases[lease] = (ttl, time.monotonic() + ttl)
            return 200, {"lease": lease, "ttlMs": document["ttlMs"]}
        lease = int(path.rpartition("/")[2])
        if lease not in self._leases:
            return 404, {}
        if path.startswith("/kv-keep/"):
            ttl = self._leases[lease][0]
            self._leases[lease] = (ttl, time.monotonic() + ttl)
            return 200, {"ttlMs": round(ttl * 1000)}
        self._end_lease(lease)
        return 200, {}

    def _transact(self, document: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        expect = document.get("expect", [])
        for row in expect:
            item = self.items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                return 412, {"items": [self._show(row["key"]) for row in expect]}
        puts = document.get("puts", [])
        if any(put.get("lease") and put["lease"] not in self._leases for put in puts):
            return 404, {}
        self._revision += 1
        for put in puts:
            self.put(put["key"], put["value"], put.get("lease", 0), self._revision)
        for key in document.get("delete", []):
            self._delete(key)
        self._announce()
        return 200, {"revision": self._revision}

    def put(self, key: str, value: str, lease: int = 0, revision: int | None = None) -> None:
        """Write one value, base64 text, as the operator or an executor would."""
        if revision is None:
            self._revision += 1
            revision = self._revision
        before = self.items.get(key)
        created = before.created if before else revision
        self.items[key] = Item(value, revision, created, lease)
        self._history.append(self._show(key))
        self._announce()

    def put_document(self, key: str, document: object) -> None:
        """Write a JSON document."""
        self.put(key, base64.b64encode(orjson.dumps(document)).decode())

    def delete(self, key: str) -> None:
        """Remove a key."""
        self._revision += 1
        self._delete(key)
        self._announce()

    def _delete(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self._history.append({"key": key, "revision": self._revision, "tombstone": True})

    def compact_history(self) -> None:
        """Drop all history, so that whoever follows has to list again."""
        self._history.clear()
        self._kept_from = self._revision + 1
        self._revision += 1
        self._announce()

    def _announce(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    def _show(self, key: str) -> dict[str, Any]:
        item = self.items.get(key)
        if item is None:
            return {"key": key, "revision": 0}
        return {
            "key": key,
            "value": item.value,
            "revision": item.revision,
            "created": item.created,
            "lease": item.lease,
        }

    def _expire(self) -> None:
        now = time.monotonic()
        for lease in [lease for lease, (_, end) in self._leases.items() if end < now]:
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self._leases[lease]
        self._revision += 1
        for key in [key for key, item in self.items.items() if item.lease == lease]:
            self._delete(key)
        self._announce()

    async def tick(self) -> None:
        """End leases in time even if nobody calls."""
        while True:
            await anyio.sleep(0.05)
            self._expire()
