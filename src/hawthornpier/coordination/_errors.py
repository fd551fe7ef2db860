"""
Errors of the coordination layer.
"""

from hawthornpier.errors import HawthornpierError


class CoordinationError(HawthornpierError):
    """
    Base class of the errors of this layer.
    """


class TimingError(CoordinationError, ValueError):
    """
    A timing or limit has a value that cannot work.
    """


class LeaseLostError(CoordinationError):
    """
    The process has no lease row, so it may not claim anything.
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
    The shard has another owner; nothing of the write was applied.
    """


class CommitClosedError(CommitNotAppliedError):
    """
    The group commit was closed before the write was sent.
    """
