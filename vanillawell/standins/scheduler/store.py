"""Stand-in for the platform's key-value store, with the faults that clients must tolerate."""

from __future__ import annotations

import base64
import bisect
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

MAX_BODY_BYTES = 40_000_000
"""Bytes of a request body that are read at most."""

PAGE_SIZE = 500
"""Items in one page of a listing."""

LATE_WRITE_DELAY = 1.0
"""Seconds after which a late write is carried out, without an answer."""


@dataclass(slots=True)
class Item:
    """One stored value, with its revisions and the lease that it is attached to."""

    value: str
    revision: int
    created: int
    lease: int


@dataclass(slots=True)
class Faults:
    """Faults that are currently injected."""

    down: bool = False
    """No call is answered or has an effect."""

    refuse: bool = False
    """Every call is answered with 503 and has no effect."""

    delay: float = 0.0
    """Seconds by which every call is delayed."""

    withhold_changes: bool = False
    """Watch calls return no changes."""

    lose_answers: int = 0
    """Number of upcoming writes that take effect but are not answered."""

    late_writes: int = 0
    """Number of upcoming writes that are not answered and are only carried out after
    `LATE_WRITE_DELAY`, when their conditions may no longer hold."""

    lose_renewal_answers: int = 0
    """Number of upcoming lease renewals that take effect but are not answered."""

    write_filter: Callable[[str], bool] = field(default=lambda _body: True)
    """Selects by their body the writes that `lose_answers` and `late_writes` apply to."""


class StandInStore:
    """ASGI application that holds keys, leases and the history of changes in memory."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.faults = Faults()
        self.calls = 0
        self.value_bytes = 1_048_576
        """Bytes of the largest value that is held; a transaction with a larger one is refused."""

        self.shortest_lease_ms = 1000
        """Shortest lease that is granted."""
        self._revision = 1
        self._history: list[dict[str, Any]] = []
        self._history_start = 0
        self._leases: dict[int, tuple[float, float]] = {}
        self._lease_ids = itertools.count(101)
        self._changed = anyio.Event()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one call."""
        body = await read_body(receive, MAX_BODY_BYTES)
        self.calls += 1
        if self.faults.down:
            await anyio.sleep_forever()
        if self.faults.refuse:
            await send_bytes(send, 503, b"{}")
            return
        await anyio.sleep(self.faults.delay)
        self._expire_leases()
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
            return 200, {**self._key_document(query["key"]), "storeRevision": self._revision}
        if path == "/kv-range":
            keys = sorted(key for key in self.items if key.startswith(query["prefix"]))
            after = query.get("after", "")
            keys = [key for key in keys if key > after]
            items = [self._key_document(key) for key in keys[:PAGE_SIZE]]
            has_more = len(keys) > PAGE_SIZE
            return 200, {"items": items, "hasMore": has_more, "storeRevision": self._revision}
        return await self._watch(query)

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after, prefix = int(query["after"]), query["prefix"]
        with anyio.move_on_after(int(query["waitMs"]) / 1000):
            while after >= self._history_start and not self._events(prefix, after):
                await self._changed.wait()
        # The wait may time out at the moment of a change, so collect the events again: unless
        # changes are withheld, an answer contains every change up to the revision that it names.
        if after < self._history_start:
            return 410, {}
        return 200, {"events": self._events(prefix, after), "storeRevision": self._revision}

    def _events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        """Return the changes after a revision that a watch call reports."""
        if self.faults.withhold_changes:
            return []
        first = bisect.bisect_right(self._history, after, key=lambda event: event["revision"])
        later = itertools.islice(self._history, first, None)
        return [event for event in later if event["key"].startswith(prefix)]

    async def _write(self, path: str, body: bytes) -> tuple[int, dict[str, Any]]:
        faults = self.faults
        matches = faults.write_filter(body.decode())
        if matches and faults.late_writes and path == "/kv-txn":
            faults.late_writes -= 1
            await anyio.sleep(LATE_WRITE_DELAY)
            self._apply(path, body)
            await anyio.sleep_forever()
        result = self._apply(path, body)
        if matches and faults.lose_answers and path == "/kv-txn":
            faults.lose_answers -= 1
            await anyio.sleep_forever()
        if faults.lose_renewal_answers and path.startswith("/kv-keep/"):
            faults.lose_renewal_answers -= 1
            await anyio.sleep_forever()
        return result

    def _apply(self, path: str, body: bytes) -> tuple[int, dict[str, Any]]:
        document = orjson.loads(body) if body else {}
        if path == "/kv-txn":
            return self._transact(document)
        if path == "/kv-lease":
            if document["ttlMs"] < self.shortest_lease_ms:
                return 400, {}
            lease = next(self._lease_ids)
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
        self._revoke_lease(lease)
        return 200, {}

    def _transact(self, document: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        conditions = document.get("expect", [])
        for condition in conditions:
            item = self.items.get(condition["key"])
            if (item.revision if item else 0) != condition["revision"]:
                return 412, {"items": [self._key_document(row["key"]) for row in conditions]}
        puts = document.get("puts", [])
        if any(len(base64.b64decode(put["value"])) > self.value_bytes for put in puts):
            return 400, {"reason": "a value is too large"}
        if any(put.get("lease") and put["lease"] not in self._leases for put in puts):
            return 404, {}
        self._revision += 1
        for put in puts:
            self.put(put["key"], put["value"], put.get("lease", 0), self._revision)
        for key in document.get("delete", []):
            self._delete(key)
        self._notify_watchers()
        return 200, {"revision": self._revision}

    def put(self, key: str, value: str, lease: int = 0, revision: int | None = None) -> None:
        """Write one base64-encoded value, as an operator or an executor would."""
        if revision is None:
            self._revision += 1
            revision = self._revision
        previous = self.items.get(key)
        created = previous.created if previous else revision
        self.items[key] = Item(value, revision, created, lease)
        self._history.append(self._key_document(key))
        self._notify_watchers()

    def put_document(self, key: str, document: object) -> None:
        """Write a JSON document, encoded in base64."""
        self.put(key, base64.b64encode(orjson.dumps(document)).decode())

    def read_document(self, key: str) -> Any:
        """Return the JSON document of a key that exists."""
        return orjson.loads(base64.b64decode(self.items[key].value))

    def delete(self, key: str) -> None:
        """Delete a key."""
        self._revision += 1
        self._delete(key)
        self._notify_watchers()

    def _delete(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self._history.append({"key": key, "revision": self._revision, "tombstone": True})

    def compact_history(self) -> None:
        """Drop the whole history of changes, so that every watcher has to list its keys again."""
        self._history.clear()
        self._history_start = self._revision + 1
        self._revision += 1
        self._notify_watchers()

    def _notify_watchers(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    def _key_document(self, key: str) -> dict[str, Any]:
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

    def _expire_leases(self) -> None:
        now = time.monotonic()
        for lease in [lease for lease, (_, expires_at) in self._leases.items() if expires_at < now]:
            self._revoke_lease(lease)

    def _revoke_lease(self, lease: int) -> None:
        del self._leases[lease]
        self._revision += 1
        for key in [key for key, item in self.items.items() if item.lease == lease]:
            self._delete(key)
        self._notify_watchers()

    async def tick(self) -> None:
        """Expire leases on time even while no calls arrive."""
        while True:
            await anyio.sleep(0.05)
            self._expire_leases()
