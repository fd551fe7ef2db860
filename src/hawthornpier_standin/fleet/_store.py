"""
Simulates the transactional row store, with faults that tests switch on.
"""

import asyncio
import base64
import enum
from collections.abc import Callable

from hawthornpier.fleet import (
    HistoryGoneError,
    RowPage,
    RowTransaction,
    StoredRow,
    TransactionOutcome,
)
from hawthornpier.ports import (
    Clock,
    StoreRejectedError,
    StoreReplyLostError,
    StoreUnavailableError,
)

_RowId = tuple[str, str, str]

_REPLY_DELAY_MS = 4.0
_TRANSACTION_MS = 8.0
_PAGE_ROW_COUNT = 500
# Limits of a transaction.
_ENTRY_COUNT_MAX = 100
_TRANSACTION_BYTES_MAX = 1_000_000
# Time after which a call without a timeout of its own fails with a lost reply.
_TIMEOUT_MS = 1_000.0


class StoreFault(enum.StrEnum):
    """
    A fault of the connection between one process and the store.
    """

    NONE = ''
    # Every call fails without effect.
    REFUSE = 'refuse'
    # Calls have no effect and get no reply.
    SILENT = 'silent'
    # Transactions are applied, but their replies are lost.
    LOSE_REPLIES = 'lose_answers'
    # Transactions get no reply and are applied later, if their conditions
    # hold at that time.
    APPLY_LATE = 'apply_late'


