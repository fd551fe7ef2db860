"""
Intervals and limits of a shard's owner.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class OwnerTiming:
    """
    Intervals and limits of a shard's owner.

    *delivery_delay_ms* is the maximum delay of a message in transit;
    *clock_error_ms* is the maximum drift between two clocks during one lease.
    After *close_after_failure_count* consecutive failed calls to a worker, its
    leases are no longer renewed.  *status_poll_interval_ms* is also the delay
    before a task whose run did not start or was lost is queued again.  Ended
    jobs and the outcomes of requests with an idempotency key are kept for
    *retention_ms*.  A task is given up if *max_interruptions* runs in
    succession are lost within *interruption_window_ms*, because it may crash
    each worker that starts it.
    """

    task_lease_ms: int = 15_000
    lease_renew_interval_ms: int = 500
    report_interval_ms: int = 1_000
    tick_interval_ms: int = 20
    retry_delay_ms: int = 500
    delivery_delay_ms: int = 2_000
    clock_error_ms: int = 250
    status_poll_interval_ms: int = 200
    order_deadline_ms: int = 10_000
    commit_deadline_ms: int = 2_000
    max_task_attempts: int = 3
    max_interruptions: int = 5
    interruption_window_ms: int = 45_000
    close_after_failure_count: int = 2
    retention_ms: int = 86_400_000
    purge_interval_ms: int = 60_000

    @property
    def lease_expiry_ms(self) -> int:
        """
        Return the time from sending a renewal until its leases have expired.

        The time includes the maximum message delay and clock drift, so no run
        is still executing after it.
        """
        return self.task_lease_ms + self.clock_error_ms + self.delivery_delay_ms
