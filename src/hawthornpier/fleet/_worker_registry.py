"""
The workers of a shard according to the platform's registry.
"""

import asyncio
from collections.abc import Sequence

from hawthornpier.fleet._context import FleetContext
from hawthornpier.fleet._crashes import (
    confirm_crash,
    identify_missing_workers,
    remember_missing_worker,
)
from hawthornpier.fleet._entry_age import IgnoredEntry
from hawthornpier.fleet._errors import HistoryGoneError, error_text
from hawthornpier.fleet._heartbeats import record_heartbeat
from hawthornpier.fleet._listings import ListingReconciler
from hawthornpier.fleet._parts import run_part
from hawthornpier.fleet._ports import (
    FleetWorker,
    StoredRow,
    WorkerDialer,
    WorkerEntry,
)
from hawthornpier.fleet._relay_assignment import WorkerPlace
from hawthornpier.fleet._row_pages import read_all_rows, read_changes
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._withdrawals import withdraw_unsent_starts
from hawthornpier.fleet._worker_link import WorkerLink
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.ports import StoreError
from hawthornpier.steps import RunOutcome, RunPhase

# A worker counts as deregistered if its entry has been missing for this long.
# Entries that expired during an outage of the store reappear within two seconds
# after the outage.
_MISSING_ENTRY_GRACE_MS = 2_500.0
_REGISTRY_POLL_INTERVAL_MS = 600
# A log line names at most this many unreadable entries.
_LOGGED_ENTRY_COUNT = 5
# After an unexpected error, the requests to a worker begin anew after this
# time.
_LINK_RESTART_MS = 500.0