class StandinRowStore:
    """
    The simulated store; each process accesses it by a `StandinStoreClient`.

    Args:
        clock: Source of the store's time and delays.
        late_delay_ms: Time after which a transaction is applied while
            `StoreFault.APPLY_LATE` is switched on.
    """

    def __init__(self, clock: Clock, *, late_delay_ms: float = 2_000) -> None:
        self.rows: dict[_RowId, StoredRow] = {}
        self.version = 0
        self.call_count = 0
        self.delay_factor = 1.0
        self.late_delay_ms = late_delay_ms
        # The largest value of a row, in base64.
        self.row_bytes = 65_536
        # The keys of rows whose values are not accepted, whatever they are.
        self.rejected_keys: set[str] = set()
        self.rejection_count = 0
        self.on_applied: Callable[[RowTransaction], None] | None = None
        self.clock = clock
        self._changes: list[StoredRow] = []
        self._discarded_version = 0
        self._changed = asyncio.Event()
        self._locks: dict[str, asyncio.Lock] = {}

    def put(
        self, table: str, key: str, content: bytes, *, part: str = ''
    ) -> None:
        """
        Write a row without a condition, as the operator or a worker does.
        """
        self.apply(
            RowTransaction(
                part=part,
                expected={},
                writes={(table, key): content},
            ),
        )

    def remove(self, table: str, key: str) -> None:
        """
        Remove a row, as a worker does when it leaves.
        """
        self.apply(
            RowTransaction(
                part='',
                expected={},
                writes={},
                removals=((table, key),),
            ),
        )

    def discard_changes(self) -> None:
        """
        Discard all changes so far; requests for them raise HistoryGoneError.
        """
        self._discarded_version = self.version
        self._changes.clear()

    def apply(self, transaction: RowTransaction) -> TransactionOutcome:
        """
        Apply a transaction at once if its condition holds.
        """
        part = transaction.part
        current = {
            key: self.rows.get((key[0], part, key[1]))
            for key in transaction.expected
        }
        versions = {
            key: row.version for key, row in current.items() if row is not None
        }
        is_expected = all(
            versions.get(key, 0) == version
            for key, version in transaction.expected.items()
        )
        if is_expected:
            self._write(transaction)
        rows = tuple(row for row in current.values() if row is not None)
        return TransactionOutcome(
            is_applied=is_expected,
            version=self.version,
            store_ms=self.clock.monotonic_ms(),
            rows=() if is_expected else rows,
        )

    async def transact(self, transaction: RowTransaction) -> TransactionOutcome:
        """
        Apply a transaction after the earlier ones of the same partition.

        Raises:
            StoreRejectedError: It exceeds a limit of the store.
        """
        self._check(transaction)
        lock = self._locks.setdefault(transaction.part, asyncio.Lock())
        async with lock:
            await self.clock.sleep_ms(_TRANSACTION_MS * self.delay_factor)
            return self.apply(transaction)

    def page(
        self,
        table: str,
        part: str,
        first: str,
        end: str,
        *,
        row_limit: int | None = None,
    ) -> RowPage:
        """
        Return the rows of a partition with *first* <= key < *end*.

        An empty *end* stands for no upper bound.
        """
        limit = min(row_limit or _PAGE_ROW_COUNT, _PAGE_ROW_COUNT)
        found = sorted(
            (
                row
                for row in self.rows.values()
                if (row.table, row.part) == (table, part)
                and row.key >= first
                and (not end or row.key < end)
            ),
            key=lambda row: row.key,
        )
        return RowPage(
            rows=tuple(found[:limit]),
            version=self.version,
            store_ms=self.clock.monotonic_ms(),
            has_more=len(found) > limit,
        )

    async def changes(self, table: str, after: int, wait_ms: float) -> RowPage:
        """
        Return the rows of a table that changed after version *after*.

        If there are none, wait up to *wait_ms* for the first one.

        Raises:
            HistoryGoneError: Changes after that version were discarded.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + wait_ms / 1000
        may_wait = wait_ms > 0
        while True:
            if after < self._discarded_version:
                raise HistoryGoneError(table)
            found = tuple(
                row
                for row in self._changes
                if row.table == table and row.version > after
            )
            if found or not may_wait:
                return RowPage(
                    rows=found,
                    version=self.version,
                    store_ms=self.clock.monotonic_ms(),
                )
            may_wait = await self._wait_for_change(end_s)

    def _check(self, transaction: RowTransaction) -> None:
        sizes = [
            len(base64.b64encode(content))
            for content in transaction.writes.values()
        ]
        entry_count = sum(
            len(entries)
            for entries in (
                transaction.expected,
                transaction.writes,
                transaction.removals,
            )
        )
        keys = {key for _, key in transaction.writes}
        if (
            max(sizes, default=0) > self.row_bytes
            or sum(sizes) > _TRANSACTION_BYTES_MAX
            or entry_count > _ENTRY_COUNT_MAX
            or keys & self.rejected_keys
        ):
            self.rejection_count += 1
            raise StoreRejectedError('a value or the transaction is too large')

    async def _wait_for_change(self, end_s: float) -> bool:
        """
        Wait, and return whether there was a change before the end.

        At the end, the time of the loop may still be less by a rounding error.
        """
        try:
            async with asyncio.timeout_at(end_s):
                await self._changed.wait()
        except TimeoutError:
            return False
        return True

    def _write(self, transaction: RowTransaction) -> None:
        self.version += 1
        part = transaction.part
        for (table, key), content in transaction.writes.items():
            row = StoredRow(
                table=table,
                part=part,
                key=key,
                content=content,
                version=self.version,
            )
            self.rows[table, part, key] = row
            self._changes.append(row)
        for table, key in transaction.removals:
            if self.rows.pop((table, part, key), None) is not None:
                self._changes.append(
                    StoredRow(
                        table=table,
                        part=part,
                        key=key,
                        version=self.version,
                        is_deleted=True,
                    ),
                )
        if self.on_applied is not None:
            self.on_applied(transaction)
        self._changed.set()
        self._changed = asyncio.Event()


class StandinStoreClient:
    """
    Implements `RecordStore` for one process, with the faults of its connection.
    """

    def __init__(self, store: StandinRowStore) -> None:
        self.fault = StoreFault.NONE
        # Reads of these tables fail, whatever the fault.
        self.unreadable_tables: set[str] = set()
        self._store = store
        self._late: set[asyncio.Task[None]] = set()

    async def transact(
        self,
        transaction: RowTransaction,
        *,
        timeout_ms: float = _TIMEOUT_MS,
    ) -> TransactionOutcome:
        """
        Apply a transaction, subject to the fault.
        """
        if self.fault is StoreFault.APPLY_LATE:
            late = asyncio.ensure_future(self._apply_late(transaction))
            self._late.add(late)
            late.add_done_callback(self._late.discard)
            await self._time_out(timeout_ms)
        await self._begin_call(timeout_ms)
        outcome = await self._store.transact(transaction)
        if self.fault is StoreFault.LOSE_REPLIES:
            await self._time_out(timeout_ms)
        return outcome

    async def read(
        self,
        table: str,
        part: str,
        *,
        first_key: str = '',
        end_key: str = '',
        row_limit: int | None = None,
    ) -> RowPage:
        """
        Return the rows of a partition with *first_key* <= key < *end_key*.
        """
        await self._begin_read(table)
        return self._store.page(
            table, part, first_key, end_key, row_limit=row_limit
        )

    async def changes(
        self,
        table: str,
        *,
        after_version: int,
        wait_ms: int,
    ) -> RowPage:
        """
        Return the rows of a table that changed after a version.
        """
        await self._begin_read(table)
        page = await self._store.changes(table, after_version, wait_ms)
        if self.fault in {StoreFault.REFUSE, StoreFault.SILENT}:
            raise StoreUnavailableError(
                'the connection to the store was closed during the call'
            )
        return page

    async def _begin_read(self, table: str) -> None:
        await self._begin_call(_TIMEOUT_MS)
        if table in self.unreadable_tables:
            raise StoreUnavailableError('the table is not available')

    async def _begin_call(self, timeout_ms: float) -> None:
        self._store.call_count += 1
        await self._store.clock.sleep_ms(
            _REPLY_DELAY_MS * self._store.delay_factor
        )
        if self.fault is StoreFault.REFUSE:
            raise StoreUnavailableError('the store refused the call')
        if self.fault is StoreFault.SILENT:
            await self._time_out(timeout_ms)

    async def _time_out(self, timeout_ms: float) -> None:
        await self._store.clock.sleep_ms(timeout_ms)
        raise StoreReplyLostError('the store did not reply in time')

    async def _apply_late(self, transaction: RowTransaction) -> None:
        await self._store.clock.sleep_ms(self._store.late_delay_ms)
        self._store.apply(transaction)
