"""
The shared table as owners and the entry see it.
"""

from collections.abc import Sequence

from hawthornpier.messages import Resources
from hawthornpier.policy import WorkloadLimits
from hawthornpier.table import VersionedTable, WorkloadClass, WorkloadRow


class TableCatalog:
    """
    Looks services up in the table's rows in force.
    """

    def __init__(self, table: VersionedTable) -> None:
        self._table = table

    def demand(self, member: str, service: str) -> Resources:
        """
        Return what one request of the service occupies.

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
        Tell whether a request may be repeated without a key.

        Raises:
            KeyError: The table has no such service.
        """
        return self._service(member, service).is_idempotent

    def deadline_ms(self, member: str, service: str) -> int | None:
        """
        Return the service's own deadline, if the table sets one.

        Raises:
            KeyError: The table has no such service.
        """
        return self._service(member, service).deadline_ms

    def limits(self) -> Sequence[WorkloadLimits]:
        """
        Return the weights and limits in force.
        """
        return self._table.limits()

    def _service(self, member: str, service: str) -> WorkloadRow:
        row = self._table.workload(member, service)
        if row is None or row.workload_class is not WorkloadClass.SERVICE:
            raise KeyError(service)
        return row
