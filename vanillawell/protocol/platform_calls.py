"""Define calls to the platform's own interface, independently of the transport."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from vanillawell.state.jobs import Job, TaskReport, Worker


class PlatformUnavailableError(Exception):
    """The platform did not answer; a requested reboot may have begun."""


@dataclass(frozen=True, slots=True)
class InstanceList:
    """Live instances, as of some time in the past."""

    live: frozenset[str]
    age: float
    """Age of the list in seconds."""

    size: int
    """Size of the list in bytes, as a measure of the cost of reading it."""


class PlatformCalls(Protocol):
    """Calls to the platform; each raises PlatformUnavailableError if it is not answered."""

    async def instances(self) -> InstanceList:
        """Return the list of instances."""

    async def is_terminated(self, instance: str) -> bool:
        """Return whether an instance was terminated and will never run again."""

    async def workers(self) -> list[Worker]:
        """Return the workers from a report that lags behind."""

    async def start_task(self, job: Job, cores: float, ttl: float) -> None:
        """Start a job's current attempt under a lease; the same id never starts a second task."""

    async def stop_task(self, task_id: str) -> None:
        """Stop a task after it has written a checkpoint."""

    async def tasks(self, ids: list[str], ttl: float) -> dict[str, TaskReport]:
        """Return reports on tasks and renew their leases; unknown tasks are missing from them."""

    async def reboot(self, operation: str, instance: str) -> bool:
        """Request a reboot or query its progress; True once it is complete."""
