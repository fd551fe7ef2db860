"""
Process leases, shard ownership, group commits, membership and the host view.
"""

from hawthornpier.coordination._claim_writer import OwnedShard
from hawthornpier.coordination._claims import (
    Claimant,
    Vacancy,
    choose_handover,
    rank_claimants,
)
from hawthornpier.coordination._commit import GroupCommit
from hawthornpier.coordination._confirmation import TableConfirmation
from hawthornpier.coordination._directory import (
    ObservedProcess,
    ProcessDirectory,
)
from hawthornpier.coordination._errors import (
    CommitClosedError,
    CommitConflictError,
    CommitDeposedError,
    CommitError,
    CommitNotAppliedError,
    CommitUnknownError,
    CoordinationError,
    LeaseLostError,
    TimingError,
)
from hawthornpier.coordination._hosts import (
    HostView,
    ShardWorker,
    WorkerState,
)
from hawthornpier.coordination._lease import ProcessLease
from hawthornpier.coordination._lease_row import LeaseWrite
from hawthornpier.coordination._link import StoreLink
from hawthornpier.coordination._membership import Membership
from hawthornpier.coordination._owner_rows import ShardOwner
from hawthornpier.coordination._ownership import ShardOwnership
from hawthornpier.coordination._peers import PeerView
from hawthornpier.coordination._rows import (
    MarkerRow,
    OwnerRow,
    ProcessIdentity,
    ProcessRow,
    failure_domain_of,
    shard_of_rack,
)
from hawthornpier.coordination._timings import (
    CommitLimits,
    ConfirmationTimings,
    HostViewTimings,
    LeaseTimings,
    MembershipTimings,
    OwnershipTimings,
)

__all__ = [
    'Claimant',
    'CommitClosedError',
    'CommitConflictError',
    'CommitDeposedError',
    'CommitError',
    'CommitLimits',
    'CommitNotAppliedError',
    'CommitUnknownError',
    'ConfirmationTimings',
    'CoordinationError',
    'GroupCommit',
    'HostView',
    'HostViewTimings',
    'LeaseLostError',
    'LeaseTimings',
    'LeaseWrite',
    'MarkerRow',
    'Membership',
    'MembershipTimings',
    'ObservedProcess',
    'OwnedShard',
    'OwnerRow',
    'OwnershipTimings',
    'PeerView',
    'ProcessDirectory',
    'ProcessIdentity',
    'ProcessLease',
    'ProcessRow',
    'ShardOwner',
    'ShardOwnership',
    'ShardWorker',
    'StoreLink',
    'TableConfirmation',
    'TimingError',
    'Vacancy',
    'WorkerState',
    'choose_handover',
    'failure_domain_of',
    'rank_claimants',
    'shard_of_rack',
]
