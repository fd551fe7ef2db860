"""
Isolation of rows that the store does not accept.
"""

from dataclasses import dataclass

from hawthornpier.fleet._commit_batch import ROW_COUNT_MAX, Batch
from hawthornpier.fleet._divided_rows import row_owner
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._writer import PROGRESS_TABLE

# A row that was rejected by itself is not written again before this time.
_HOLD_MS = 1_000.0
# A job ends as failed once the store has rejected its progress this often.
_MAX_REJECTIONS = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class _Rejection:
    """
    How often the rows of a value were rejected, and until when it is held.
    """

    count: int = 0
    held_until_ms: float = 0


class RejectedRows:
    """
    Finds the rows that the store rejects, so that the others are written.

    The batches are halved until the rejected row is written by itself.  Then
    the job that it belongs to is held back and, if that is repeated, given up:
    only its end is stored from then on.

    Args:
        shard: The shard whose state is written.
    """

    def __init__(self, shard: Shard) -> None:
        self.row_limit = ROW_COUNT_MAX
        self._shard = shard
        # By job, or by key for rows that belong to no job.
        self._rejections: dict[str, _Rejection] = {}

    @property
    def is_batch_reduced(self) -> bool:
        """
        Return whether a rejected row is being searched for.
        """
        return self.row_limit < ROW_COUNT_MAX

    def writable_jobs(self) -> list[str]:
        """
        Return the jobs with changes that are not held back, oldest first.
        """
        return [
            job_id for job_id in self._shard.dirty if not self.is_held(job_id)
        ]

    def is_held(self, name: str) -> bool:
        """
        Return whether a job, or a row of no job, is not to be written yet.
        """
        rejection = self._rejections.get(name)
        if rejection is None:
            return False
        return self._shard.now_ms < rejection.held_until_ms

    def is_given_up(self, job_id: str) -> bool:
        """
        Return whether only the end of a job is to be stored.
        """
        rejection = self._rejections.get(job_id)
        return rejection is not None and rejection.count >= _MAX_REJECTIONS

    def add(self, batch: Batch, why: str) -> None:
        """
        Record that the store has rejected a batch.

        Args:
            batch: The batch.
            why: The store's reason, for the log.
        """
        if len(batch.writes) != 1:
            self.row_limit = max(1, len(batch.writes) // 2)
            return
        for (table, key), content in batch.writes.items():
            name = row_owner(key) if table == PROGRESS_TABLE else key
            count = self._hold(name)
            self._shard.log.record(
                'row_rejected',
                table=table,
                key=key,
                count=count,
                bytes=len(content),
                why=why,
            )
            if table == PROGRESS_TABLE:
                self._give_up_if_due(name, count)

    def record_success(self, batch: Batch) -> None:
        """
        Record that the store has accepted a batch.
        """
        self.row_limit = min(ROW_COUNT_MAX, self.row_limit * 2)
        for job_id in batch.job_ids:
            if not self.is_given_up(job_id):
                self._rejections.pop(job_id, None)

    def _hold(self, name: str) -> int:
        earlier = self._rejections.get(name, _Rejection())
        self._rejections[name] = _Rejection(
            count=earlier.count + 1,
            held_until_ms=self._shard.now_ms + _HOLD_MS,
        )
        return earlier.count + 1

    def _give_up_if_due(self, job_id: str, rejection_count: int) -> None:
        if job_id not in self._shard.jobs:
            return
        if rejection_count == _MAX_REJECTIONS:
            self._shard.log.record('job_given_up', job=job_id)
            self._shard.fail_job(job_id)
        elif rejection_count > _MAX_REJECTIONS:
            # Not even its end can be stored.
            self._shard.dirty.discard(job_id)