class WorkerRegistry:
    """
    Adds, updates and removes the workers of a shard and their links.

    Args:
        shard: The state of the shard.
        context: Dependencies and settings of this process.
        dial: Creates the client of one incarnation of a worker.
        group: The owner's background tasks, to which those of links belong.
    """

    def __init__(
        self,
        shard: Shard,
        context: FleetContext,
        dial: WorkerDialer,
        group: asyncio.TaskGroup,
    ) -> None:
        self.shard = shard
        self._context = context
        self._dial = dial
        self._group = group
        self._listings = ListingReconciler(shard)
        # Whether any worker may run tasks of the previous owner, because its
        # list of workers is unreadable.
        self.are_all_workers_unlisted = False
        self._links: dict[str, asyncio.Task[None]] = {}
        self._missing_since_ms: dict[str, float] = {}
        self._version: int | None = None
        # When the last read of all changes was sent; 0 if there is none.
        self._read_ms: float = 0

    def worker_places(self) -> list[WorkerPlace]:
        """
        Return the failure domains of the workers.
        """
        return [
            WorkerPlace(
                worker_id=worker.worker_id,
                failure_domain=worker.entry.failure_domain,
            )
            for worker in self.shard.workers.values()
        ]

    def add_recorded_worker(self, entry: WorkerEntry) -> None:
        """
        Add a worker of the previous owner, which may still have runs.

        The registry may no longer have an entry for it.
        """
        is_known = entry.worker_id in self.shard.workers
        self._missing_since_ms[entry.worker_id] = self.shard.now_ms
        self._update_worker(entry)
        worker = self.shard.workers[entry.worker_id]
        worker.has_entry = worker.has_entry and is_known
        if not worker.is_listed:
            self.shard.unlisted_tasks.setdefault(entry.worker_id, None)

    async def run(self) -> None:
        """
        Poll the registry until cancelled.
        """
        while True:
            await self._context.clock.sleep_ms(_REGISTRY_POLL_INTERVAL_MS)
            sent = self.shard.permits.registry.mark()
            sent_ms = self.shard.now_ms
            try:
                is_current = await self._poll_once()
            except StoreError:
                # Entries may expire while the store is unavailable, so the
                # time for which they have been missing starts anew.
                self._missing_since_ms = dict.fromkeys(
                    self._missing_since_ms, self.shard.now_ms
                )
            else:
                if is_current:
                    self._read_ms = sent_ms
                    self.shard.permits.registry.confirm(sent)
            self._remove_departed_workers()

    async def _poll_once(self) -> bool:
        """
        Apply changes of the registry, and return whether these are all.
        """
        if self._version is None:
            await self.read()
            return True
        try:
            page = await read_changes(
                self._context.store,
                self._context.registry_table,
                after_version=self._version,
                wait_ms=0,
            )
        except HistoryGoneError:
            await self.read()
            return True
        self._version = page.version
        latest_rows = {row.key: row for row in page.rows if not row.part}
        rows = tuple(latest_rows.values())
        for row in rows:
            if row.is_deleted:
                self._missing_since_ms.setdefault(row.key, self.shard.now_ms)
        self._apply_entries(rows, self._read_ms)
        return not page.has_more

    async def read(self) -> None:
        """
        Read all entries.

        Raises:
            StoreError: The entries could not be read.
        """
        page = await read_all_rows(
            self._context.store,
            self._context.registry_table,
            '',
        )
        self._version = page.version
        self._apply_entries(page.rows)
        registered_ids = {row.key for row in page.rows}
        for worker_id in self.shard.workers:
            if worker_id not in registered_ids:
                self._missing_since_ms.setdefault(
                    worker_id,
                    self.shard.now_ms,
                )

    def _apply_entries(
        self,
        rows: Sequence[StoredRow],
        alive_ms: float = 0,
    ) -> None:
        """
        Apply entries that exist, and were written after *alive_ms*.

        An unreadable one adds no worker.  If it replaces that of a known
        worker, the worker remains registered with its last readable entry.
        """
        present_ids = {row.key for row in rows if not row.is_deleted}
        for worker_id in present_ids:
            self._missing_since_ms.pop(worker_id, None)
            known = self.shard.workers.get(worker_id)
            if known is not None:
                known.is_deregistered = False
        entries = {
            entry.worker_id: entry
            for entry in self._context.decoder.workers(rows)
        }
        for readable_entry in entries.values():
            self._update_worker(readable_entry)
            worker = self.shard.workers[readable_entry.worker_id]
            worker.has_entry = True
            if worker.entry is readable_entry:
                worker.entry_age.accept(self.shard.now_ms)
                record_heartbeat(self.shard, worker, alive_ms)
            else:
                worker.entry_age.ignore(
                    IgnoredEntry.OTHER_INCARNATION, self.shard.now_ms
                )
        unreadable_ids = sorted(present_ids - entries.keys())
        self._record_unreadable(unreadable_ids)

    def _record_unreadable(self, unreadable_ids: Sequence[str]) -> None:
        for worker_id in unreadable_ids:
            known = self.shard.workers.get(worker_id)
            if known is not None:
                known.entry_age.ignore(
                    IgnoredEntry.UNREADABLE, self.shard.now_ms
                )
        if unreadable_ids:
            self._context.log.record(
                'worker_entry_unreadable',
                count=len(unreadable_ids),
                workers=unreadable_ids[:_LOGGED_ENTRY_COUNT],
            )

    def _update_worker(self, entry: WorkerEntry) -> None:
        worker = self.shard.workers.get(entry.worker_id)
        if worker is None:
            worker = WorkerState(entry)
            self.shard.workers[entry.worker_id] = worker
            identify_missing_workers(self.shard, worker)
            if self.are_all_workers_unlisted:
                self.shard.unlisted_tasks.setdefault(entry.worker_id, None)
            self._start_link(worker)
            return
        if entry.incarnation_ms > worker.entry.incarnation_ms:
            self._begin_incarnation(worker, entry)
        elif entry.incarnation_ms == worker.entry.incarnation_ms:
            self._update_entry(worker, entry)

    def _update_entry(self, worker: WorkerState, entry: WorkerEntry) -> None:
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
        confirm_crash(self.shard, worker, 'another incarnation registered')
        for run in list(worker.runs.values()):
            if run.is_listed and not run.has_unacknowledged_order:
                self.shard.end_run(run, RunOutcome.LOST)
        withdraw_unsent_starts(self.shard, worker, why='worker restarted')
        uncertain_runs = worker.begin_incarnation(entry)
        if uncertain_runs:
            timings = self._context.worker_timings
            worker.early_lease_end_ms = self.shard.now_ms + (
                timings.lease_max_ms * (1 + timings.clock_drift * 1.1)
            )
        self._stop_link(worker.worker_id)
        self._start_link(worker)
        for uncertain_run in uncertain_runs:
            # The new incarnation may have accepted the start; its first listing
            # shows whether it has.
            worker.charge(uncertain_run)
            uncertain_run.is_listed = False
            if uncertain_run.has_unacknowledged_order:
                # It may also execute the start later, so the run is stopped
                # explicitly.
                uncertain_run.phase = RunPhase.STARTING
                self.shard.stop_run(
                    uncertain_run,
                    'start not acknowledged before the worker restarted',
                )

    def _start_link(self, worker: WorkerState) -> None:
        self._links[worker.worker_id] = self._group.create_task(
            self._run_link(worker),
        )

    async def _run_link(self, worker: WorkerState) -> None:
        client = self._dial(worker.entry)
        try:
            while True:
                await self._run_link_once(worker, client)
                await self._context.clock.sleep_ms(_LINK_RESTART_MS)
        finally:
            client.close()

    async def _run_link_once(
        self, worker: WorkerState, client: FleetWorker
    ) -> None:
        link = WorkerLink(
            worker,
            client,
            shard=self.shard,
            listings=self._listings,
            timings=self._context.worker_timings,
        )
        try:
            await run_part(link.run)
        except Exception as error:
            # An error that concerns one worker must not end the owner.
            self._context.log.record(
                'worker_link_failed',
                worker=worker.worker_id,
                why=error_text(error),
            )

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
                remember_missing_worker(self.shard, worker)
                self._stop_link(worker_id)
                self.shard.workers.pop(worker_id)
                self.shard.interference.forget_worker(worker_id)
                self._context.log.record('worker_gone', worker=worker_id)
