"""Name what proves that a run has ended.

A run is closed, its capacity is freed and its task may start again once one of these is known. Each
rests on a sentence of the platform's protocol; the design note on ended runs lists them.
"""

from __future__ import annotations

from enum import StrEnum


class EndProof(StrEnum):
    """What proves that a run has ended, or never began and never will."""

    REPORTED = "reported"
    """The executor lists the end."""

    ABSENT = "absent from a report"
    """The executor's report, made after the run could have begun there, leaves the run out."""

    LEASE_EXPIRED = "lease expired"
    """The last lease that may have reached the executor has expired on its clock."""

    NOT_STARTED = "not started"
    """The order was not sent, or the executor refused it."""

    OTHER_EXECUTOR = "another executor answers at the address"
    NEXT_ON_MACHINE = "a later executor answers on its machine"
    MACHINE_LIST = "another state of its machine"
    NOT_LISTED = "on no machine, twice"
    MACHINE_ORDERED = "its machine was moved or taken for upkeep"
