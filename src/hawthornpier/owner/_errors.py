"""
Errors raised by a shard's owner.
"""

from hawthornpier.errors import HawthornpierError


class OwnerError(HawthornpierError):
    """
    The base class of errors raised by a shard's owner.
    """


class CommitNotAppliedError(OwnerError):
    """
    The commit was definitely not applied.
    """


class CommitUnknownError(OwnerError):
    """
    It is unknown whether the commit was applied.
    """


class ShardClosedError(OwnerError):
    """
    The shard accepts no work in this process.

    The process has lost the shard, is handing it over, or may admit no work
    because its table version is not confirmed or has no such service.
    """


class UnreadableRecordError(OwnerError):
    """
    A row with a record of the shard cannot be decoded.
    """
