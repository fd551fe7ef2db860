"""
Durations and limits of the fleet scheduler.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class OwnershipTimings:
    """
    Durations concerning the ownership of a shard, in milliseconds.

    The lease of an owner that disappears expires after *lease_ms* at most.
    Four renewals fit into a lease, so that a single slow response of the store
    does not end it.
    """

    lease_ms: int = 2_400
    renew_interval_ms: int = 600
    # Other processes read the owner row with this long-polling timeout.
    watch_wait_ms: int = 1_000
    # A process delays its claim by this multiple of the store's response time,
    # so that the process nearest to the store claims first.
    claim_delay_factor: float = 6
    claim_delay_max_ms: int = 400
    # Added to the delay if the shard has never had an owner, so that the
    # processes of a new installation discover each other first.
    first_claim_ms: int = 500
    retry_min_ms: int = 60
    retry_max_ms: int = 500
    # Minimum interval between two writes of job progress.
    commit_interval_ms: int = 40
    # With a shorter timeout, calls that a slow store still carries out would
    # be repeated.
    store_timeout_ms: int = 1_500


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerTimings:
    """
    Durations and limits of the owner's requests to a worker.

    Durations are in milliseconds.
    """

    # A longer lease outlasts a change of the owner; a shorter one allows the
    # tasks of an unreachable worker to be restarted sooner.  The platform sets
    # an upper limit.
    lease_ms: int = 5_000
    # The platform's limit, which the lease of a previous owner may have.
    lease_max_ms: int = 6_000
    # Maximum fraction by which a worker's clock may run slow.
    clock_drift: float = 0.02
    # Long-polling timeouts of lease renewals: for a worker with runs, for one
    # without, and for one with both long-running and best-effort tasks.
    renewal_wait_ms: int = 1_000
    idle_wait_ms: int = 2_000
    colocated_wait_ms: int = 400
    order_timeout_ms: int = 700
    renewal_slack_ms: int = 800
    retry_min_ms: int = 80
    retry_max_ms: int = 500
    # Orders to one worker that may be in flight at the same time.
    max_concurrent_orders: int = 2
    start_try_count: int = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformBounds:
    """
    Limits that the platform specifies.

    Durations are in milliseconds; *remote_factor* is a ratio.  In use are the
    maximum length of a worker's lease, how long before its due time an
    occurrence may start (*early_ms*), how long ended jobs must stay readable
    (*status_ms*), the grace period after SIGTERM (*grace_ms*), for how long
    after its report a smaller capacity need not be known (*contact_ms*), and
    the largest value of a row of the store (*row_bytes*).
    """

    lease_max_ms: int = 6_000
    stop_ms: int = 900
    remote_factor: float = 3
    early_ms: int = 250
    interference_ms: int = 4_000
    notice_ms: int = 5_500
    restore_ms: int = 600
    status_ms: int = 120_000
    grace_ms: int = 6_000
    gang_timeout_ms: int = 3_000
    contact_ms: int = 4_000
    row_bytes: int = 65_536

    @property
    def row_content_bytes(self) -> int:
        """
        Return the largest content of a row.

        It is sent in base64, and the store may count the encoded bytes.
        """
        return self.row_bytes * 3 // 4
