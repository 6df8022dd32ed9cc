"""Define the metrics of a scheduler process."""

from __future__ import annotations

from aioprometheus import Counter, Gauge, Histogram, Registry

from vanillawell.telemetry import LATENCY_BUCKETS


class SchedulerTelemetry:
    """All metrics of one scheduler process."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.calls = Counter(
            "vanillawell_calls_total",
            "Callers' requests by operation and status.",
            registry=self.registry,
        )
        self.latency = Histogram(
            "vanillawell_call_seconds",
            "Seconds from a request's head to its answer, by operation.",
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.store_writes = Counter(
            "vanillawell_store_writes_total",
            "Transactions written in the store, by kind.",
            registry=self.registry,
        )
        self.postponed_changes = Gauge(
            "vanillawell_postponed_changes",
            "Changed jobs that the latest scheduling cycle has left for a later one.",
            registry=self.registry,
        )
        self.policy_version = Gauge(
            "vanillawell_policy_version",
            "Version of the configuration in force here.",
            registry=self.registry,
        )
        self.evacuated_zones = Gauge(
            "vanillawell_evacuated_zones",
            "Availability zones that this entry knows to be evacuated.",
            registry=self.registry,
        )
        self.evacuated_executors = Gauge(
            "vanillawell_evacuated_executors",
            "Executors that get no new tasks because their zone is evacuated; 0 if not the owner.",
            registry=self.registry,
        )
        self.starts_withdrawn = Counter(
            "vanillawell_starts_withdrawn_total",
            "Stored starts that were not ordered since their executor or maximum had changed.",
            registry=self.registry,
        )
        self.surplus_jobs = Gauge(
            "vanillawell_surplus_jobs",
            "Jobs beyond their organisation's agreed rate that this owner has tracked; 0 if not the"
            " owner.",
            registry=self.registry,
        )
        self.registrations_ignored = Gauge(
            "vanillawell_registrations_ignored",
            "Entries of the registry that name no executor to use, by reason; 0 if not the owner.",
            registry=self.registry,
        )
        self.runs_closed = Gauge(
            "vanillawell_runs_closed",
            "Runs that this owner has closed, by what proved their end; 0 if not the owner.",
            registry=self.registry,
        )
        self.shard_drops = Counter(
            "vanillawell_shard_drops_total",
            "Terms of this entry as owner that an unexpected error has ended.",
            registry=self.registry,
        )
        self.shard_drops.set({}, 0)  # so that the first drop shows as an increase
        self.log_lines_dropped = Gauge(
            "vanillawell_log_lines_dropped",
            "Log lines dropped so far, since nobody read them or there were too many of a kind.",
            registry=self.registry,
        )
