"""
The owner process of a shard: loads, schedules and hands over the shard.
"""

import asyncio
import random
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

import msgspec

from hawthornpier.events import DecisionLog
from hawthornpier.fleet._commits import (
    EFFECTS_KEY,
    FLEET_KEY,
    FLEET_TABLE,
    Committer,
)
from hawthornpier.fleet._errors import HistoryGoneError, ShardLostError
from hawthornpier.fleet._handover import build_handover, request_handover
from hawthornpier.fleet._intake import Intake, read_all_rows
from hawthornpier.fleet._listings import ListingReconciler
from hawthornpier.fleet._pass_gap import pass_gap_ms
from hawthornpier.fleet._peer_port import Handover, PeerDialer
from hawthornpier.fleet._ports import (
    RecordStore,
    RowDecoder,
    WorkerDialer,
    WorkerEntry,
)
from hawthornpier.fleet._relay_assignment import WorkerPlace
from hawthornpier.fleet._relay_pool import RelayConnector, RelayPool
from hawthornpier.fleet._scheduler import Scheduler
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._timings import (
    OwnershipTimings,
    PlatformBounds,
    WorkerTimings,
)
from hawthornpier.fleet._worker_link import WorkerLink
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.fleet._writer import ShardWriter
from hawthornpier.ports import Clock, StoreError
from hawthornpier.steps import RunOutcome, RunPhase

# A worker counts as deregistered if its entry has been missing for this long.
# Entries that expired during an outage of the store reappear within two seconds
# after the outage.
_MISSING_ENTRY_GRACE_MS = 2_500.0
# Entry processes notify the owner of accepted jobs; polling the store finds
# jobs whose notification was lost.
_INTAKE_POLL_INTERVAL_MS = 400
_REGISTRY_POLL_INTERVAL_MS = 600
# Longest time between two scheduling passes.
_PASS_INTERVAL_MS = 100
_RETRY_MS = 150
_EXPIRY_INTERVAL_MS = 5_000
# Ended jobs stay readable for this multiple of the time that the platform
# requires.
_RETENTION_FACTOR = 1.25


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetContext:
    """
    Dependencies and settings shared by the scheduler's parts in a process.
    """

    store: RecordStore
    decoder: RowDecoder
    dial: WorkerDialer
    clock: Clock
    log: DecisionLog
    bounds: PlatformBounds
    worker_timings: WorkerTimings
    ownership_timings: OwnershipTimings
    dial_peer: PeerDialer
    rng: random.Random
    registry_table: str
    # Opens connections to relays; None if owners contact all workers directly.
    connect_relay: RelayConnector | None = None


