"""
The owner process of a shard: loads, schedules and hands over the shard.
"""

import asyncio
import functools
from typing import TypeVar

from hawthornpier.decoding import DecodingError, decode_json
from hawthornpier.fleet._claim_check import Claimants, ClaimCheck
from hawthornpier.fleet._commits import (
    EFFECTS_KEY,
    FLEET_TABLE,
    Committer,
)
from hawthornpier.fleet._context import FleetContext
from hawthornpier.fleet._crashes import (
    presume_missing_workers_crashed,
    restore_suspicions,
)
from hawthornpier.fleet._divided_rows import row_owner
from hawthornpier.fleet._errors import ShardLostError
from hawthornpier.fleet._handover import build_handover, request_handover
from hawthornpier.fleet._intake import Intake
from hawthornpier.fleet._interference import EffectRow
from hawthornpier.fleet._parts import Part, run_part
from hawthornpier.fleet._peer_port import Handover
from hawthornpier.fleet._relay_pool import RelayPool
from hawthornpier.fleet._row_pages import read_all_rows
from hawthornpier.fleet._scheduling_loop import SchedulingLoop
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._withdrawals import withdraw_all_unsent_starts
from hawthornpier.fleet._worker_registry import WorkerRegistry
from hawthornpier.fleet._worker_rows import (
    WORKERS_KEY,
    WorkerRow,
    recorded_entry,
)
from hawthornpier.fleet._writer import Release, ShardWriter
from hawthornpier.ports import StoreError

# Entry processes notify the owner of accepted jobs; polling the store finds
# jobs whose notification was lost.
_INTAKE_POLL_INTERVAL_MS = 400
_RETRY_MS = 150
_EXPIRY_INTERVAL_MS = 5_000
# The claim is kept for this long while the shard is loaded, which may take
# longer than the lease lasts.  Then another process may try.
_LOADING_LIMIT_MS = 20_000.0
# A successor gives the shard back after this time, because the previous owner
# could serve it.
_SUCCESSOR_LOADING_LIMIT_MS = 2_000.0
# Ended jobs stay readable for this multiple of the time that the platform
# requires.
_RETENTION_FACTOR = 1.25


_Rows = TypeVar('_Rows')


