"""
Rows of the store that name the workers which may have runs.

The next owner connects to these workers even if the registry has no entry for
them.
"""

import zlib
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

import msgspec

from hawthornpier.fleet._divided_rows import DividedRows
from hawthornpier.fleet._ports import WorkerEntry
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._worker_state import WorkerState

WORKERS_KEY = 'workers'
# Id, address, service and incarnation of a worker.
WorkerRow = tuple[str, str, str, int]


@dataclass(frozen=True, slots=True, kw_only=True, order=True)
class _PlacedRow:
    position: int
    row: WorkerRow


def recorded_entry(row: WorkerRow) -> WorkerEntry:
    """
    Return what a row tells of a worker; its capacity is unknown.
    """
    worker_id, address, service, incarnation_ms = row
    return WorkerEntry(
        worker_id=worker_id,
        service=service,
        address=address,
        failure_domain='',
        processor_millis=0,
        memory_mb=0,
        accelerator_count=0,
        incarnation_ms=incarnation_ms,
    )


class RecordedWorkers:
    """
    The workers that may have runs, and which of them the store names.

    Args:
        shard: The shard whose workers are recorded.
    """

    def __init__(self, shard: Shard) -> None:
        self._shard = shard
        self._rows = DividedRows(WORKERS_KEY, shard.row_bytes)
        # The workers that the store's rows name for certain, by row.
        self._stored: dict[str, frozenset[str]] = {}
        # Those that they name together, also while one of them moves from one
        # row to another.
        self._named: frozenset[str] = frozenset()
        # What the store's rows contain together; None until that is known.
        self._stored_rows: frozenset[WorkerRow] | None = None

    def restore(
        self, keys: Iterable[str], contents: Mapping[str, bytes]
    ) -> None:
        """
        Continue with the rows of the previous owner.

        Args:
            keys: The keys of all rows.
            contents: The readable ones, by key.
        """
        self._rows.restore(keys)
        self.confirm(contents)

    def changed(self) -> list[tuple[str, bytes]]:
        """
        Return the rows that have to be written, the last one first.
        """
        rows = frozenset(
            _row_of(worker.entry)
            for worker in self._shard.workers.values()
            if self._may_have_runs(worker)
        )
        if rows == self._stored_rows:
            return []
        placed = sorted(
            _PlacedRow(position=zlib.crc32(row[0].encode()), row=row)
            for row in rows
        )
        changed = self._rows.changed(
            placed, [each.position for each in placed], _encode
        )
        if not changed:
            self._stored_rows = rows
        return changed

    def confirm(self, contents: Mapping[str, bytes]) -> None:
        """
        Record that rows were written, by key; their workers may be used.
        """
        if contents:
            self._stored_rows = None
            self._rows.confirm(contents)
            for key, content in contents.items():
                self._stored[key] = _worker_ids(content)
            self._named = frozenset().union(*self._stored.values())
        self._mark()

    def forget(self, contents: Mapping[str, bytes]) -> None:
        """
        Record that rows may be written from now on, by key.

        Only workers that are named both before and after may be used.
        """
        if not contents:
            return
        self._stored_rows = None
        self._rows.forget(contents)
        written = {key: _worker_ids(each) for key, each in contents.items()}
        after = {**self._stored, **written}
        self._named &= frozenset().union(*after.values())
        for key, worker_ids in written.items():
            self._stored[key] = self._stored.get(key, frozenset()) & worker_ids
        self._mark()

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

    def _mark(self) -> None:
        for worker in self._shard.workers.values():
            worker.is_recorded = worker.worker_id in self._named
        self._shard.wake.set()


def _worker_ids(content: bytes) -> frozenset[str]:
    rows = msgspec.json.decode(content, type=list[WorkerRow])
    return frozenset(row[0] for row in rows)


def _row_of(entry: WorkerEntry) -> WorkerRow:
    return (
        entry.worker_id,
        entry.address,
        entry.service,
        entry.incarnation_ms,
    )


def _encode(members: Sequence[_PlacedRow], *, is_first: bool) -> bytes:
    return msgspec.json.encode([each.row for each in members])