class ShardOwner:
    """
    Schedules one shard from its claim until it is lost or handed over.

    Args:
        context: Dependencies and settings of this process.
        writer: Writes to the shard's partition under the claimed epoch.
        relays: Connections to relays; None if this process contacts all
            workers directly.
    """

    def __init__(
        self,
        context: FleetContext,
        writer: ShardWriter,
        relays: RelayPool | None = None,
    ) -> None:
        self.shard = Shard(
            writer.shard,
            epoch=writer.epoch,
            clock=context.clock,
            log=context.log,
        )
        self.is_loaded = False
        self._context = context
        self._relays = relays
        self._predecessor = writer.predecessor
        self._listings = ListingReconciler(self.shard)
        self._intake = Intake(context.store, self.shard, context.log)
        self._committer = Committer(
            self.shard,
            writer,
            timings=context.ownership_timings,
        )
        self._scheduler = Scheduler(
            self.shard,
            bounds=context.bounds,
            timings=context.worker_timings,
        )
        self._links: dict[str, asyncio.Task[None]] = {}
        self._missing_since_ms: dict[str, float] = {}
        self._registry_version: int | None = None
        self._registry_read_ms: float = 0
        self._group: asyncio.TaskGroup | None = None

    async def run(self) -> None:
        """
        Load and schedule the shard until another process owns it.
        """
        try:
            async with asyncio.TaskGroup() as group:
                self._group = group
                await self._load()
                group.create_task(
                    request_handover(
                        self.shard,
                        self._predecessor,
                        self._context.dial_peer,
                    ),
                )
                for coroutine in self._background_tasks():
                    group.create_task(coroutine)
                if self._relays is not None:
                    group.create_task(self._relays.run(self._worker_places))
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
        finally:
            self._group = None

    async def release(self, timeout_ms: float) -> bool:
        """
        Write all progress and release the claim before its lease expires.

        No runs are started from then on.

        Returns:
            Whether the release was written.  If not, another process claims
            the shard once this one reports to it that it has given up the
            shard, or once the lease has expired.
        """
        self.shard.is_draining = True
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await self._committer.write_all()
        except (TimeoutError, StoreError, ShardLostError) as error:
            self._context.log.record('release_failed', why=str(error))
            return False
        return True

    def _background_tasks(self) -> tuple[Coroutine[Any, Any, None], ...]:
        return (
            self._committer.run(),
            self._schedule_forever(),
            self._poll_intake(),
            self._poll_registry(),
            self._remove_expired_jobs(),
        )

    def _worker_places(self) -> list[WorkerPlace]:
        return [
            WorkerPlace(
                worker_id=worker.worker_id,
                failure_domain=worker.entry.failure_domain,
            )
            for worker in self.shard.workers.values()
        ]

    async def _load(self) -> None:
        """
        Load the state from the store and connect to all workers.
        """
        while True:
            try:
                # Jobs are loaded before any worker is connected, because
                # workers list ended runs, which are applied to their jobs.
                await self._intake.load()
                await self._load_fleet_rows()
                await self._read_registry()
            except StoreError as error:
                self._context.log.record('load_failed', why=str(error))
                await self._context.clock.sleep_ms(_RETRY_MS)
                continue
            break
        self.is_loaded = True
        self._context.log.record(
            'shard_loaded',
            shard=self.shard.name,
            epoch=self.shard.epoch,
            jobs=len(self.shard.jobs),
            workers=len(self.shard.workers),
        )

    def handover(self) -> Handover:
        """
        Return the handover for the next owner.
        """
        return build_handover(self.shard)

    async def _load_fleet_rows(self) -> None:
        """
        Load the rows about workers that the previous owner wrote.

        Connect to each of these workers, which may still have runs even if
        the registry no longer has an entry for it.
        """
        page = await self._context.store.read(FLEET_TABLE, self.shard.name)
        rows = {row.key: row.content for row in page.rows}
        effects = rows.get(EFFECTS_KEY[1], b'[]')
        self.shard.interference.load(
            msgspec.json.decode(
                effects,
                type=list[tuple[str, str, float, float]],
            ),
        )
        recorded_workers = msgspec.json.decode(
            rows.get(FLEET_KEY[1], b'[]'),
            type=list[tuple[str, str, str, int]],
        )
        for worker_id, address, service, incarnation_ms in recorded_workers:
            entry = WorkerEntry(
                worker_id=worker_id,
                service=service,
                address=address,
                failure_domain='',
                processor_millis=0,
                memory_mb=0,
                accelerator_count=0,
                incarnation_ms=incarnation_ms,
            )
            self._missing_since_ms[worker_id] = self.shard.now_ms
            self._update_worker(entry)
            if not self.shard.workers[worker_id].is_listed:
                self.shard.unlisted_tasks.setdefault(worker_id, None)
        self._committer.restore_fleet_row(rows.get(FLEET_KEY[1], b'[]'))

    async def _schedule_forever(self) -> None:
        shard = self.shard
        while True:
            try:
                async with asyncio.timeout(_PASS_INTERVAL_MS / 1000):
                    await shard.wake.wait()
            except TimeoutError:
                shard.wake.clear()
            shard.wake.clear()
            started_ms = shard.now_ms
            self._scheduler.run_pass()
            await shard.clock.sleep_ms(
                pass_gap_ms(shard.now_ms - started_ms),
            )

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
            for job_id in self.shard.expired_jobs(retention_ms):
                try:
                    await self._intake.remove(job_id)
                except StoreError as error:
                    self._context.log.record(
                        'expired_job_removal_failed', why=str(error)
                    )
                    break
                # The progress is removed after the job's intake row.  In the
                # other order, a crash in between would run the job again.
                self.shard.remove_job(job_id)

    async def _poll_registry(self) -> None:
        while True:
            await self._context.clock.sleep_ms(_REGISTRY_POLL_INTERVAL_MS)
            try:
                await self._poll_registry_once()
            except StoreError:
                # Entries may expire while the store is unavailable, so the
                # time for which they have been missing starts anew.
                self._missing_since_ms = {}
            self._remove_departed_workers()

    async def _poll_registry_once(self) -> None:
        if self._registry_version is None:
            await self._read_registry()
            return
        try:
            page = await self._context.store.changes(
                self._context.registry_table,
                after_version=self._registry_version,
                wait_ms=0,
            )
        except HistoryGoneError:
            await self._read_registry()
            return
        self._registry_version = page.version
        for row in page.rows:
            if row.is_deleted:
                self._missing_since_ms.setdefault(row.key, self.shard.now_ms)
        for entry in self._context.decoder.workers(page.rows):
            self._update_worker(entry)
            self._missing_since_ms.pop(entry.worker_id, None)

    async def _read_registry(self) -> None:
        page = await read_all_rows(
            self._context.store,
            self._context.registry_table,
            '',
        )
        self._registry_version = page.version
        registered_ids = set()
        for entry in self._context.decoder.workers(page.rows):
            registered_ids.add(entry.worker_id)
            self._update_worker(entry)
            self._missing_since_ms.pop(entry.worker_id, None)
        for worker_id in self.shard.workers:
            if worker_id not in registered_ids:
                self._missing_since_ms.setdefault(
                    worker_id,
                    self.shard.now_ms,
                )

    def _update_worker(self, entry: WorkerEntry) -> None:
        worker = self.shard.workers.get(entry.worker_id)
        if worker is None:
            worker = WorkerState(entry)
            self.shard.workers[entry.worker_id] = worker
            self._start_link(worker)
            return
        worker.is_deregistered = False
        if entry.incarnation_ms > worker.entry.incarnation_ms:
            self._begin_incarnation(worker, entry)
        elif entry.incarnation_ms == worker.entry.incarnation_ms:
            if entry.is_draining and not worker.entry.is_draining:
                self._context.log.record(
                    'worker_draining',
                    worker=entry.worker_id,
                    remaining_ms=entry.remaining_ms,
                    runs=len(worker.runs),
                )
            worker.entry = entry
            if entry.worker_id not in self._links:
                self._start_link(worker)

    def _begin_incarnation(
        self, worker: WorkerState, entry: WorkerEntry
    ) -> None:
        self._context.log.record(
            'worker_reborn',
            worker=entry.worker_id,
            incarnation=entry.incarnation_ms,
            runs=len(worker.runs),
        )
        for run in list(worker.runs.values()):
            if not run.has_unacknowledged_order:
                self.shard.end_run(run, RunOutcome.LOST)
        uncertain_runs = worker.begin_incarnation(entry)
        self._stop_link(worker.worker_id)
        self._start_link(worker)
        for uncertain_run in uncertain_runs:
            # The new incarnation may still execute a start order that was
            # sent to the previous one, so the run is stopped explicitly.
            uncertain_run.phase = RunPhase.STARTING
            worker.charge(uncertain_run)
            self.shard.stop_run(
                uncertain_run,
                'start not acknowledged before the worker restarted',
            )

    def _start_link(self, worker: WorkerState) -> None:
        if self._group is None:
            return
        dial = self._relays.dial if self._relays else self._context.dial
        link = WorkerLink(
            worker,
            dial(worker.entry),
            shard=self.shard,
            listings=self._listings,
            timings=self._context.worker_timings,
        )
        self._links[worker.worker_id] = self._group.create_task(link.run())

    def _stop_link(self, worker_id: str) -> None:
        task = self._links.pop(worker_id, None)
        if task is not None:
            task.cancel()

    def _remove_departed_workers(self) -> None:
        """
        Remove workers that are deregistered, unresponsive and without runs.

        Their leases must have expired, so that no run can still be executing.
        """
        now_ms = self.shard.now_ms
        for worker_id, since_ms in list(self._missing_since_ms.items()):
            worker = self.shard.workers.get(worker_id)
            if worker is None:
                self._missing_since_ms.pop(worker_id)
                continue
            if now_ms - since_ms < _MISSING_ENTRY_GRACE_MS:
                continue
            worker.is_deregistered = True
            lease_expiry_ms = worker.lease_expiry_ms(
                self._context.worker_timings
            )
            if (
                worker.is_unresponsive
                and not worker.runs
                and now_ms > lease_expiry_ms
            ):
                self._stop_link(worker_id)
                self.shard.workers.pop(worker_id)
                self.shard.interference.forget_worker(worker_id)
                self._context.log.record('worker_gone', worker=worker_id)
