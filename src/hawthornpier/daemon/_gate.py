"""
Admission on platforms whose workers do not check epochs.
"""

from collections.abc import Callable

from hawthornpier.owner import AdmissionGate


class LeaseGate:
    """
    Admits work only while the process lease is valid.

    Workers that check epochs reject commands of a deposed owner (fencing).
    Where workers do not, only the lease prevents two owners of a shard from
    starting work at the same time.

    Args:
        confirmation: Decides whether the table is recent enough.
        holds_lease: Returns whether this process still owns the shard under a
            valid lease.
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
        Return whether the lease is valid and the table version confirmed.
        """
        return self._holds_lease() and self._confirmation.may_admit()
