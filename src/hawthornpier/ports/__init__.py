"""
Interfaces to the platform, the workers, the peers and the clock.
"""

from hawthornpier.ports._active_time import ActiveTime
from hawthornpier.ports._errors import (
    PeerError,
    PeerRefusedError,
    PeerReplyLostError,
    PeerUnreachableError,
    PortError,
    StoreError,
    StoreRejectedError,
    StoreReplyLostError,
    StoreUnavailableError,
    WorkerError,
    WorkerReplyLostError,
    WorkerUnreachableError,
)
from hawthornpier.ports._protocols import (
    Clock,
    EventSink,
    HostList,
    ObjectStore,
    PeerPort,
    TableStore,
    WorkerPort,
)

__all__ = [
    'ActiveTime',
    'Clock',
    'EventSink',
    'HostList',
    'ObjectStore',
    'PeerError',
    'PeerPort',
    'PeerRefusedError',
    'PeerReplyLostError',
    'PeerUnreachableError',
    'PortError',
    'StoreError',
    'StoreRejectedError',
    'StoreReplyLostError',
    'StoreUnavailableError',
    'TableStore',
    'WorkerError',
    'WorkerPort',
    'WorkerReplyLostError',
    'WorkerUnreachableError',
]
