"""Test at a real process which calls each kind of key admits, on each kind of queue."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import anyio

from vanillawell.platform.http import HttpClient
from vanillawell.protocol.call_errors import NoAnswerError, NotSentError
from vanillawell.tests.job_access_tests import OPEN_PREFIX, SOUTH_KEY, configure, tenants
from vanillawell.tests.platform_process import PlatformProcess, write_settings
from vanillawell.tests.scheduler_cluster import Cluster, cluster
from vanillawell.tests.scheduler_documents import API_KEY, HOST, PREFIX, job

if TYPE_CHECKING:
    from pathlib import Path

NEXT_KEY = "next-key"
"""Key that an organisation gets in place of `API_KEY`."""

EXPECTED = {
    (PREFIX, "never-known"): [401] * 4,
    (PREFIX, API_KEY): [401] * 4,
    (PREFIX, None): [401] * 4,
    (PREFIX, SOUTH_KEY): [409, 410, 410, 200],
    (PREFIX, NEXT_KEY): [200, 200, 200, 200],
    (OPEN_PREFIX, "never-known"): [401] * 4,
    (OPEN_PREFIX, API_KEY): [401] * 4,
    (OPEN_PREFIX, None): [409, 410, 410, 200],
    (OPEN_PREFIX, SOUTH_KEY): [409, 410, 410, 200],
    (OPEN_PREFIX, NEXT_KEY): [200, 200, 200, 200],
}
"""Statuses of POST, GET and DELETE for one job, and of the query for its queue, by prefix and key.
The job was handed in with `API_KEY`, on the queue that needs a key; that key was then withdrawn."""


class Caller:
    """Calls one entry over HTTP."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._client = HttpClient()

    async def call(self, method: str, path: str, key: str | None) -> int:
        """Return the status of an answer; 503 if there is none."""
        headers = {"Host": HOST} | ({"X-Key": key} if key else {})
        document = json.loads(job(spec={"seconds": 30})) if method == "POST" else None
        try:
            answer = await self._client.call(
                self._address, method, path, document, 3.0, headers, fresh=True
            )
        except (NotSentError, NoAnswerError):
            return 503
        return answer.status

    async def wait_for(self, status: int, method: str, path: str, key: str) -> None:
        """Repeat a call until it has the given status."""
        with anyio.fail_after(15):
            while await self.call(method, path, key) != status:
                await anyio.sleep(0.05)


async def _play(built: Cluster, caller: Caller) -> None:
    await configure(built, 2, tenants=tenants(keys=(API_KEY, NEXT_KEY)))
    for number, ((prefix, key), expected) in enumerate(EXPECTED.items()):
        job_id = built.new_id()
        await configure(built, 3 + 2 * number, tenants=tenants(keys=(API_KEY, NEXT_KEY)))
        await caller.wait_for(200, "POST", PREFIX + job_id, API_KEY)
        await configure(built, 4 + 2 * number, tenants=tenants(keys=(NEXT_KEY,)))
        await caller.wait_for(401, "GET", PREFIX + job_id, API_KEY)
        methods = ("POST", "GET", "DELETE")
        found = [await caller.call(method, prefix + job_id, key) for method in methods]
        assert [*found, await caller.call("GET", prefix, key)] == expected, (prefix, key)


# Guards against a key that a process accepts on one kind of queue and refuses on the other, and
# against calls to a job that only some methods keep from other organisations.
def test_each_key_admits_the_same_calls_on_each_queue(tmp_path: Path) -> None:
    async def run() -> None:
        async with cluster() as built:
            path = write_settings(tmp_path, built.store_address, built.machines_address)
            with PlatformProcess(path):
                await _play(built, Caller(json.loads(path.read_text())["caller"]))

    anyio.run(run)
