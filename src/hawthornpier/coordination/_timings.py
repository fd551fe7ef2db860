"""
Timings and limits of the coordination layer, with checked values.
"""

from dataclasses import dataclass, fields

from hawthornpier.coordination._errors import TimingError


@dataclass(frozen=True, slots=True, kw_only=True)
class _PositiveFields:
    """
    Every field that is a number is checked to be positive.
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
    one lease.  *max_gap_ms* is the longest time between two readings of the
    process rows that still counts as watching them.  *lost_retention_ms* is
    how long a process that vanished still counts for majorities.
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
        Return how long an observer must see a row unchanged.
        """
        return self.lease_ms + self.clock_error_ms


@dataclass(frozen=True, slots=True, kw_only=True)
class OwnershipTimings(_PositiveFields):
    """
    Timings of the claims and hand-overs of shards.

    The owners of the own failure domain are read every *observe_interval_ms*,
    those of all domains every *far_observe_interval_ms*; with thousands of
    shards the latter is what the process reads most.
    *claim_settle_ms* is how long a new process only watches, and
    *claim_rank_delay_ms* how long the next best process leaves a free shard
    to the best one.  *foreign_grace_ms* is how long a failure domain must be
    without a live process before others take its shards.
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

    *has_marker_row* is for stores that do not remember transaction ids.
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

    *tick_ms* is the resolution at which the process notices its own pauses,
    *far_interval_ms* the interval of heartbeats to other failure domains.
    *is_full_mesh* sends heartbeats to the processes of all domains, which
    small groups need for majorities; larger ones would exceed their links.
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

    *heard_within_ms* is the age up to which a peer's statement counts.
    *outage_limit_ms* bounds how long an unconfirmed process admits work
    during a shared outage; it stays below `LeaseTimings.lost_retention_ms`,
    so that the side with the store still counts the processes it lost.
    """

    table_confirm_ms: int = 4_000
    heard_within_ms: int = 2_000
    outage_limit_ms: int = 3_000_000


@dataclass(frozen=True, slots=True, kw_only=True)
class HostViewTimings(_PositiveFields):
    """
    Timings of the host view.

    A worker that was leaving is live again after it was missing from every
    listing for *gone_settle_ms*, or after the list has called it live for
    *live_settle_ms* while nothing else said that it leaves.
    """

    read_interval_ms: int = 1_000
    gone_settle_ms: int = 5_000
    live_settle_ms: int = 30_000
