"""Define the store keys of the scheduler."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WorkKeys:
    """Keys of the scheduler, under one prefix of the store."""

    prefix: str = "vanillawell/"

    @property
    def inbox(self) -> str:
        """Return the prefix of callers' requests that the owner has not processed yet."""
        return f"{self.prefix}inbox/"

    def new_job(self, job_id: str) -> str:
        """Return the key that announces a job to the owner; deleted once the job has a record."""
        return f"{self.inbox}job/{job_id}"

    def cancel(self, job_id: str) -> str:
        """Return the key that requests a job's cancellation; deleted once that is recorded."""
        return f"{self.inbox}cancel/{job_id}"

    @property
    def submitted_jobs(self) -> str:
        """Return the prefix of all jobs as submitted."""
        return f"{self.prefix}order/"

    def submitted_job(self, job_id: str) -> str:
        """Return the key of a job as submitted."""
        return self.submitted_jobs + job_id

    def withdrawn_job(self, job_id: str) -> str:
        """Return the key that keeps a job from being created once it was cancelled."""
        return f"{self.prefix}withdrawn/{job_id}"

    @property
    def records(self) -> str:
        """Return the prefix of all job records."""
        return f"{self.prefix}record/"

    def record(self, job_id: str) -> str:
        """Return the key of a job's record."""
        return self.records + job_id

    def job_rules(self, job_id: str) -> str:
        """Return the key of the rules that a job's queue had when the job was accepted."""
        return f"{self.prefix}rules/{job_id}"

    def queues(self, shard: str) -> str:
        """Return the key of the rules of queues that have jobs, stored for later owners."""
        return f"{self.prefix}queues/{shard}"

    def pending(self, shard: str) -> str:
        """Return the key of the numbers of jobs that wait for their first start, by queue."""
        return f"{self.prefix}pending/{shard}"

    @property
    def holders(self) -> str:
        """Return the prefix of the keys that name the owners of shards, each under a lease."""
        return f"{self.prefix}holder/"

    def holder(self, shard: str) -> str:
        """Return the key that names the owner of a shard, attached to the owner's lease."""
        return self.holders + shard

    def bid(self, shard: str) -> str:
        """Return the key by which an entry requests a shard from an owner with less capacity."""
        return f"{self.holders}{shard}/bid"

    def term(self, shard: str) -> str:
        """Return the key that must be unchanged for a write of a shard's owner to take effect."""
        return f"{self.prefix}term/{shard}"

    def wave(self, number: int) -> str:
        """Return the key of the stored progress of a wave of machine upkeep."""
        return f"{self.prefix}wave/{number}"

    def machine_orders(self, shard: str) -> str:
        """Return the key of the machines for which an owner has recently given orders."""
        return f"{self.prefix}machines/{shard}"

    def lease_bounds(self, shard: str) -> str:
        """Return the key that holds the `LeaseBounds` of a shard."""
        return f"{self.prefix}leases/{shard}"

    def new_job_id(self, key: str) -> str:
        """Return the job id if the key announces a new job, else an empty string."""
        key_prefix = f"{self.inbox}job/"
        return key[len(key_prefix) :] if key.startswith(key_prefix) else ""

    def cancelled_job_id(self, key: str) -> str:
        """Return the job id if the key requests a cancellation, else an empty string."""
        key_prefix = f"{self.inbox}cancel/"
        return key[len(key_prefix) :] if key.startswith(key_prefix) else ""
