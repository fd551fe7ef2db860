"""
Errors that the scheduling policy raises.
"""

from hawthornpier.errors import HawthornpierError


class PolicyError(HawthornpierError):
    """
    A call to the scheduler contradicts what it was told before.
    """


class OvercommitError(PolicyError):
    """
    A charge exceeds what the worker has free.
    """


class InvalidDemandError(PolicyError):
    """
    A demand is negative in some dimension or does not occupy a slot.
    """


class DuplicateChargeError(PolicyError):
    """
    The task or request already occupies a worker.
    """


class UnknownWorkerError(PolicyError):
    """
    The worker was never added or has been removed.
    """
