"""
Errors of the fleet scheduler.
"""

import traceback

from hawthornpier.errors import HawthornpierError


class FleetError(HawthornpierError):
    """
    Base class of the errors of the fleet scheduler.
    """


class HistoryGoneError(FleetError):
    """
    The store no longer has all changes since the requested version.
    """


class ShardLostError(FleetError):
    """
    Another process has claimed the shard, so this one must stop writing.
    """


class NotStoredError(FleetError):
    """
    A request had no effect and never will have one.

    Either it was not stored, or the requested state or count is not available.
    """


class JobRejectedError(NotStoredError):
    """
    The store does not accept a job, and repeating the request is useless.
    """


class OutcomeUnknownError(FleetError):
    """
    A request may or may not have been stored; it is safe to repeat it.
    """


class UnknownJobError(FleetError):
    """
    No job with the requested id exists.
    """


def error_text(error: BaseException) -> str:
    """
    Return the traceback of an unexpected error, for the log.
    """
    return ''.join(traceback.format_exception(error))
