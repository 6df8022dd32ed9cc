"""Record the metrics of an entry process, and log a state only when it changes."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from aioprometheus import Counter, Gauge, Histogram, Registry

if TYPE_CHECKING:
    from collections.abc import Sequence

log = logging.getLogger(__name__)

LATENCY_BUCKETS: Sequence[float] = (
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0
)  # fmt: skip
"""Upper bounds of the latency histogram's buckets, in seconds."""


class Telemetry:
    """All metrics of one entry process."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.requests = self._counter(
            "vanillawell_requests_total",
            "Requests by service, organisation and final outcome (status or refusal type).",
        )
        self.latency = Histogram(
            "vanillawell_request_seconds",
            "Seconds from the request's head to its final outcome, by service and organisation.",
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.retries = self._counter(
            "vanillawell_retries_total", "Further attempts by pool and kind (retry, requeue)."
        )
        self.moves = self._counter(
            "vanillawell_moves_total",
            "Moves and drains begun, by reason (demand, no longer needed, maintenance, ...).",
        )
        self.certificate_reloads = self._counter(
            "vanillawell_certificate_reloads_total", "Renewed certificate files taken over."
        )
        self.ejections = self._counter(
            "vanillawell_ejections_total", "Executors left out for failing, by pool."
        )
        self.probes = self._counter(
            "vanillawell_probes_total", "Probes for silent connections, by executor and result."
        )
        self.store_calls = self._counter(
            "vanillawell_store_calls_total", "Calls to the platform's store, by task and result."
        )
        self.peer_bytes = self._counter(
            "vanillawell_peer_bytes_total", "Bytes exchanged with peers, by direction."
        )
        self.configuration_version = self._gauge(
            "vanillawell_configuration_version", "Configuration version in force here."
        )
        self.evacuated_zones = self._gauge(
            "vanillawell_evacuated_zones",
            "Availability zones whose instances get no new requests from this entry.",
        )
        self.configuration_age = self._gauge(
            "vanillawell_configuration_age_seconds",
            "Seconds since the configuration was last confirmed as the newest one.",
        )
        self.units_held = self._gauge(
            "vanillawell_units_held",
            "Units of an organisation's limit held by this entry, by organisation.",
        )
        self._logged_states: dict[str, str] = {}

    def _counter(self, name: str, help_text: str) -> Counter:
        return Counter(name, help_text, registry=self.registry)

    def _gauge(self, name: str, help_text: str) -> Gauge:
        return Gauge(name, help_text, registry=self.registry)

    def log_state(self, subject: str, state: str, level: int = logging.INFO) -> None:
        """Log that `subject` is now in `state`, unless that is its last logged state."""
        if self._logged_states.get(subject) != state:
            self._logged_states[subject] = state
            log.log(level, "state changed", extra={"subject": subject, "state": state})

    def record_ejection(self, executor: str, pool: str) -> None:
        """Count and log an ejection."""
        self.ejections.inc({"pool": pool})
        fields = {"subject": f"executor {executor}", "state": "ejected"}
        log.warning("state changed", extra=fields)
