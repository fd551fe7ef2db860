"""
Errors of the entry.
"""

from hawthornpier.errors import HawthornpierError


class EntryError(HawthornpierError):
    """
    A call of a caller or an operator was not carried out.
    """


class KeyRequiredError(EntryError):
    """
    A non-idempotent service was called without an idempotency key.
    """


class UnknownServiceError(EntryError):
    """
    The table has no such service.
    """


class JobNotAcceptedError(EntryError):
    """
    The job was certainly not accepted.
    """


class JobOutcomeUnknownError(EntryError):
    """
    The job may have been accepted: ask again with the same id.
    """
