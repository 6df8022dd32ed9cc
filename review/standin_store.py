"""Stand-in of the platform's metadata store: keys, leases, transactions and watches."""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
import time
from typing import Any
from urllib.parse import parse_qs, urlsplit

PAGE = 500
ANSWER_SECONDS = 0.004
MOST_HISTORY = 40_000
SHORTEST_LEASE_MS = 1_000
VALUE_BYTES = 1_048_576
FORBIDDEN = ("op/", "servers/")
"""Keys that the system may not write."""


class Store:
    """One linearizable store. Nothing that it has acknowledged is lost."""

    def __init__(self) -> None:
        self.items: dict[str, dict[str, Any]] = {}
        self._revision = 1
        self._history: list[dict[str, Any]] = []
        self._history_start = 0
        self._leases: dict[int, list[float]] = {}
        self._ids = itertools.count(101)
        self._changed = asyncio.Event()

    async def tick(self) -> None:
        """End leases on time even while no calls arrive."""
        while True:
            await asyncio.sleep(0.02)
            self._expire(time.monotonic())

    def put_document(self, key: str, document: Any) -> None:
        """Write as the operator or an executor does."""
        self._revision += 1
        self._put(key, base64.b64encode(json.dumps(document).encode()).decode(), 0)
        self._wake()

    def delete(self, key: str) -> None:
        self._revision += 1
        self._drop(key)
        self._wake()

    def read_document(self, key: str) -> Any:
        item = self.items.get(key)
        return json.loads(base64.b64decode(item["value"])) if item else None

    async def handle(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, Any]:
        """Answer one call, after the 4 ms that the sheet names."""
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        self._expire(time.monotonic())
        if method == "GET":
            answer = await self._read(parts.path, query)
        else:
            answer = self._write(parts.path, json.loads(body) if body else {})
        await asyncio.sleep(ANSWER_SECONDS)
        return answer

    async def _read(self, path: str, query: dict[str, str]) -> tuple[int, Any]:
        if path == "/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"storeRevision": self._revision}
            return 200, {**item, "storeRevision": self._revision}
        if path == "/kv-range":
            after = query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > after)
            page = [self.items[key] for key in keys[:PAGE]]
            return 200, {
                "items": page,
                "hasMore": len(keys) > PAGE,
                "storeRevision": self._revision,
            }
        deadline = time.monotonic() + int(query["waitMs"]) / 1000
        after_revision, prefix = int(query["after"]), query["prefix"]
        while True:
            if after_revision < self._history_start:
                return 410, {}
            events = [
                event
                for event in self._history
                if event["revision"] > after_revision and event["key"].startswith(prefix)
            ]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self._revision}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                pass

    def _write(self, path: str, document: dict[str, Any]) -> tuple[int, Any]:
        if path == "/kv-txn":
            return self._transact(document)
        if path == "/kv-lease":
            if document["ttlMs"] < SHORTEST_LEASE_MS:
                return 400, {"reason": "too short"}
            number, ttl = next(self._ids), document["ttlMs"] / 1000
            self._leases[number] = [ttl, time.monotonic() + ttl]
            return 200, {"lease": number, "ttlMs": document["ttlMs"]}
        number = int(path.rpartition("/")[2])
        if number not in self._leases:
            return 404, {}
        if path.startswith("/kv-keep/"):
            ttl = self._leases[number][0]
            self._leases[number] = [ttl, time.monotonic() + ttl]
            return 200, {"ttlMs": int(ttl * 1000)}
        self._end_lease(number)
        return 200, {}

    def _transact(self, document: dict[str, Any]) -> tuple[int, Any]:
        expected = document.get("expect", [])
        puts, deletes = document.get("puts", []), document.get("delete", [])
        if len(expected) + len(puts) + len(deletes) > 32:
            return 400, {"reason": "too many entries"}
        if any(key.startswith(FORBIDDEN) for key in [*(put["key"] for put in puts), *deletes]):
            return 403, {"reason": "not yours"}
        if any(len(base64.b64decode(put["value"])) > VALUE_BYTES for put in puts):
            return 400, {"reason": "value too large"}
        for row in expected:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                present = [
                    self.items.get(other["key"], {"key": other["key"], "revision": 0})
                    for other in expected
                ]
                return 412, {"items": present}
        if any(put.get("lease") and put["lease"] not in self._leases for put in puts):
            return 404, {}
        self._revision += 1
        for put in puts:
            self._put(put["key"], put["value"], put.get("lease", 0))
        for key in deletes:
            self._drop(key)
        self._wake()
        return 200, {"revision": self._revision}

    def _put(self, key: str, value: str, lease: int) -> None:
        before = self.items.get(key)
        item = {
            "key": key,
            "value": value,
            "revision": self._revision,
            "created": before["created"] if before else self._revision,
            "lease": lease,
        }
        self.items[key] = item
        self._history.append(item)
        if len(self._history) > MOST_HISTORY:
            self._history_start = self._history[MOST_HISTORY // 2]["revision"]
            del self._history[: MOST_HISTORY // 2]

    def _drop(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self._history.append({"key": key, "revision": self._revision, "tombstone": True})

    def _expire(self, now: float) -> None:
        for number in [n for n, (_, end) in self._leases.items() if end < now]:
            self._end_lease(number)

    def _end_lease(self, number: int) -> None:
        del self._leases[number]
        self._revision += 1
        for key in [key for key, item in self.items.items() if item["lease"] == number]:
            self._drop(key)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
