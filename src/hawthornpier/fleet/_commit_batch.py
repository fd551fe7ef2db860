"""
The rows that an owner writes to the store in one transaction.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._writer import PROGRESS_TABLE, RowKey
from hawthornpier.steps import Job

# Maximum number of rows in one transaction.  Together with removals and the
# rows of the lease they stay below the store's limit of 100 entries.
ROW_COUNT_MAX = 80
# Maximum size of their contents.  In base64, and with their keys, they stay
# below the store's limit of 1 MB for a transaction.
_CONTENT_BYTES_MAX = 600_000


@dataclass(frozen=True, slots=True, kw_only=True)
class Batch:
    """
    The rows of one transaction, and what is durable once it is applied.

    Rows of *progress* are by job and key.  All changes of the jobs in
    *job_ids* are in the batch.
    """

    writes: dict[RowKey, bytes]
    removals: tuple[RowKey, ...]
    progress: dict[str, dict[str, bytes]]
    job_ids: tuple[str, ...]
    ended_jobs: tuple[Job, ...]

    def rows_of(self, table: str) -> dict[str, bytes]:
        """
        Return the contents of the rows in a table, by key.
        """
        return {
            key: content
            for (row_table, key), content in self.writes.items()
            if row_table == table
        }


class BatchBuilder:
    """
    Collects rows up to the limits of a transaction.

    Args:
        shard: The shard whose state is written.
        row_limit: The maximum number of rows.
    """

    def __init__(self, shard: Shard, *, row_limit: int) -> None:
        self._shard = shard
        self._row_limit = row_limit
        self._bytes = 0
        self._writes: dict[RowKey, bytes] = {}
        self._progress: dict[str, dict[str, bytes]] = {}
        self._job_ids: list[str] = []

    def add_row(self, key: RowKey, content: bytes) -> bool:
        """
        Add a row if the limits allow it, and return whether they do.
        """
        is_first = not self._writes
        size = self._bytes + len(content)
        if len(self._writes) >= self._row_limit:
            return False
        if size > _CONTENT_BYTES_MAX and not is_first:
            return False
        self._writes[key] = content
        self._bytes = size
        return True

    def add_progress(
        self, job_id: str, rows: Sequence[tuple[str, bytes]]
    ) -> bool:
        """
        Add as many rows of a job's progress as fit, in their order.

        Returns:
            Whether all of them fit.
        """
        for key, content in rows:
            if not self.add_row((PROGRESS_TABLE, key), content):
                return False
            self._progress.setdefault(job_id, {})[key] = content
        self._job_ids.append(job_id)
        return True

    def build(self, removals: tuple[RowKey, ...]) -> Batch:
        """
        Return the batch with all rows that have been added.
        """
        jobs = [self._shard.jobs[job_id] for job_id in self._job_ids]
        return Batch(
            writes=self._writes,
            removals=removals,
            progress=self._progress,
            job_ids=tuple(self._job_ids),
            ended_jobs=tuple(job for job in jobs if job.end_phase is not None),
        )
