"""
What a shard's owner needs from the process around it.
"""

from collections.abc import Sequence
from typing import Protocol

from hawthornpier.messages import Resources, RowPut
from hawthornpier.policy import WorkloadLimits


class Committer(Protocol):
    """
    Durable writes that apply only while this process owns the shard.
    """

    async def commit(
        self,
        puts: Sequence[RowPut],
        deletes: Sequence[str] = (),
        *,
        timeout_ms: int,
    ) -> None:
        """
        Apply the writes.

        Raises:
            CommitNotAppliedError: Nothing was applied.
            CommitUnknownError: The writes may have been applied.
            ShardClosedError: Another process owns the shard.
        """
        ...


class ServiceCatalog(Protocol):
    """
    What the shared table says of workloads.
    """

    def demand(self, member: str, service: str) -> Resources:
        """
        Return what one request of the service occupies.

        Raises:
            KeyError: The table has no such service.
        """
        ...

    def is_idempotent(self, member: str, service: str) -> bool:
        """
        Tell whether a request may be repeated without a key.

        Raises:
            KeyError: The table has no such service.
        """
        ...

    def limits(self, shard: str) -> Sequence[WorkloadLimits]:
        """
        Return the weights and the shard's shares of the limits in force.
        """
        ...


class AdmissionGate(Protocol):
    """
    Tells whether this process may admit new work.
    """

    def may_admit(self) -> bool:
        """
        Return False while the table version is not confirmed.
        """
        ...
