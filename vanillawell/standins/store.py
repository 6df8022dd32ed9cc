"""Emulate the platform's store in memory, with its keys, leases and watches.

It implements the calls of the etcd v3 JSON gateway that vanillawell makes and counts each (an open
watch as one). It can be down, slow, or lose the response of a read or of a write that took effect.
"""

from __future__ import annotations

import itertools
from base64 import b64decode
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import anyio
import orjson
from anyio.streams.memory import MemoryObjectSendStream

SWEEP_INTERVAL = 0.1
"""Seconds between two searches for expired leases."""

LOST_ANSWER_HOLD = 3600.0
"""Seconds that a request whose answer is lost stays open; longer than any client waits."""

WATCH_BACKLOG = 10_000
"""Responses that may be buffered for one slow watcher."""


class StoreDownError(Exception):
    """The store emulates an outage."""


class AnswerLostError(Exception):
    """The call was executed, and its answer must not be sent."""


@dataclass
class _Item:
    value: str
    create_revision: int
    mod_revision: int
    version: int
    lease: int


@dataclass
class _Lease:
    ttl: float
    deadline: float
    keys: set[str] = field(default_factory=set)


@dataclass
class StoreFaults:
    """Faults that the store currently emulates."""

    down: bool = False
    delay: float = 0.0
    lose_answers: int = 0
    """Number of upcoming writes that take effect but are not answered."""

    lose_reads: int = 0
    """Number of upcoming reads that are not answered."""


