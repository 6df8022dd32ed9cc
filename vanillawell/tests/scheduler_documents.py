"""Build documents in the format of the platform: configurations, and the bodies of jobs."""

from __future__ import annotations

from typing import Any

import orjson

HOST = "jobs.example"
PREFIX = "/jobs/"
ADVICE_PREFIX = "/hinted/"
API_KEY = "key-of-north"
POOL = "pool-a"


def config(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a configuration in the operators' format."""
    route = {
        "name": "plain",
        "host": HOST,
        "prefix": PREFIX,
        "service": POOL,
        "attempts": 2,
        "priority": 1,
        "slackFactor": 1.6,
        "targetLatencyMs": 600,
    }
    hint = {"decideMs": 5, "eachMs": 1, "validityMs": 3000}
    with_advice = {**route, "name": "hinted", "prefix": ADVICE_PREFIX, "hint": hint}
    document = {
        "version": version,
        "routes": [route, with_advice],
        "services": [{"name": POOL, "rejectsOverload": False}],
        "tenants": [{"name": "north", "apiKeys": [API_KEY], "weight": 10}],
        "limits": {"maxBodyBytes": 100_000},
    }
    return {**document, **changes}


def step(count: int = 1, **fields: Any) -> dict[str, Any]:
    """Return a step of a job in the format of the platform."""
    return {"count": count, "cpu": 1_000, "memMb": 10, "estimateMs": 200, **fields}


def job(*steps: dict[str, Any], spec: dict[str, Any] | None = None, **fields: Any) -> bytes:
    """Return the body of a job; `spec` defines what its tasks do on the stand-in executors."""
    document = {"spec": orjson.dumps(spec or {}).decode(), "steps": steps or (step(),), **fields}
    return orjson.dumps(document)
