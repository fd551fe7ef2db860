"""
Read access of shard owners and of the entry to the shared table.
"""

from collections.abc import Sequence

from hawthornpier.daemon._quota import limits_of_shard
from hawthornpier.messages import Resources
from hawthornpier.policy import WorkloadLimits
from hawthornpier.table import VersionedTable, WorkloadClass, WorkloadRow


class TableCatalog:
    """
    Looks up services and limits in the table version that this process has.

    Args:
        table: The table of this process.
        shards: All shards, among which limits are divided.
    """

    def __init__(self, table: VersionedTable, shards: Sequence[str]) -> None:
        self._table = table
        self._shards = tuple(sorted(shards))

    def demand(self, member: str, service: str) -> Resources:
        """
        Return the resources that one request of the service occupies.

        Raises:
            KeyError: The table has no such service.
        """
        row = self._service(member, service)
        return Resources(
            processor_millis=row.processor_millis,
            memory_bytes=row.memory_bytes,
            slot_count=1,
        )

    def is_idempotent(self, member: str, service: str) -> bool:
        """
        Return whether a request may be sent again without a key.

        Raises:
            KeyError: The table has no such service.
        """
        return self._service(member, service).is_idempotent

    def deadline_ms(self, member: str, service: str) -> int | None:
        """
        Return the service's default deadline, or None if the table has none.

        Raises:
            KeyError: The table has no such service.
        """
        return self._service(member, service).deadline_ms

    def limits(self, shard: str) -> Sequence[WorkloadLimits]:
        """
        Return the weights and the shard's shares of the table's limits.
        """
        return limits_of_shard(
            self._table.limits(),
            shard=shard,
            shards=self._shards,
        )

    def usable_shards(self, member: str, workload: str) -> tuple[str, ...]:
        """
        Return the shards whose shares of the limits allow tasks to run.

        If no shard has a share, this returns all shards, so that the job is
        accepted and waits until the limits change.
        """
        usable = tuple(
            shard
            for shard in self._shards
            if self._has_share(member, workload, shard)
        )
        return usable or self._shards

    def _has_share(self, member: str, workload: str, shard: str) -> bool:
        shares = [
            row.max_running_count
            for row in self.limits(shard)
            if row.member == member and row.name in {member, workload}
        ]
        return 0 not in shares

    def _service(self, member: str, service: str) -> WorkloadRow:
        row = self._table.workload(member, service)
        if row is None or row.workload_class is not WorkloadClass.SERVICE:
            raise KeyError(service)
        return row