class MemoryStore:
    """Serve gateway requests from memory; keys are kept in base64, as in requests."""

    def __init__(self) -> None:
        self.faults = StoreFaults()
        self.counts: Counter[str] = Counter()
        self._items: dict[str, _Item] = {}
        self._leases: dict[int, _Lease] = {}
        self._revision = 1
        self._lease_ids = itertools.count(7_000_001)
        self._history: list[tuple[int, dict[str, Any]]] = []
        self._watchers: dict[int, tuple[str, MemoryObjectSendStream[bytes]]] = {}
        self._watch_ids = itertools.count(1)
        self.on_put: Callable[[str, str], None] = lambda key, value: None

    @property
    def waiting_watches(self) -> int:
        """Return the number of open watches."""
        return len(self._watchers)

    def all_keys(self) -> list[str]:
        """Return all keys, sorted by their base64 form."""
        return sorted(self._items)

    async def call(self, path: str, request: dict[str, Any], now: float) -> dict[str, Any]:
        """Execute one unary call; raise an error if a fault prevents its answer."""
        operation = path.removeprefix("/v3/")
        self.counts[operation] += 1
        await self._apply_faults()
        handlers = {
            "kv/range": self._range,
            "kv/put": self._put_call,
            "kv/txn": self._transaction,
            "lease/grant": self._grant,
            "lease/keepalive": self._keep_alive,
            "lease/revoke": self._revoke,
        }
        answer = handlers[operation](request, now)
        writes = operation in ("kv/put", "lease/grant") or bool(answer.get("succeeded"))
        if writes and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            raise AnswerLostError(path)
        if operation == "kv/range" and self.faults.lose_reads > 0:
            self.faults.lose_reads -= 1
            raise AnswerLostError(path)
        return answer

    async def _apply_faults(self) -> None:
        if self.faults.down:
            raise StoreDownError
        if self.faults.delay:
            await anyio.sleep(self.faults.delay)

    def open_watch(self, request: dict[str, Any], stream: MemoryObjectSendStream[bytes]) -> int:
        """Register a watch, replay the history from its start revision and return its id."""
        self.counts["watch"] += 1
        if self.faults.down:
            raise StoreDownError
        create = request["create_request"]
        start = int(create.get("start_revision", 0)) or self._revision + 1
        watch_id = next(self._watch_ids)
        stream.send_nowait(self._encode_event({"created": True}))
        replay = [
            event
            for revision, event in self._history
            if revision >= start and event["kv"]["key"] == create["key"]
        ]
        if replay:
            stream.send_nowait(self._encode_event({"events": replay}))
        self._watchers[watch_id] = (create["key"], stream)
        return watch_id

    def close_watch(self, watch_id: int) -> None:
        """Remove a watch."""
        self._watchers.pop(watch_id, None)

    async def sweep_leases(self) -> None:
        """Remove expired leases until cancelled; none are removed during an outage."""
        while True:
            await anyio.sleep(SWEEP_INTERVAL)
            now = anyio.current_time()
            expired = [key for key, lease in self._leases.items() if lease.deadline < now]
            if self.faults.down:
                continue
            for lease_id in expired:
                self._remove_lease(lease_id)

    def _header(self) -> dict[str, Any]:
        return {"cluster_id": "1", "member_id": "1", "revision": str(self._revision)}

    def _encode_event(self, result: dict[str, Any]) -> bytes:
        return orjson.dumps({"result": {"header": self._header(), **result}}) + b"\n"

    def _range(self, request: dict[str, Any], now: float) -> dict[str, Any]:
        key = request["key"]
        if "range_end" in request:
            low, high = b64decode(key), b64decode(request["range_end"])
            keys = sorted(name for name in self._items if low <= b64decode(name) < high)
        else:
            keys = [key] if key in self._items else []
        return {"header": self._header(), "kvs": [self._key_value(name) for name in keys]}

    def _key_value(self, key: str) -> dict[str, Any]:
        item = self._items[key]
        return {
            "key": key,
            "value": item.value,
            "create_revision": str(item.create_revision),
            "mod_revision": str(item.mod_revision),
            "version": str(item.version),
            "lease": str(item.lease),
        }

    def _put_call(self, request: dict[str, Any], now: float) -> dict[str, Any]:
        self._revision += 1
        self._put(request)
        return {"header": self._header()}

    def _put(self, request: dict[str, Any]) -> None:
        key = request["key"]
        lease_id = int(request.get("lease", 0))
        if lease_id and lease_id not in self._leases:
            raise KeyError("requested lease not found")
        old = self._items.get(key)
        if old and old.lease in self._leases:
            self._leases[old.lease].keys.discard(key)
        self._items[key] = _Item(
            value=request.get("value", ""),
            create_revision=old.create_revision if old else self._revision,
            mod_revision=self._revision,
            version=old.version + 1 if old else 1,
            lease=lease_id,
        )
        if lease_id:
            self._leases[lease_id].keys.add(key)
        self._publish({"type": "PUT", "kv": self._key_value(key)})
        self.on_put(key, self._items[key].value)

    def _delete(self, key: str) -> None:
        item = self._items.pop(key, None)
        if item is None:
            return
        if item.lease in self._leases:
            self._leases[item.lease].keys.discard(key)
        kv = {"key": key, "mod_revision": str(self._revision)}
        self._publish({"type": "DELETE", "kv": kv})

    def _publish(self, event: dict[str, Any]) -> None:
        self._history.append((self._revision, event))
        del self._history[:-20_000]
        for key, stream in list(self._watchers.values()):
            if key == event["kv"]["key"]:
                stream.send_nowait(self._encode_event({"events": [event]}))

    def _transaction(self, request: dict[str, Any], now: float) -> dict[str, Any]:
        comparisons = request.get("compare", ())
        succeeded = all(self._comparison_holds(compare) for compare in comparisons)
        operations = request.get("success" if succeeded else "failure", ())
        if any("request_put" in item or "request_delete_range" in item for item in operations):
            self._revision += 1
        responses = [self._execute(operation, now) for operation in operations]
        return {"header": self._header(), "succeeded": succeeded, "responses": responses}

    def _comparison_holds(self, compare: dict[str, Any]) -> bool:
        item = self._items.get(compare["key"])
        return int(compare["mod_revision"]) == (item.mod_revision if item else 0)

    def _execute(self, operation: dict[str, Any], now: float) -> dict[str, Any]:
        if "request_put" in operation:
            self._put(operation["request_put"])
            return {"response_put": {}}
        if "request_delete_range" in operation:
            self._delete(operation["request_delete_range"]["key"])
            return {"response_delete_range": {}}
        return {"response_range": self._range(operation["request_range"], now)}

    def _grant(self, request: dict[str, Any], now: float) -> dict[str, Any]:
        lease_id = next(self._lease_ids)
        ttl = float(request["TTL"])
        self._leases[lease_id] = _Lease(ttl, now + ttl)
        return {"header": self._header(), "ID": str(lease_id), "TTL": request["TTL"]}

    def _keep_alive(self, request: dict[str, Any], now: float) -> dict[str, Any]:
        lease = self._leases.get(int(request["ID"]))
        if lease is None:
            return {"result": {"header": self._header(), "ID": request["ID"]}}
        lease.deadline = now + lease.ttl
        result = {"header": self._header(), "ID": request["ID"], "TTL": str(round(lease.ttl))}
        return {"result": result}

    def _revoke(self, request: dict[str, Any], now: float) -> dict[str, Any]:
        self._remove_lease(int(request["ID"]))
        return {"header": self._header()}

    def _remove_lease(self, lease_id: int) -> None:
        lease = self._leases.pop(lease_id, None)
        if lease is None:
            return
        self._revision += 1
        for key in sorted(lease.keys):
            self._delete(key)


def decode_key(encoded: str) -> str:
    """Return a base64 key as text."""
    return b64decode(encoded).decode()
