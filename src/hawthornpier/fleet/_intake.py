"""
Rows of the store for accepted jobs and cancellations.

The row of a job is written once, with the job's id as its key; a cancellation
is a separate row in the same partition, and may precede that of the job.  Any
entry process writes these rows, and the owner of the shard reads them.  They
are distributed over several partitions of the store, because the store applies
the transactions of one partition one after another, and a slow store applies
only a few per second.
"""

import collections
import zlib
from collections.abc import Mapping, Sequence

from hawthornpier.events import DecisionLog
from hawthornpier.fleet._divided_rows import row_owner
from hawthornpier.fleet._errors import HistoryGoneError
from hawthornpier.fleet._ports import (
    RecordStore,
    RowPage,
    RowTransaction,
    StoredRow,
)
from hawthornpier.fleet._row_pages import read_changes, read_partitions
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._writer import INTAKE_TABLE, PROGRESS_TABLE
from hawthornpier.steps import RecordError, decode_plan

_CANCEL_SUFFIX = '.cancel'
# Sorts after all other suffixes of a job's row keys.
_END_SUFFIX = '~'


_PARTITION_COUNT = 16


def intake_partition(shard: str, job_id: str) -> str:
    """
    Return the partition of the store that contains the rows of a job.
    """
    return f'{shard}.{zlib.crc32(job_id.encode()) % _PARTITION_COUNT}'


def cancel_key(job_id: str) -> str:
    """
    Return the key of the row that records the cancellation of a job.
    """
    return f'{job_id}{_CANCEL_SUFFIX}'


def end_key(job_id: str) -> str:
    """
    Return the exclusive upper bound of the row keys of a job.
    """
    return f'{job_id}{_END_SUFFIX}'


class Intake:
    """
    Adds the jobs and cancellations in the store to the owner's shard.
    """

    def __init__(
        self,
        store: RecordStore,
        shard: Shard,
        log: DecisionLog,
    ) -> None:
        self._store = store
        self._shard = shard
        self._log = log
        self._version = 0
        # By job that was removed since the last read began: the version of the
        # store with which it was.
        self._removal_versions: dict[str, int] = {}

    async def load(self) -> None:
        """
        Read all jobs and cancellations, and the progress of the jobs.

        Raises:
            StoreError: The rows could not be read.
        """
        progress, *pages = await read_partitions(
            self._store,
            [(PROGRESS_TABLE, self._shard.name), *self._partitions()],
        )
        page = _joined(pages)
        stored: dict[str, list[StoredRow]] = collections.defaultdict(list)
        for progress_row in progress.rows:
            stored[row_owner(progress_row.key)].append(progress_row)
        for row in page.rows:
            self._apply_row(row, stored, is_from_earlier_epoch=True)
        self._version = page.version

    async def apply_changes(self, wait_ms: int) -> None:
        """
        Read the changes since the last call once, and apply them.

        Args:
            wait_ms: How long the store may wait if there are no changes.

        Raises:
            StoreError: The changes could not be read.
        """
        requested_ms = self._shard.now_ms
        self._removal_versions.clear()
        try:
            page = await read_changes(
                self._store,
                INTAKE_TABLE,
                after_version=self._version,
                wait_ms=wait_ms,
            )
        except HistoryGoneError:
            page = await self._read_all_partitions()
        partition_prefix = f'{self._shard.name}.'
        for row in page.rows:
            if row.part.startswith(partition_prefix) and self._exists(row):
                self._apply_row(row, {})
        self._version = page.version
        if not page.has_more:
            self._shard.jobs_read_ms = requested_ms

    async def remove(self, job_id: str) -> None:
        """
        Delete the rows of a job that has ended.

        Raises:
            StoreError: The rows may not have been deleted.
        """
        keys = (
            (INTAKE_TABLE, job_id),
            (INTAKE_TABLE, cancel_key(job_id)),
        )
        outcome = await self._store.transact(
            RowTransaction(
                part=intake_partition(self._shard.name, job_id),
                expected={},
                writes={},
                removals=keys,
            ),
        )
        self._removal_versions[job_id] = outcome.version

    async def remove_cancellation(self, job_id: str) -> bool:
        """
        Delete the cancellation of a job that has never appeared.

        Returns:
            Whether it was deleted; if not, the job has appeared meanwhile.

        Raises:
            StoreError: The row may not have been deleted.
        """
        outcome = await self._store.transact(
            RowTransaction(
                part=intake_partition(self._shard.name, job_id),
                expected={(INTAKE_TABLE, job_id): 0},
                writes={},
                removals=((INTAKE_TABLE, cancel_key(job_id)),),
            ),
        )
        return outcome.is_applied

    async def _read_all_partitions(self) -> RowPage:
        return _joined(await read_partitions(self._store, self._partitions()))

    def _partitions(self) -> list[tuple[str, str]]:
        return [
            (INTAKE_TABLE, f'{self._shard.name}.{number}')
            for number in range(_PARTITION_COUNT)
        ]

    def _exists(self, row: StoredRow) -> bool:
        """
        Return whether a row was not removed, also not since it was read.
        """
        job_id = row.key.removesuffix(_CANCEL_SUFFIX)
        removal_version = self._removal_versions.get(job_id, 0)
        return not row.is_deleted and row.version > removal_version

    def _apply_row(
        self,
        row: StoredRow,
        progress: Mapping[str, Sequence[StoredRow]],
        *,
        is_from_earlier_epoch: bool = False,
    ) -> None:
        if row.key.endswith(_CANCEL_SUFFIX):
            self._shard.cancel_job(row.key.removesuffix(_CANCEL_SUFFIX))
            return
        if row.key in self._shard.jobs:
            return
        try:
            self._shard.add_job(
                decode_plan(row.content),
                progress=progress.get(row.key, ()),
                is_from_earlier_epoch=is_from_earlier_epoch,
            )
        except RecordError as error:
            self._log.record('job_row_unreadable', key=row.key, why=str(error))


def _joined(pages: Sequence[RowPage]) -> RowPage:
    """
    Return the rows of all partitions, with the version of the oldest read.
    """
    return RowPage(
        rows=tuple(row for page in pages for row in page.rows),
        version=min(page.version for page in pages),
        store_ms=pages[0].store_ms,
    )
