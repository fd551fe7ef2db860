"""
Errors of a shard's owner.
"""

from hawthornpier.errors import HawthornpierError


class OwnerError(HawthornpierError):
    """
    The owner could not do what was asked.
    """


class CommitNotAppliedError(OwnerError):
    """
    The group commit was certainly not applied.
    """


class CommitUnknownError(OwnerError):
    """
    The group commit may or may not have been applied.
    """


class ShardClosedError(OwnerError):
    """
    This process no longer owns the shard or hands it over.
    """
