"""Call the platform's own interface: its lagging list of instances, and reboots.

The platform's interface is the users' own; this module and its stand-in are the only places that
know its paths, so that another platform takes one module.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from vanillawell.protocol.call_errors import NoAnswerError, NotSentError
from vanillawell.protocol.platform_calls import InstanceList, PlatformUnavailableError
from vanillawell.state.jobs import TaskReport, TaskState, Worker
from vanillawell.transport.http_client import JsonClient

if TYPE_CHECKING:
    from vanillawell.config.settings import Address
    from vanillawell.state.jobs import Job

CALL_TIMEOUT = 2.0
"""Seconds that one call may take."""


JSON_MARKS = 6
"""Quotes, colon and comma around a name and its state."""


class PlatformClient:
    """Talk to the platform."""

    def __init__(self, address: Address, local_host: str) -> None:
        self._client = JsonClient(address, connections=2, local_host=local_host)

    async def instances(self) -> InstanceList:
        """Read the list of instances."""
        answer = await self._call("/platform/instances", None)
        states = answer["instances"]
        live = frozenset(name for name, state in states.items() if state == "live")
        size = sum(len(name) + len(state) + JSON_MARKS for name, state in states.items())
        return InstanceList(live, float(answer["age"]), size)

    async def is_terminated(self, instance: str) -> bool:
        """Tell whether an instance has ended for good and will never run again."""
        answer = await self._call(f"/platform/instances/{instance}", None)
        return bool(answer["state"] == "gone")

    async def workers(self) -> list[Worker]:
        """Read the lagging report on workers."""
        answer = await self._call("/platform/workers", None)
        return [
            Worker(name, float(item["cores"]), float(item["used"]), bool(item["live"]))
            for name, item in answer["workers"].items()
        ]

    async def start_task(self, job: Job, cores: float, ttl: float) -> None:
        """Start a job's present attempt under a lease; the same id never starts a second one."""
        document = {
            "id": job.task_id,
            "job": job.job_id,
            "worker": job.worker,
            "work": job.core_seconds,
            "cores": cores,
            "checkpoint": job.checkpoint,
            "ttl": ttl,
        }
        await self._call("/platform/tasks/start", document)

    async def stop_task(self, task_id: str) -> None:
        """Let a task make a checkpoint and end."""
        await self._call("/platform/tasks/stop", {"id": task_id})

    async def tasks(self, ids: list[str], ttl: float) -> dict[str, TaskReport]:
        """Report tasks and renew their leases; tasks the platform never heard of are missing."""
        answer = await self._call("/platform/tasks", {"ids": ids, "ttl": ttl})
        return {
            key: TaskReport(
                TaskState(item["state"]), item["done"], item["checkpoint"], item["used_cores"]
            )
            for key, item in answer["tasks"].items()
        }

    async def reboot(self, operation: str, instance: str) -> bool:
        """Ask for a reboot, or for how it went; True once it is done.

        The same id never starts a second reboot, so an unknown outcome is read back by asking
        again.
        """
        answer = await self._call("/platform/reboot", {"id": operation, "instance": instance})
        return bool(answer["state"] == "done")

    async def _call(self, path: str, document: object) -> Any:
        try:
            if document is None:
                return await self._client.get(path, CALL_TIMEOUT)
            return await self._client.post(path, document, CALL_TIMEOUT)
        except (NotSentError, NoAnswerError) as error:
            raise PlatformUnavailableError(str(error)) from error
