"""
Errors that the adapters of the ports raise.
"""

from hawthornpier.errors import HawthornpierError


class PortError(HawthornpierError):
    """
    A call through a port failed.
    """


class StoreError(PortError):
    """
    The platform's store did not do what was asked.
    """


class StoreUnavailableError(StoreError):
    """
    The store was not reached or refused: nothing was applied.
    """


class StoreReplyLostError(StoreError):
    """
    The answer was lost: the change may or may not have been applied.
    """


class WorkerError(PortError):
    """
    A worker did not do what was asked.
    """


class WorkerUnreachableError(WorkerError):
    """
    Nothing was sent to the worker, so nothing was run.
    """


class WorkerReplyLostError(WorkerError):
    """
    The message was sent and no whole reply came: it may have been applied.
    """


class PeerError(PortError):
    """
    Another entry process did not do what was asked.
    """


class PeerUnreachableError(PeerError):
    """
    Nothing was sent to the peer.
    """


class PeerReplyLostError(PeerError):
    """
    The message was sent to the peer and no whole reply came.
    """


class PeerRefusedError(PeerError):
    """
    The peer answered that it does not own the shard or is leaving.
    """
