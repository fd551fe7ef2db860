"""
Batched writes of a shard's state to the store.

The changed progress of several jobs is written in one transaction.
"""

import msgspec

from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._timings import OwnershipTimings
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.fleet._writer import (
    PROGRESS_TABLE,
    RowKey,
    ShardWriter,
)
from hawthornpier.ports import StoreError
from hawthornpier.steps import encode_progress

# The workers that may have runs, and the learned effects of images on each
# other; the next owner loads both.
FLEET_TABLE = 'fleet'
FLEET_KEY: RowKey = (FLEET_TABLE, 'workers')
EFFECTS_KEY: RowKey = (FLEET_TABLE, 'effects')
# Minimum interval between two writes of the learned effects.
_EFFECTS_INTERVAL_MS = 2_000

# Maximum numbers of progress rows and of removals in one transaction.  Together
# with the other rows they stay below the store's limit of 100 entries.
_ROW_COUNT_MAX = 80
_REMOVAL_COUNT_MAX = 10


class Committer:
    """
    Writes the changes of a shard's state to the store.

    Args:
        shard: The shard whose state is written.
        writer: Writes to the shard's partition.
        timings: Durations concerning ownership.
    """

    def __init__(
        self,
        shard: Shard,
        writer: ShardWriter,
        *,
        timings: OwnershipTimings,
    ) -> None:
        self._shard = shard
        self._writer = writer
        self._timings = timings
        self._retry_ms: float = timings.retry_min_ms
        self._stored_fleet = b''
        self._effects_written_ms = shard.now_ms

    def restore_fleet_row(self, fleet: bytes) -> None:
        """
        Set the list of workers that the store has from the previous owner.

        Args:
            fleet: The encoded list.
        """
        self._stored_fleet = fleet
        self._mark_recorded_workers(fleet)

    async def run(self) -> None:
        """
        Write changes, and renew the lease, until cancelled.

        Raises:
            ShardLostError: Another process owns the shard.
        """
        shard = self._shard
        while True:
            await self._shard.clock.sleep_ms(self._timings.commit_interval_ms)
            if not shard.permits.writes.is_valid or self._is_write_due():
                await self._try_write()

    async def write_all(self) -> None:
        """
        Write all remaining progress and release the shard.

        Raises:
            ShardLostError: Another process owns the shard.
            StoreError: A write was not applied, or it is unknown whether it
                was.
        """
        while self._shard.dirty:
            await self._write()
        await self._writer.write({}, is_release=True)

    def _is_write_due(self) -> bool:
        return (
            bool(self._shard.dirty)
            or self._writer.is_renewal_due
            or self._fleet_row() != self._stored_fleet
            or any(
                worker.processed_number > worker.acknowledged_number
                for worker in self._shard.workers.values()
            )
        )

    async def _try_write(self) -> None:
        try:
            await self._write()
        except StoreError as error:
            if self._retry_ms == self._timings.retry_min_ms:
                self._shard.log.record('store_lost', why=str(error))
            await self._shard.clock.sleep_ms(self._retry_ms)
            self._retry_ms = min(self._retry_ms * 2, self._timings.retry_max_ms)
        else:
            if self._retry_ms != self._timings.retry_min_ms:
                self._shard.log.record('store_regained')
            self._retry_ms = self._timings.retry_min_ms

    async def _write(self) -> None:
        shard = self._shard
        job_ids = sorted(shard.dirty)[:_ROW_COUNT_MAX]
        is_complete = len(job_ids) == len(shard.dirty)
        processed_numbers = {
            worker: (worker.entry.incarnation_ms, worker.processed_number)
            for worker in shard.workers.values()
        }
        ended = [
            shard.jobs[job_id]
            for job_id in job_ids
            if shard.jobs[job_id].end_phase is not None
        ]
        writes: dict[RowKey, bytes] = {
            (PROGRESS_TABLE, job_id): encode_progress(shard.jobs[job_id])
            for job_id in job_ids
        }
        fleet = self._fleet_row()
        if fleet != self._stored_fleet:
            writes[FLEET_KEY] = fleet
        if shard.now_ms - self._effects_written_ms >= _EFFECTS_INTERVAL_MS:
            self._effects_written_ms = shard.now_ms
            writes[EFFECTS_KEY] = msgspec.json.encode(
                shard.interference.export(),
            )
        shard.dirty.difference_update(job_ids)
        shard.writing.update(job_ids)
        removals = tuple(
            (PROGRESS_TABLE, job_id)
            for job_id in shard.removed_jobs[:_REMOVAL_COUNT_MAX]
        )
        sent = shard.permits.writes.mark()
        try:
            await self._writer.write(writes, removals)
        except StoreError:
            shard.dirty.update(job_ids)
            raise
        shard.permits.writes.confirm(sent)
        shard.writing.clear()
        if fleet != self._stored_fleet:
            self._stored_fleet = fleet
            self._mark_recorded_workers(fleet)
        del shard.removed_jobs[: len(removals)]
        for job in ended:
            job.is_stored = True
        if is_complete:
            self._acknowledge(processed_numbers)

    def _acknowledge(
        self, processed_numbers: dict[WorkerState, tuple[int, int]]
    ) -> None:
        """
        Let the next renewals acknowledge the ended runs that are now durable.

        Args:
            processed_numbers: By worker, its incarnation and the number of the
                last ended run applied, both as of the start of the write.
        """
        for worker in self._shard.workers.values():
            incarnation_ms, number = processed_numbers.get(worker, (0, 0))
            is_newer = number > worker.acknowledged_number
            if worker.entry.incarnation_ms == incarnation_ms and is_newer:
                worker.acknowledged_number = number
                worker.acknowledged.set()

    def _fleet_row(self) -> bytes:
        """
        Return the encoded list of workers that may have runs.

        The next owner connects to these workers even if they are missing from
        the registry.
        """
        entries = [
            worker.entry
            for worker in self._shard.workers.values()
            if self._may_have_runs(worker)
        ]
        rows = [
            (
                entry.worker_id,
                entry.address,
                entry.service,
                entry.incarnation_ms,
            )
            for entry in entries
        ]
        return msgspec.json.encode(sorted(rows))

    def _may_have_runs(self, worker: WorkerState) -> bool:
        """
        Return whether a worker may have runs now or be given any.

        A worker that has not listed its runs to this owner may have runs of
        the previous owner.  A worker without runs that is leaving is given no
        more.
        """
        if worker.runs or worker.worker_id in self._shard.unlisted_tasks:
            return True
        return worker.is_listed and not worker.is_leaving

    def _mark_recorded_workers(self, fleet: bytes) -> None:
        recorded = {row[0] for row in msgspec.json.decode(fleet)}
        for worker in self._shard.workers.values():
            worker.is_recorded = worker.worker_id in recorded
        self._shard.wake.set()
