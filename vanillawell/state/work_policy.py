"""Configuration of jobs in one version: queues, services and organisations."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import cached_property
from typing import TYPE_CHECKING

from vanillawell.state.work import Resources

if TYPE_CHECKING:
    from collections.abc import Mapping


@dataclass(frozen=True, slots=True)
class AdviceRule:
    """Rule that only executors named by an external advice service may run a queue's steps."""

    decide: float
    """Seconds that one call to the service takes."""

    each: float
    """Additional seconds for each executor in the call."""

    validity: float
    """Seconds for which an answer is valid."""


@dataclass(frozen=True, slots=True)
class Queue:
    """Queue for jobs of one kind: the address for submissions and the rules for its jobs."""

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    """Priority; 0 is served first."""

    attempts: int
    """Failed runs of a task after which its job fails."""

    slack_factor: float
    """Multiple of a job's critical path that its objective allows."""

    objective: float
    """Seconds that the objective allows in addition."""

    anonymous: bool
    """Whether jobs can be submitted without a key."""

    advice: AdviceRule | None = None


@dataclass(frozen=True, slots=True)
class Service:
    """A pool of executors."""

    name: str
    guards_capacity: bool
    """Whether its executors refuse tasks that exceed their capacity."""

    standby: bool
    """Whether its executors are switched off until they are moved to another pool."""


@dataclass(frozen=True, slots=True)
class OrganisationLimits:
    """Share and maximum of one organisation."""

    name: str
    share: float
    """Weight of its share when capacity is scarce."""

    maximum: Resources
    """Maximum resources of its running tasks in all pools; 0 for no limit of that dimension."""

    agreed_rate: float | None = None
    """Jobs a second that were agreed with it; None if it may send any number."""

    def allows(self, running: Resources, additional: Resources) -> bool:
        """Return whether `additional` keeps the organisation within its maximum."""
        total = running + additional
        limits = self.maximum
        return (
            (not limits.cpu or total.cpu <= limits.cpu)
            and (not limits.memory or total.memory <= limits.memory)
            and (not limits.gpu or total.gpu <= limits.gpu)
        )


@dataclass(frozen=True)
class WorkPolicy:
    """One version of the configuration of jobs."""

    version: int
    queues: Mapping[str, Queue]
    services: Mapping[str, Service]
    organisations: Mapping[str, OrganisationLimits]
    key_owners: Mapping[str, str] = field(repr=False)
    """Organisation by digest of its key."""

    body_bound: int = 262_144
    """Maximum size of a request body in bytes; the value is the published default."""

    @cached_property
    def _by_host(self) -> dict[str, list[Queue]]:
        by_host: dict[str, list[Queue]] = {}
        for queue in sorted(self.queues.values(), key=lambda item: -len(item.prefix)):
            by_host.setdefault(queue.host, []).append(queue)
        return by_host

    def match(self, host: str, path: str) -> Queue | None:
        """Return the queue at `host` with the longest prefix that `path` starts with, if any."""
        return next((q for q in self._by_host.get(host, ()) if path.startswith(q.prefix)), None)
