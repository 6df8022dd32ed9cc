"""Decide whose a job is, and thus who may query and cancel it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from vanillawell.state.work_policy import Queue, WorkPolicy

KEY_ID_LENGTH = 16
"""Digits of a key's digest that are stored with a job: enough to tell keys apart."""


@dataclass(frozen=True, slots=True)
class JobOrigin:
    """What a job was submitted with."""

    queue: str
    organisation: str
    """Empty if it was submitted without a key."""

    key_id: str = ""
    """First digits of the key's digest; empty if there was none, or it was not looked up."""


@dataclass(frozen=True, slots=True)
class Access:
    """A call that is authorised."""

    queue: Queue
    organisation: str
    """Empty for a caller without a key on a queue that requires none."""

    key_id: str = ""
    """First digits of the digest of the caller's key; empty without one."""


def depends_on_key(access: Access, origin: JobOrigin, policy: WorkPolicy) -> bool:
    """Return whether `may_access` has to know the key that a job was submitted with."""
    is_known = not origin.organisation or origin.organisation in policy.organisations
    return bool(access.key_id) and not is_known


def may_access(access: Access, origin: JobOrigin, policy: WorkPolicy) -> bool:
    """Return whether a job of this origin may be queried and cancelled by an authorised call.

    A job belongs to the organisation that submitted it. While the configuration has no such
    organisation, it belongs to the key that it was submitted with, so that an organisation that is
    renamed keeps its jobs. Without a key, calls reach the jobs of their queue only.
    """
    is_same_queue = origin.queue == access.queue.name
    if not access.organisation and origin.organisation:
        return is_same_queue
    if not origin.organisation:
        return is_same_queue or origin.queue not in policy.queues
    if origin.organisation in policy.organisations:
        return origin.organisation == access.organisation
    return bool(origin.key_id) and origin.key_id == access.key_id
