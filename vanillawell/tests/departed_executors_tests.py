"""Test what an owner keeps of executors that have left."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import anyio

from vanillawell.tests.scheduler_cluster import Cluster, until, with_cluster
from vanillawell.tests.scheduler_documents import PREFIX, job, step
from vanillawell.tests.table_sizes import table_sizes

if TYPE_CHECKING:
    from collections import Counter

    from vanillawell.tests.executor_hosts import Host

FEW, MANY = 4, 24
"""Executors that are replaced, one after the other."""

MARGIN = 12
"""Elements by which a table may differ between two moments without executors that leave."""


async def _replace(built: Cluster, numbers: range) -> None:
    """Replace the executor that runs a long-running task, again and again."""
    for number in numbers:
        name, former = f"i-{number}", f"i-{number - 1}"
        host = await built.add_executor(name)
        built.drain(former, 0.1)
        await until(partial(_is_running, host), 8)
        built.leave(former)
    await anyio.sleep(1.0)


def _is_running(host: Host) -> bool:
    return bool(host.executor.running)


def _sizes(built: Cluster) -> Counter[str]:
    return table_sizes(built.members[0].node)


# Guards against an owner that runs out of memory or descriptors, since it keeps something of each
# executor that has ever been there.
@with_cluster(executors=1)
async def test_tables_do_not_grow_with_the_executors_that_have_left(built: Cluster) -> None:
    (member,) = built.members
    body = job(step(longRunning=True), spec={"seconds": 999})
    await member.call("POST", PREFIX + built.new_id(), body)
    await until(lambda: bool(built.hosts["i-0"].executor.running))
    await _replace(built, range(1, FEW))
    few = _sizes(built)
    await _replace(built, range(FEW, MANY))
    many = _sizes(built)
    grown = {name: (few[name], size) for name, size in many.items() if size > few[name] + MARGIN}
    assert "Ledger.executors" in few
    assert grown == {}
