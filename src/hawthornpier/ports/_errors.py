"""
Errors that implementations of the ports raise.

The code that handles them distinguishes two cases: either the operation was
certainly not applied, or the reply was lost and it may have been applied.
"""

from hawthornpier.errors import HawthornpierError


class PortError(HawthornpierError):
    """
    A call through a port failed.
    """


class StoreError(PortError):
    """
    An operation on the platform's store failed.
    """


class StoreUnavailableError(StoreError):
    """
    The store was unreachable or rejected the operation: nothing was applied.
    """


class StoreRejectedError(StoreUnavailableError):
    """
    The store does not accept the operation, and repeating it is useless.
    """


class StoreReplyLostError(StoreError):
    """
    No valid reply came: the operation may or may not have been applied.
    """


class WorkerError(PortError):
    """
    A call to a worker failed.

    Args:
        why: What happened.
        has_disconnected: Whether the worker's host ended or refused the
            connection, instead of staying silent.
    """

    def __init__(
        self, why: str = '', *, has_disconnected: bool = False
    ) -> None:
        super().__init__(why)
        self.has_disconnected = has_disconnected


class WorkerUnreachableError(WorkerError):
    """
    Nothing was sent, or the worker rejected the call: nothing was applied.
    """


class WorkerReplyLostError(WorkerError):
    """
    The message was sent, but no valid reply came: it may have been applied.
    """


class PeerError(PortError):
    """
    A call to another entry process failed.
    """


class PeerUnreachableError(PeerError):
    """
    Nothing was sent to the peer, so nothing was applied.
    """


class PeerReplyLostError(PeerError):
    """
    The message was sent, but no valid reply came: it may have been applied.
    """


class PeerRefusedError(PeerError):
    """
    The peer rejected the call and applied nothing.

    For example, it does not own the shard, or is leaving.
    """
