"""Build entries of the registry of executors in the format of the platform."""

from __future__ import annotations

import orjson

from vanillawell.tests.scheduling_builders import POOL


def registration(**changes: object) -> bytes:
    """Return a complete entry; a field that is changed to None is left out."""
    fields: dict[str, object] = {
        "service": POOL,
        "address": "127.0.0.1:1",
        "zone": "a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "coldRemainingMs": 0,
        "seq": 1,
        "machine": "m-i-0",
        "born": 1,
        "capacity": {"cpu": 8_000, "memMb": 64_000, "gpu": 0},
        "labels": ["kind", "r1"],
    }
    fields.update(changes)
    return orjson.dumps({key: value for key, value in fields.items() if value is not None})