class ShardOwner:
    """
    Schedules one shard from its claim until it is lost or handed over.

    Args:
        context: Dependencies and settings of this process.
        writer: Writes to the shard's partition under the claimed epoch.
        relays: Connections to relays; None if this process contacts all
            workers directly.
        claimants: Returns the processes that may have claimed the shard since
            a moment on the monotonic clock, or None if they are not known.
    """

    def __init__(
        self,
        context: FleetContext,
        writer: ShardWriter,
        relays: RelayPool | None = None,
        *,
        claimants: Claimants,
    ) -> None:
        self.shard = Shard(
            writer.shard,
            epoch=writer.epoch,
            clock=context.clock,
            log=context.log,
            bounds=context.bounds,
            claim=writer.permit,
            claim_lease_ms=context.ownership_timings.lease_ms,
        )
        self.is_loaded = False
        self._context = context
        self._relays = relays
        self._predecessor = writer.predecessor
        self._is_successor = writer.is_successor
        self._intake = Intake(context.store, self.shard, context.log)
        self._claim_check = ClaimCheck(self.shard, claimants)
        self._committer = Committer(
            self.shard,
            writer,
            timings=context.ownership_timings,
        )
        self._scheduling = SchedulingLoop(
            self.shard,
            bounds=context.bounds,
            timings=context.worker_timings,
        )

    async def run(self) -> None:
        """
        Load and schedule the shard until another process owns it.
        """
        try:
            async with asyncio.TaskGroup() as group:
                registry = self._open_registry(group)
                group.create_task(run_part(self._scheduling.measure_load))
                renewal = group.create_task(
                    run_part(
                        functools.partial(
                            self._committer.keep_claim, _LOADING_LIMIT_MS
                        )
                    )
                )
                try:
                    await self._load(registry)
                except Exception:
                    await self._committer.give_back()
                    raise
                renewal.cancel()
                for part in self._parts(registry):
                    group.create_task(run_part(part))
                await self.shard.deposed.wait()
                raise ShardLostError(
                    'shard was handed over or a worker rejected the epoch'
                )
        except* ShardLostError as errors:
            self._context.log.record(
                'shard_lost',
                shard=self.shard.name,
                epoch=self.shard.epoch,
                why=str(errors.exceptions[0]),
            )

    async def release(self, release: Release, *, timeout_ms: float) -> bool:
        """
        Write all progress and release the claim before its lease expires.

        No runs are started from then on.

        Args:
            release: How to release the claim.
            timeout_ms: The longest time that this may take.

        Returns:
            Whether the release was written.  If not, another process claims
            the shard once this one reports to it that it has given up the
            shard, or once the lease has expired.
        """
        self.shard.is_draining = True
        try:
            withdraw_all_unsent_starts(self.shard, 'shard is being released')
            async with asyncio.timeout(timeout_ms / 1000):
                await run_part(
                    functools.partial(self._committer.write_all, release)
                )
        except Exception as error:
            # Whatever it is, the process has to answer its callers yet.
            self._context.log.record('release_failed', why=repr(error))
            return False
        return True

    def _open_registry(self, group: asyncio.TaskGroup) -> WorkerRegistry:
        dial = self._relays.dial if self._relays else self._context.dial
        return WorkerRegistry(self.shard, self._context, dial, group)

    def _parts(self, registry: WorkerRegistry) -> list[Part]:
        parts: list[Part] = [
            registry.run,
            functools.partial(
                request_handover,
                self.shard,
                self._predecessor,
                self._context.dial_peer,
            ),
            self._committer.run,
            self._claim_check.run,
            self._scheduling.run,
            self._poll_intake,
            self._remove_expired_jobs,
        ]
        if self._relays is not None:
            relays_run = functools.partial(
                self._relays.run, registry.worker_places
            )
            parts.append(relays_run)
        return parts

    async def _load(self, registry: WorkerRegistry) -> None:
        """
        Load the state from the store and connect to all workers.

        Raises:
            ShardLostError: This process was to take the shard over, and could
                not load it.
        """
        end_ms = self.shard.now_ms + _SUCCESSOR_LOADING_LIMIT_MS
        while not await self._try_load(registry):
            if self._is_successor and self.shard.now_ms >= end_ms:
                raise ShardLostError('the shard could not be loaded')
            await self._context.clock.sleep_ms(_RETRY_MS)
        presume_missing_workers_crashed(self.shard)
        self.is_loaded = True
        self._context.log.record(
            'shard_loaded',
            shard=self.shard.name,
            epoch=self.shard.epoch,
            jobs=len(self.shard.jobs),
            workers=len(self.shard.workers),
        )

    async def _try_load(self, registry: WorkerRegistry) -> bool:
        try:
            # Jobs are loaded before any worker is connected, because workers
            # list ended runs, which are applied to their jobs.
            await self._intake.load()
            await self._load_fleet_rows(registry)
            restore_suspicions(self.shard)
            await registry.read()
        except StoreError as error:
            self._context.log.record('load_failed', why=str(error))
            return False
        return True

    def handover(self) -> Handover | None:
        """
        Return the handover for the next owner.

        Returns:
            None if this owner has not loaded the shard.  It then does not know
            the runs of earlier owners, so that the next owner must not
            conclude that there are none.
        """
        return build_handover(self.shard) if self.is_loaded else None

    async def _load_fleet_rows(self, registry: WorkerRegistry) -> None:
        """
        Load the rows about workers that the previous owner wrote.

        Connect to each of these workers, which may still have runs even if
        the registry no longer has an entry for it.
        """
        page = await read_all_rows(
            self._context.store, FLEET_TABLE, self.shard.name
        )
        rows = {row.key: row.content for row in page.rows}
        effects = self._decode_row(rows, EFFECTS_KEY, list[EffectRow])
        self.shard.interference.load(effects or [])
        keys = [key for key in rows if row_owner(key) == WORKERS_KEY]
        readable: dict[str, bytes] = {}
        for key in keys:
            recorded = self._decode_row(rows, key, list[WorkerRow])
            if recorded is None:
                registry.are_all_workers_unlisted = True
                continue
            readable[key] = rows[key]
            for row in recorded:
                registry.add_recorded_worker(recorded_entry(row))
        self._committer.recorded_workers.restore(keys, readable)

    def _decode_row(
        self,
        rows: dict[str, bytes],
        key: str,
        kind: type[_Rows],
    ) -> _Rows | None:
        """
        Return the decoded content of a row, or None if it is unreadable.

        A missing row is empty.
        """
        try:
            return decode_json(rows.get(key, b'[]'), kind)
        except DecodingError as error:
            self._context.log.record(
                'fleet_row_unreadable', key=key, why=str(error)
            )
            return None

    async def _poll_intake(self) -> None:
        while True:
            try:
                await self._intake.apply_changes(0)
            except StoreError:
                await self._context.clock.sleep_ms(_RETRY_MS)
            await self._context.clock.sleep_ms(_INTAKE_POLL_INTERVAL_MS)

    async def _remove_expired_jobs(self) -> None:
        retention_ms = self._context.bounds.status_ms * _RETENTION_FACTOR
        while True:
            await self._context.clock.sleep_ms(_EXPIRY_INTERVAL_MS)
            try:
                await self._remove_expired(retention_ms)
            except StoreError as error:
                self._context.log.record(
                    'expired_job_removal_failed', why=str(error)
                )

    async def _remove_expired(self, retention_ms: float) -> None:
        shard = self.shard
        for job_id in shard.expired_jobs(retention_ms):
            await self._intake.remove(job_id)
            # The progress is removed after the job's intake row.  In the other
            # order, a crash in between would run the job again.
            shard.remove_job(job_id)
        for unknown_id in shard.expired_cancellations(retention_ms):
            if await self._intake.remove_cancellation(unknown_id):
                shard.early_cancellations.pop(unknown_id, None)
