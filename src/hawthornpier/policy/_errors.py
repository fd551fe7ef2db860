"""
Errors that the scheduling policy raises.
"""

from hawthornpier.errors import HawthornpierError


class PolicyError(HawthornpierError):
    """
    A call to the scheduler contradicts its recorded state.
    """


class OvercommitError(PolicyError):
    """
    A demand exceeds the free resources of the worker, or the worker is closed.
    """


class InvalidDemandError(PolicyError):
    """
    A demand has a negative amount, or a charge includes no slot.
    """


class DuplicateChargeError(PolicyError):
    """
    The task or request is already charged to a worker.
    """


class UnknownWorkerError(PolicyError):
    """
    The worker was never added or has been removed.
    """
