"""
The dependencies of the HTTP handlers.
"""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

from hawthornpier.adapters import SigningKey
from hawthornpier.coordination import Membership, TableConfirmation
from hawthornpier.daemon._catalog import TableCatalog
from hawthornpier.daemon._shards import LocalShards, RoutingShardClient
from hawthornpier.daemon._table_sync import TableSync
from hawthornpier.entry import EntryRouter, EntryTiming, JobRouter
from hawthornpier.events import EventRecorder, HybridClock
from hawthornpier.metrics import Metrics
from hawthornpier.ports import Clock, TableStore
from hawthornpier.table import VersionedTable


@dataclass(slots=True)
class Activity:
    """
    The number of open HTTP requests, and whether the process is leaving.
    """

    open_request_count: int = 0
    is_leaving: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Services:
    """
    The components of a process that its HTTP handlers use.

    *is_ready* returns whether the load balancer should send requests to this
    process.  *owner_of* returns the id of the process that owns a shard, or an
    empty string.  *peer_events* fetches the encoded events of all live peers
    that reply.
    """

    process_id: str
    clock: Clock
    store: TableStore
    hybrid_clock: HybridClock
    recorder: EventRecorder
    metrics: Metrics
    table: VersionedTable
    table_sync: TableSync
    catalog: TableCatalog
    confirmation: TableConfirmation
    membership: Membership
    local_shards: LocalShards
    shard_client: RoutingShardClient
    entry: EntryRouter
    entry_timing: EntryTiming
    jobs: JobRouter
    signing_keys: Sequence[SigningKey]
    is_ready: Callable[[], bool]
    owner_of: Callable[[str], str]
    peer_events: Callable[[], Awaitable[list[bytes]]]
    activity: Activity
