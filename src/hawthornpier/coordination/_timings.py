"""
Timings and limits of the coordination layer, with validation.
"""

from dataclasses import dataclass, fields

from hawthornpier.coordination._errors import TimingError


@dataclass(frozen=True, slots=True, kw_only=True)
class _PositiveFields:
    """
    Base class that requires every numeric field to be positive.
    """

    def __post_init__(self) -> None:
        for field in fields(self):
            amount = getattr(self, field.name)
            if not isinstance(amount, bool) and amount <= 0:
                message = f'{field.name} must be positive, not {amount}'
                raise TimingError(message)

    def _require(self, is_met: bool, rule: str) -> None:
        if not is_met:
            message = f'{type(self).__name__} requires {rule}'
            raise TimingError(message)


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseTimings(_PositiveFields):
    """
    Timings of the process lease, for its holder and for observers.

    *clock_error_ms* bounds how far two monotonic clocks drift apart during
    one lease.  *max_gap_ms* is the longest interval between two reads of the
    process rows in which a row still counts as observed unchanged.
    *store_out_after_ms* is how long transactions must fail before the store
    counts as out.  *lost_retention_ms* is how long a process whose lease
    expired without a release still counts for majorities.
    """

    lease_ms: int = 3_000
    renew_interval_ms: int = 750
    clock_error_ms: int = 300
    retry_min_ms: int = 50
    retry_max_ms: int = 400
    store_timeout_ms: int = 1_500
    store_out_after_ms: int = 1_000
    release_timeout_ms: int = 2_000
    max_gap_ms: int = 2_800
    lost_retention_ms: int = 3_600_000

    def __post_init__(self) -> None:
        _PositiveFields.__post_init__(self)
        self._require(
            self.renew_interval_ms * 2 <= self.lease_ms,
            'renew_interval_ms * 2 <= lease_ms',
        )
        self._require(
            self.retry_min_ms <= self.retry_max_ms,
            'retry_min_ms <= retry_max_ms',
        )
        self._require(
            self.max_gap_ms < self.lease_ms,
            'max_gap_ms < lease_ms',
        )

    @property
    def takeover_after_ms(self) -> int:
        """
        Return how long a row must be unchanged before its lease is expired.
        """
        return self.lease_ms + self.clock_error_ms


@dataclass(frozen=True, slots=True, kw_only=True)
class OwnershipTimings(_PositiveFields):
    """
    Timings of the claims and handovers of shards.

    The owner rows of the own failure domain are read every
    *observe_interval_ms*, those of all domains every
    *far_observe_interval_ms*; with thousands of shards, most of the data that
    a process reads comes from the latter.
    *claim_settle_ms* is how long a new process only observes before it claims
    shards.  *claim_rank_delay_ms* is how much longer each process waits than
    the one ranked before it until it claims a vacant shard.
    *foreign_grace_ms* is how long a failure domain must be without a live
    process before processes of other domains claim its shards.
    *delivery_delay_ms* is how long messages of a previous owner may still be
    delivered.
    """

    observe_interval_ms: int = 500
    far_observe_interval_ms: int = 1_000
    claim_settle_ms: int = 1_000
    claim_rank_delay_ms: int = 1_500
    claim_batch_count: int = 16
    foreign_grace_ms: int = 1_000
    rebalance_interval_ms: int = 5_000
    hand_over_timeout_ms: int = 5_000
    delivery_delay_ms: int = 2_000


@dataclass(frozen=True, slots=True, kw_only=True)
class CommitLimits(_PositiveFields):
    """
    Timings and sizes of group commits.

    *has_marker_row* is required for stores that do not remember transaction
    ids.
    """

    commit_interval_ms: int = 5
    max_row_count: int = 500
    retry_min_ms: int = 20
    retry_max_ms: int = 500
    has_marker_row: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class MembershipTimings(_PositiveFields):
    """
    Timings of heartbeats and of the suspicion of peers.

    *tick_ms* is the interval at which the process updates its peers and
    detects its own pauses, *far_interval_ms* the interval of heartbeats to
    other failure domains.  *is_full_mesh* sends heartbeats to the processes
    of all domains.  Small deployments need this for majorities; in large
    ones it would exceed the bandwidth of the links.
    """

    heartbeat_interval_ms: int = 500
    far_interval_ms: int = 1_000
    heartbeat_timeout_ms: int = 1_000
    suspect_after_ms: int = 2_000
    load_expiry_ms: int = 10_000
    tick_ms: int = 100
    is_full_mesh: bool = False

    def __post_init__(self) -> None:
        _PositiveFields.__post_init__(self)
        self._require(
            self.heartbeat_interval_ms * 2 <= self.suspect_after_ms,
            'heartbeat_interval_ms * 2 <= suspect_after_ms',
        )
        self._require(
            self.far_interval_ms * 2 <= self.suspect_after_ms,
            'far_interval_ms * 2 <= suspect_after_ms',
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfirmationTimings(_PositiveFields):
    """
    Timings of the confirmation of the table.

    *table_confirm_ms* is the age up to which a confirmation counts,
    *reply_expiry_ms* the age up to which a peer's reply counts.
    *outage_limit_ms* bounds how long an unconfirmed process admits work
    during a shared outage.  It must be below
    `LeaseTimings.lost_retention_ms`, so that the processes that still reach
    the store count the lost ones for majorities until these stop admitting.
    """

    table_confirm_ms: int = 4_000
    reply_expiry_ms: int = 2_000
    outage_limit_ms: int = 3_000_000


@dataclass(frozen=True, slots=True, kw_only=True)
class HostViewTimings(_PositiveFields):
    """
    Timings of the host view.

    A worker that was leaving counts as live again after it was missing from
    all listings for *gone_settle_ms*, or after it was listed as live for
    *live_settle_ms* without another report that it leaves.
    """

    read_interval_ms: int = 1_000
    gone_settle_ms: int = 5_000
    live_settle_ms: int = 30_000
