"""
An in-memory table service with faults, and processes that can be paused.
"""

import asyncio
import random

from virtual_time import VirtualClock

from hawthornpier.messages import (
    ABSENT_VERSION,
    Row,
    RowCheck,
    Transaction,
    TransactionResult,
)
from hawthornpier.ports import StoreAnswerLostError, StoreUnavailableError


class FakeStore:
    """
    The table service itself; it applies each transaction at one instant.

    *forgets_ids* applies a repeated transaction again.  *ignores_checks* is a
    planted fault, which tests use to show that their own checks can fail.
    """

    def __init__(
        self,
        *,
        forgets_ids: bool = False,
        ignores_checks: bool = False,
    ) -> None:
        self.rows: dict[str, Row] = {}
        self.applied: list[Transaction] = []
        self.is_out = False
        self._forgets_ids = forgets_ids
        self._ignores_checks = ignores_checks
        self._results: dict[str, TransactionResult] = {}
        self._version = 0

    def apply(self, transaction: Transaction) -> TransactionResult:
        """
        Apply the transaction now, or return its first result.
        """
        known = self._results.get(transaction.transaction_id)
        if known is not None and not self._forgets_ids:
            return known
        failed = [check for check in transaction.checks if self._fails(check)]
        if failed:
            rows = [self.rows.get(check.key) for check in failed]
            answer = TransactionResult(
                is_committed=False,
                rows=tuple(row for row in rows if row is not None),
            )
        else:
            answer = self._commit(transaction)
        self._results[transaction.transaction_id] = answer
        return answer

    def _fails(self, check: RowCheck) -> bool:
        row = self.rows.get(check.key)
        version = ABSENT_VERSION if row is None else row.version
        return version != check.version and not self._ignores_checks

    def _commit(self, transaction: Transaction) -> TransactionResult:
        written = []
        for key in transaction.deletes:
            self.rows.pop(key, None)
        for put in transaction.puts:
            self._version += 1
            row = Row(key=put.key, version=self._version, text=put.text)
            self.rows[put.key] = row
            written.append(row)
        self.applied.append(transaction)
        return TransactionResult(is_committed=True, rows=tuple(written))


class PausableClock(VirtualClock):
    """
    The clock of a process whose tasks do not run while it is paused.
    """

    def __init__(self, *, rate: float = 1.0) -> None:
        super().__init__(rate=rate)
        self._running = asyncio.Event()
        self._running.set()

    @property
    def is_running(self) -> bool:
        """
        Tell whether the process is not paused.
        """
        return self._running.is_set()

    def pause(self) -> None:
        """
        Let no task of the process get past its next wait.
        """
        self._running.clear()

    def resume(self) -> None:
        """
        Let the tasks of the process run on.
        """
        self._running.set()

    async def until_running(self) -> None:
        """
        Wait while the process is paused.
        """
        await self._running.wait()

    async def sleep_ms(self, duration_ms: float) -> None:
        """
        Sleep, and then wait while the process is paused.
        """
        await super().sleep_ms(duration_ms)
        await self.until_running()


class FakeStorePort:
    """
    The `TableStore` of one process, with delays and lost answers.

    *lost_percent* of the transactions lose their answer or the request.
    """

    def __init__(
        self,
        store: FakeStore,
        clock: PausableClock,
        rng: random.Random,
    ) -> None:
        self.store = store
        self.lost_percent = 0
        self.delay_ms = 2.0
        self.is_cut_off = False
        self._clock = clock
        self._rng = rng

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """
        Apply the transaction after a delay on the network.
        """
        await self._travel()
        if self._rng.randrange(100) < self.lost_percent:
            if self._rng.randrange(2):
                self.store.apply(transaction)
            await self._travel()
            raise StoreAnswerLostError('the answer was lost')
        answer = self.store.apply(transaction)
        await self._return()
        return answer

    async def read(self, key: str) -> Row | None:
        """
        Return one row as it is at one instant.
        """
        await self._travel()
        row = self.store.rows.get(key)
        await self._return()
        return row

    async def scan(self, prefix: str) -> tuple[Row, ...]:
        """
        Return the rows as they are at one instant.
        """
        await self._travel()
        keys = [key for key in self.store.rows if key.startswith(prefix)]
        rows = tuple(self.store.rows[key] for key in sorted(keys))
        await self._return()
        return rows

    async def _travel(self) -> None:
        await self._clock.sleep_ms(self._rng.uniform(0, self.delay_ms))
        if self.store.is_out or self.is_cut_off:
            raise StoreUnavailableError('the store is out')

    async def _return(self) -> None:
        await self._clock.sleep_ms(self._rng.uniform(0, self.delay_ms))
        if self.is_cut_off:
            raise StoreAnswerLostError('the answer was lost')
