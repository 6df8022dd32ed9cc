"""Tell the jobs that an organisation sends within its agreed rate from those beyond it.

The load: an organisation sends several times what was agreed while others keep to it, and the pool
has no room for all. Jobs within the rate are served as if nobody had exceeded theirs; the others,
the surplus, get what is left.
"""

from __future__ import annotations

from dataclasses import dataclass, field

BURST_SECONDS = 1.0
"""Seconds of its agreed rate that an organisation may send at once: callers act on their own, so
that the jobs of a steady second may all arrive at its beginning."""

MIN_BURST = 1.0
"""Jobs that an organisation may send at once, however low its rate."""


@dataclass(slots=True)
class _Allowance:
    """What is left of one organisation's rate."""

    jobs: float
    at: float
    """Time up to which the rate was credited."""


@dataclass(slots=True)
class AgreedRates:
    """A token bucket for each organisation.

    It is filled by the times at which jobs were accepted, so that the owner's own delays look like
    no burst, and a next owner that replays the stored jobs reaches the same state.
    """

    _allowances: dict[str, _Allowance] = field(default_factory=dict)

    def is_surplus(self, organisation: str, rate: float | None, accepted: float) -> bool:
        """Count a job, and return whether it exceeds the agreed rate of its organisation.

        Args:
            organisation: Name of the organisation.
            rate: Agreed jobs a second; None if none is agreed.
            accepted: When the job was accepted. Entries' clocks differ; a time before that of an
                earlier job credits nothing.
        """
        if rate is None:
            return False
        burst = max(MIN_BURST, rate * BURST_SECONDS)
        allowance = self._allowances.setdefault(organisation, _Allowance(burst, accepted))
        credited = max(0.0, accepted - allowance.at) * rate
        allowance.jobs = min(burst, allowance.jobs + credited)
        allowance.at = max(allowance.at, accepted)
        if allowance.jobs < 1.0:
            return True
        allowance.jobs -= 1.0
        return False
