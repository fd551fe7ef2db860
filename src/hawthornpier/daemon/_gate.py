"""
Admission by owners whose workers check no epochs.
"""

from collections.abc import Callable

from hawthornpier.owner import AdmissionGate


class LeaseGate:
    """
    Admits work only under a valid lease.

    Workers with guards refuse a deposed owner by themselves; without guards
    the lease is all that keeps two owners apart.
    """

    def __init__(
        self,
        confirmation: AdmissionGate,
        holds_lease: Callable[[], bool],
    ) -> None:
        self._confirmation = confirmation
        self._holds_lease = holds_lease

    def may_admit(self) -> bool:
        """
        Return False without a lease or a confirmed table version.
        """
        return self._holds_lease() and self._confirmation.may_admit()
