"""
Batched writes of a shard's state to the store.

The changed progress of several jobs is written in one transaction.
"""

import asyncio

import msgspec

from hawthornpier.fleet._commit_batch import Batch, BatchBuilder
from hawthornpier.fleet._divided_rows import row_owner
from hawthornpier.fleet._durable_ends import DurableEnds
from hawthornpier.fleet._errors import ShardLostError
from hawthornpier.fleet._interference import EffectRow
from hawthornpier.fleet._rejected_rows import RejectedRows
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._timings import OwnershipTimings
from hawthornpier.fleet._worker_rows import WORKERS_KEY, RecordedWorkers
from hawthornpier.fleet._writer import (
    PROGRESS_TABLE,
    Release,
    RowKey,
    ShardWriter,
)
from hawthornpier.ports import StoreError, StoreRejectedError
from hawthornpier.steps import encode_phase

# The workers that may have runs, and the learned effects of images on each
# other; the next owner loads both.
FLEET_TABLE = 'fleet'
EFFECTS_KEY = 'effects'
# Minimum interval between two writes of the learned effects.
_EFFECTS_INTERVAL_MS = 2_000
# Maximum number of removals in one transaction.
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
        self.recorded_workers = RecordedWorkers(shard)
        self._shard = shard
        self._writer = writer
        self._timings = timings
        # Each batch is built from what the one before has left unwritten.
        self._lock = asyncio.Lock()
        self._durable_ends = DurableEnds(shard)
        self._rejected = RejectedRows(shard)
        self._retry_ms: float = timings.retry_min_ms
        self._effects_written_ms = shard.now_ms

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

    async def keep_claim(self, limit_ms: float) -> None:
        """
        Renew the lease and write nothing else, until cancelled.

        Args:
            limit_ms: After this time, the lease is left to expire.

        Raises:
            ShardLostError: Another process owns the shard.
        """
        end_ms = self._shard.now_ms + limit_ms
        while self._shard.now_ms < end_ms:
            await self._shard.clock.sleep_ms(self._timings.commit_interval_ms)
            if not self._writer.is_renewal_due:
                continue
            sent = self._shard.permits.writes.mark()
            try:
                await self._writer.write({})
            except StoreError:
                await self._shard.clock.sleep_ms(self._timings.retry_max_ms)
            else:
                self._shard.permits.writes.confirm(sent)

    async def write_all(self, release: Release) -> None:
        """
        Write all remaining progress and release the shard.

        Progress that the store does not accept is left out.

        Args:
            release: How to release the shard.

        Raises:
            ShardLostError: Another process owns the shard.
            StoreError: A write was not applied, or it is unknown whether it
                was.
        """
        async with self._lock:
            while self._rejected.writable_jobs():
                await self._write_batch()
            await self._writer.write({}, release=release)

    async def give_back(self) -> None:
        """
        Release a shard that could not be loaded, so that others may claim it.
        """
        try:
            await self._writer.write({}, release=Release())
        except (StoreError, ShardLostError) as error:
            self._shard.log.record('release_failed', why=repr(error))

    def _is_write_due(self) -> bool:
        return (
            bool(self._rejected.writable_jobs())
            or self._writer.is_renewal_due
            or bool(self.recorded_workers.changed())
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
        async with self._lock:
            await self._write_batch()

    async def _write_batch(self) -> None:
        """
        Write one batch.

        If the store rejects it, renew the lease without it.
        """
        shard = self._shard
        batch = self._build_batch()
        shard.dirty.difference_update(batch.job_ids)
        shard.writing.update(batch.job_ids)
        sent = shard.permits.writes.mark()
        self.recorded_workers.forget(_rows_of_workers(batch))
        try:
            await self._writer.write(batch.writes, batch.removals)
        except StoreError as error:
            # Jobs may have been removed meanwhile.
            shard.dirty.update(filter(shard.jobs.__contains__, batch.job_ids))
            for job_id, contents in batch.progress.items():
                if job_id in shard.jobs:
                    shard.progress_rows(job_id).forget(contents)
            if not isinstance(error, StoreRejectedError):
                raise
            await self._writer.write({})
            self._rejected.add(batch, str(error))
        else:
            self._confirm(batch)
            self._rejected.record_success(batch)
        shard.permits.writes.confirm(sent)

    def _build_batch(self) -> Batch:
        shard = self._shard
        self._durable_ends.collect()
        builder = BatchBuilder(shard, row_limit=self._rejected.row_limit)
        is_reduced = self._rejected.is_batch_reduced
        for worker_key, content in self.recorded_workers.changed():
            if not self._rejected.is_held(worker_key):
                builder.add_row((FLEET_TABLE, worker_key), content)
        if shard.now_ms - self._effects_written_ms >= _EFFECTS_INTERVAL_MS:
            self._effects_written_ms = shard.now_ms
            builder.add_row(
                (FLEET_TABLE, EFFECTS_KEY),
                _encode_effects(shard.interference.export(), shard.row_bytes),
            )
        for job_id in self._rejected.writable_jobs():
            if self._rejected.is_given_up(job_id):
                rows = [(job_id, encode_phase(shard.jobs[job_id]))]
            else:
                rows = shard.changed_progress(job_id)
            if not builder.add_progress(job_id, rows):
                break
        removals: tuple[RowKey, ...] = ()
        if not is_reduced:
            removals = tuple(
                (PROGRESS_TABLE, key)
                for key in shard.removed_rows[:_REMOVAL_COUNT_MAX]
            )
        return builder.build(removals)

    def _confirm(self, batch: Batch) -> None:
        shard = self._shard
        shard.writing.clear()
        for job_id, contents in batch.progress.items():
            if job_id in shard.jobs:
                shard.progress_rows(job_id).confirm(contents)
        self.recorded_workers.confirm(_rows_of_workers(batch))
        del shard.removed_rows[: len(batch.removals)]
        for job in batch.ended_jobs:
            job.is_stored = True
        self._durable_ends.confirm(batch.job_ids)


def _rows_of_workers(batch: Batch) -> dict[str, bytes]:
    return {
        key: content
        for key, content in batch.rows_of(FLEET_TABLE).items()
        if row_owner(key) == WORKERS_KEY
    }


def _encode_effects(effects: list[EffectRow], max_bytes: int) -> bytes:
    """
    Encode the learned effects, leaving out the weakest if they are too many.
    """
    content = msgspec.json.encode(effects)
    strongest = sorted(effects, key=_mean_effect, reverse=True)
    while len(content) > max_bytes:
        strongest = strongest[: len(strongest) * 3 // 4]
        content = msgspec.json.encode(strongest)
    return content


def _mean_effect(row: EffectRow) -> float:
    return abs(row[2])
