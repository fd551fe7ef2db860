"""
The timings of all layers, from the settings.
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
    Return the timings of claims and hand-overs.
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

    All processes exchange heartbeats with all others: at 7 to 8 processes a
    member this costs little, and confirmations need a majority's replies.
    """
    return MembershipTimings(
        heartbeat_interval_ms=timing.heartbeat_interval_ms,
        suspect_after_ms=timing.suspect_after_ms,
        is_full_mesh=True,
    )


def confirmation_timings(timing: TimingSettings) -> ConfirmationTimings:
    """
    Return the limits of the table's confirmation.
    """
    return ConfirmationTimings(table_confirm_ms=timing.table_confirm_ms)


def host_view_timings(timing: TimingSettings) -> HostViewTimings:
    """
    Return the timings of the host list.
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
