"""
Interfaces that a process implements for the owners of its shards.
"""

from collections.abc import Sequence
from typing import Protocol

from hawthornpier.messages import Resources, RowPut
from hawthornpier.policy import WorkloadLimits


class Committer(Protocol):
    """
    Commits durable writes on condition that this process owns the shard.
    """

    async def commit(
        self,
        puts: Sequence[RowPut],
        deletes: Sequence[str] = (),
        *,
        timeout_ms: int,
    ) -> None:
        """
        Apply the writes and deletions in one transaction.

        Raises:
            CommitNotAppliedError: Nothing was applied.
            CommitUnknownError: It is unknown whether the commit was applied.
            ShardClosedError: Another process owns the shard.
        """
        ...


class ServiceCatalog(Protocol):
    """
    Read access to the services and limits in the shared table.
    """

    def demand(self, member: str, service: str) -> Resources:
        """
        Return the resources that one request of the service occupies.

        Raises:
            KeyError: The table has no such service.
        """
        ...

    def is_idempotent(self, member: str, service: str) -> bool:
        """
        Return whether requests may be retried without an idempotency key.

        Raises:
            KeyError: The table has no such service.
        """
        ...

    def limits(self, shard: str) -> Sequence[WorkloadLimits]:
        """
        Return the weights in force and the shard's share of each limit.
        """
        ...


class AdmissionGate(Protocol):
    """
    Decides whether this process may admit new work.
    """

    def may_admit(self) -> bool:
        """
        Return False while the table version is not confirmed.
        """
        ...
