"""
The workers of a shard according to the platform's registry.
"""

import asyncio
from collections.abc import Sequence

from hawthornpier.fleet._context import FleetContext
from hawthornpier.fleet._crashes import (
    identify_missing_workers,
    remember_missing_worker,
)
from hawthornpier.fleet._entry_age import IgnoredEntry
from hawthornpier.fleet._errors import HistoryGoneError
from hawthornpier.fleet._heartbeats import record_heartbeat
from hawthornpier.fleet._incarnations import Incarnations
from hawthornpier.fleet._ports import (
    StoredRow,
    WorkerDialer,
    WorkerEntry,
)
from hawthornpier.fleet._relay_assignment import WorkerPlace
from hawthornpier.fleet._row_pages import read_all_rows, read_changes
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.ports import StoreError

# A worker counts as deregistered if its entry has been missing for this long.
# Entries that expired during an outage of the store reappear within two seconds
# after the outage.
_MISSING_ENTRY_GRACE_MS = 2_500.0
_REGISTRY_POLL_INTERVAL_MS = 600
# A log line names at most this many unreadable entries.
_LOGGED_ENTRY_COUNT = 5


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
        self._incarnations = Incarnations(shard, context, dial, group)
        # Whether any worker may run tasks of the previous owner, because its
        # list of workers is unreadable.
        self.are_all_workers_unlisted = False
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
        self._missing_since_ms[entry.worker_id] = self.shard.now_ms
        self._update_worker(entry, is_registered=False)
        worker = self.shard.workers[entry.worker_id]
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

    def _update_worker(
        self, entry: WorkerEntry, *, is_registered: bool = True
    ) -> None:
        worker = self.shard.workers.get(entry.worker_id)
        if worker is None:
            self._add_worker(entry, is_registered=is_registered)
        elif not entry.is_same_incarnation(worker.entry):
            self._incarnations.suggest(
                worker, entry, is_registered=is_registered
            )
        elif is_registered:
            self._update_entry(worker, entry)

    def _add_worker(self, entry: WorkerEntry, *, is_registered: bool) -> None:
        worker = WorkerState(entry)
        worker.has_entry = is_registered
        self.shard.tokens.assign(worker)
        self.shard.workers[entry.worker_id] = worker
        identify_missing_workers(self.shard, worker)
        if self.are_all_workers_unlisted:
            self.shard.unlisted_tasks.setdefault(entry.worker_id, None)
        self._incarnations.links.start(worker)

    def _update_entry(self, worker: WorkerState, entry: WorkerEntry) -> None:
        if entry.is_draining and not worker.entry.is_draining:
            self._context.log.record(
                'worker_draining',
                worker=entry.worker_id,
                remaining_ms=entry.remaining_ms,
                runs=len(worker.runs),
            )
        worker.entry = entry
        worker.has_entry = True
        if not worker.is_unresponsive:
            self._incarnations.withdraw(entry.worker_id)

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
                self._incarnations.remove(worker_id)
                self.shard.workers.pop(worker_id)
                self.shard.interference.forget_worker(worker_id)
                self._context.log.record('worker_gone', worker=worker_id)
