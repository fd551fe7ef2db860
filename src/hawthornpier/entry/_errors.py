"""
Errors of the entry layer.
"""

from hawthornpier.errors import HawthornpierError


class EntryError(HawthornpierError):
    """
    A request of a caller or an operator failed.
    """


class KeyRequiredError(EntryError):
    """
    A request to a non-idempotent service has no idempotency key.
    """


class UnknownServiceError(EntryError):
    """
    The table has no such service.
    """


class JobNotAcceptedError(EntryError):
    """
    No part of the job was accepted.
    """


class JobOutcomeUnknownError(EntryError):
    """
    The job, or a part of it, may have been accepted.

    Submitting the job again with the same id is safe and yields the outcome.
    """
