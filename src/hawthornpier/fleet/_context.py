"""
What the parts of the fleet scheduler in one process share.
"""

import random
from dataclasses import dataclass

from hawthornpier.events import DecisionLog
from hawthornpier.fleet._peer_port import PeerDialer
from hawthornpier.fleet._ports import RecordStore, RowDecoder, WorkerDialer
from hawthornpier.fleet._relay_pool import RelayConnector
from hawthornpier.fleet._timings import (
    OwnershipTimings,
    PlatformBounds,
    WorkerTimings,
)
from hawthornpier.ports import Clock


@dataclass(frozen=True, slots=True, kw_only=True)
class HostInfo:
    """
    The location and the size of the host of a process.
    """

    failure_domain: str
    region: str = ''
    processor_cores: float = 1
    link_mbps: float = 1_000


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetContext:
    """
    Dependencies and settings shared by the scheduler's parts in a process.
    """

    store: RecordStore
    decoder: RowDecoder
    dial: WorkerDialer
    clock: Clock
    log: DecisionLog
    bounds: PlatformBounds
    worker_timings: WorkerTimings
    ownership_timings: OwnershipTimings
    dial_peer: PeerDialer
    rng: random.Random
    registry_table: str
    # Opens connections to relays; None if owners contact all workers directly.
    connect_relay: RelayConnector | None = None
