"""
Durations and limits of the fleet scheduler.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class OwnershipTimings:
    """
    Durations of the claim on a shard, in milliseconds.

    A vanished owner is replaced after *lease_ms* at most; four renewals fit
    in, so that single slow answers of the store cost nothing.
    """

    lease_ms: int = 2_400
    renew_interval_ms: int = 600
    # A follower's read of the owner row waits this long for a change.
    watch_wait_ms: int = 1_000
    # A claim waits for this multiple of the store's response time, so that
    # the process nearest to the store claims first.
    claim_delay_factor: float = 6
    claim_delay_max_ms: int = 400
    # Added to the delay of the very first claim.
    first_claim_ms: int = 500
    retry_min_ms: int = 60
    retry_max_ms: int = 500
    # Progress of jobs is written this often at most.
    commit_interval_ms: int = 40
    # A smaller timeout would repeat calls that a slow store still performs.
    store_timeout_ms: int = 1_500


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerTimings:
    """
    Durations of the conversation with a worker, in milliseconds.
    """

    # Longer survives a change of the owner, shorter frees the tasks of a
    # vanished worker sooner.  The platform limits it as well.
    lease_ms: int = 5_000
    # The worker's clock may be slow by this part.
    clock_drift: float = 0.02
    renewal_wait_ms: int = 1_000
    idle_wait_ms: int = 2_000
    # While lasting tasks have filling ones beside them.
    colocated_wait_ms: int = 400
    order_timeout_ms: int = 700
    renewal_slack_ms: int = 800
    retry_min_ms: int = 80
    retry_max_ms: int = 500
    # Orders to one worker that may be on their way at once.
    max_concurrent_orders: int = 2
    start_try_count: int = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformBounds:
    """
    Limits that the platform states for its workers, in milliseconds.
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
