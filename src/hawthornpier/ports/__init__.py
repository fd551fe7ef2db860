"""
Ports to the platform, the workers, the peers and the clock.
"""

from hawthornpier.ports._errors import (
    PeerAnswerLostError,
    PeerError,
    PeerRefusedError,
    PeerUnreachableError,
    PortError,
    StoreAnswerLostError,
    StoreError,
    StoreUnavailableError,
    WorkerAnswerLostError,
    WorkerError,
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
    'Clock',
    'EventSink',
    'HostList',
    'ObjectStore',
    'PeerAnswerLostError',
    'PeerError',
    'PeerPort',
    'PeerRefusedError',
    'PeerUnreachableError',
    'PortError',
    'StoreAnswerLostError',
    'StoreError',
    'StoreUnavailableError',
    'TableStore',
    'WorkerAnswerLostError',
    'WorkerError',
    'WorkerPort',
    'WorkerUnreachableError',
]
