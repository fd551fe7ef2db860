"""
Conversion of the timing settings to the timings of each package.
"""

from hawthornpier.coordination import (
    CommitLimits,
    ConfirmationTimings,
    HostViewTimings,
    LeaseTimings,
    MembershipTimings,
    OwnershipTimings,
)
from hawthornpier.owner import OwnerTiming
from hawthornpier.settings import TimingSettings


def lease_timings(timing: TimingSettings) -> LeaseTimings:
    """
    Return the timings of the process lease.
    """
    return LeaseTimings(
        lease_ms=timing.lease_ms,
        renew_interval_ms=timing.renew_interval_ms,
        clock_error_ms=timing.clock_error_ms,
        store_timeout_ms=timing.store_timeout_ms,
    )


def ownership_timings(timing: TimingSettings) -> OwnershipTimings:
    """
    Return the timings of claims and handovers of shards.
    """
    return OwnershipTimings(
        delivery_delay_ms=timing.delivery_delay_ms,
        hand_over_timeout_ms=timing.drain_timeout_ms,
    )


def commit_limits(timing: TimingSettings) -> CommitLimits:
    """
    Return the limits of group commits.
    """
    return CommitLimits(commit_interval_ms=timing.commit_interval_ms)


def membership_timings(timing: TimingSettings) -> MembershipTimings:
    """
    Return the timings of heartbeats.

    Each process exchanges heartbeats with every other one (a full mesh), since
    confirmations need the replies of a majority.  With 7 to 8 processes for
    each member the cost is low.
    """
    return MembershipTimings(
        heartbeat_interval_ms=timing.heartbeat_interval_ms,
        suspect_after_ms=timing.suspect_after_ms,
        is_full_mesh=True,
    )


def confirmation_timings(timing: TimingSettings) -> ConfirmationTimings:
    """
    Return the timings of the table's confirmation.
    """
    return ConfirmationTimings(table_confirm_ms=timing.table_confirm_ms)


def host_view_timings(timing: TimingSettings) -> HostViewTimings:
    """
    Return the timings of reading the host list.
    """
    return HostViewTimings(read_interval_ms=timing.host_list_interval_ms)


def owner_timing(timing: TimingSettings) -> OwnerTiming:
    """
    Return the timings of shard owners.
    """
    return OwnerTiming(
        task_lease_ms=timing.task_lease_ms,
        lease_renew_interval_ms=timing.task_renew_interval_ms,
        report_interval_ms=timing.report_interval_ms,
        delivery_delay_ms=timing.delivery_delay_ms,
        clock_error_ms=timing.clock_error_ms,
    )
