"""
Errors of the coordination layer.
"""

from hawthornpier.errors import HawthornpierError


class CoordinationError(HawthornpierError):
    """
    Base class of the errors of the coordination layer.
    """


class TimingError(CoordinationError, ValueError):
    """
    A timing or limit has an invalid value.
    """


class UnreadableRowError(CoordinationError):
    """
    A row of the store cannot be decoded.
    """


class LeaseLostError(CoordinationError):
    """
    The process has no process row, so it may not claim shards.
    """


class CommitError(CoordinationError):
    """
    A durable write did not succeed.
    """


class CommitNotAppliedError(CommitError):
    """
    The write was certainly not applied and never will be.
    """


class CommitUnknownError(CommitError):
    """
    The write was sent; it may have been applied or may be applied later.
    """


class CommitConflictError(CommitNotAppliedError):
    """
    One of the write's own checks failed; nothing of it was applied.
    """


class CommitDeposedError(CommitNotAppliedError):
    """
    The process no longer owns the shard; nothing of the write was applied.
    """


class CommitClosedError(CommitNotAppliedError):
    """
    The group commit was closed before the write was sent to the store.
    """
