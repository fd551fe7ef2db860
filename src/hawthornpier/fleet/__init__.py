"""
A scheduler that runs jobs on a fleet of workers under leases.

Every entry process accepts jobs and writes them to the platform's store.  All
workers form one shard.  One entry process at a time owns it and starts, stops
and monitors the tasks of the jobs.
"""

from hawthornpier.fleet._configuration import Configuration, QueueRoute
from hawthornpier.fleet._configuration_watch import ConfigurationSource
from hawthornpier.fleet._context import FleetContext, HostInfo
from hawthornpier.fleet._entry import JobEntry
from hawthornpier.fleet._errors import (
    FleetError,
    HistoryGoneError,
    JobRejectedError,
    NotStoredError,
    OutcomeUnknownError,
    ShardLostError,
    UnknownJobError,
)
from hawthornpier.fleet._node import FleetNode
from hawthornpier.fleet._owner import ShardOwner
from hawthornpier.fleet._ownership import Ownership
from hawthornpier.fleet._peer_client import HttpFleetPeer
from hawthornpier.fleet._peer_handlers import peer_routes
from hawthornpier.fleet._peer_port import (
    ConfigurationReply,
    FleetPeer,
    PeerGoneError,
    Presence,
)
from hawthornpier.fleet._ports import (
    LISTED_ENDS_MAX,
    EndedRun,
    FleetWorker,
    OrderReply,
    RecordStore,
    Renewal,
    RowDecoder,
    RowPage,
    RowTransaction,
    RunningRun,
    StartOrder,
    StoredRow,
    TransactionOutcome,
    Verdict,
    WorkerDialer,
    WorkerEntry,
    WorkerListing,
)
from hawthornpier.fleet._relay_channel import RelaySocket
from hawthornpier.fleet._relay_pool import RelayConnector
from hawthornpier.fleet._relay_session import RelaySession
from hawthornpier.fleet._relay_socket import connect_relay
from hawthornpier.fleet._timings import (
    OwnershipTimings,
    PlatformBounds,
    WorkerTimings,
)
from hawthornpier.fleet._writer import ProcessCard, ShardWriter

__all__ = [
    'LISTED_ENDS_MAX',
    'Configuration',
    'ConfigurationReply',
    'ConfigurationSource',
    'EndedRun',
    'FleetContext',
    'FleetError',
    'FleetNode',
    'FleetPeer',
    'FleetWorker',
    'HistoryGoneError',
    'HostInfo',
    'HttpFleetPeer',
    'JobEntry',
    'JobRejectedError',
    'NotStoredError',
    'OrderReply',
    'OutcomeUnknownError',
    'Ownership',
    'OwnershipTimings',
    'PeerGoneError',
    'PlatformBounds',
    'Presence',
    'ProcessCard',
    'QueueRoute',
    'RecordStore',
    'RelayConnector',
    'RelaySession',
    'RelaySocket',
    'Renewal',
    'RowDecoder',
    'RowPage',
    'RowTransaction',
    'RunningRun',
    'ShardLostError',
    'ShardOwner',
    'ShardWriter',
    'StartOrder',
    'StoredRow',
    'TransactionOutcome',
    'UnknownJobError',
    'Verdict',
    'WorkerDialer',
    'WorkerEntry',
    'WorkerListing',
    'WorkerTimings',
    'connect_relay',
    'peer_routes',
]
