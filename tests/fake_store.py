"""
An in-memory table service with faults, and a clock that can be paused.
"""

import asyncio
import random
from collections.abc import Callable

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
    *on_apply* sees each transaction just before its writes.
    """

    def __init__(
        self,
        *,
        forgets_ids: bool = False,
        ignores_checks: bool = False,
        on_apply: Callable[[Transaction], None] | None = None,
    ) -> None:
        self.rows: dict[str, Row] = {}
        self.applied: list[Transaction] = []
        self.is_out = False
        self._forgets_ids = forgets_ids
        self._ignores_checks = ignores_checks
        self.on_apply = on_apply
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
        if self.on_apply is not None:
            self.on_apply(transaction)
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
    The `TableStore` of one process, over a network with faults.

    *lost_percent* of the transactions lose their request or their answer.  A
    transaction that the caller has given up may still arrive, up to
    *delay_ms* after it was sent.
    """

    def __init__(
        self,
        store: FakeStore,
        clock: PausableClock,
        rng: random.Random,
    ) -> None:
        self.store = store
        self.lost_percent = 0
        self.delay_ms = 2
        self.is_cut_off = False
        self._clock = clock
        self._rng = rng
        self._arriving: set[asyncio.Task[TransactionResult | None]] = set()

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """
        Apply the transaction after a delay on the network.
        """
        self._refuse_if_cut_off()
        arriving = asyncio.ensure_future(self._arrive(transaction))
        self._arriving.add(arriving)
        arriving.add_done_callback(self._arriving.discard)
        answer = await asyncio.shield(arriving)
        if answer is None:
            raise StoreUnavailableError('the store is out')
        await self._return()
        if self._is_lost():
            raise StoreAnswerLostError('the answer was lost')
        return answer

    async def read(self, key: str) -> Row | None:
        """
        Return one row as it is at one instant.
        """
        return next(iter(await self._rows(lambda other: other == key)), None)

    async def scan(self, prefix: str) -> tuple[Row, ...]:
        """
        Return the rows as they are at one instant.
        """
        return await self._rows(lambda other: other.startswith(prefix))

    async def _rows(self, has_key: Callable[[str], bool]) -> tuple[Row, ...]:
        self._refuse_if_cut_off()
        await self._travel()
        if self.store.is_out:
            raise StoreUnavailableError('the store is out')
        rows = self.store.rows
        found = tuple(rows[key] for key in sorted(rows) if has_key(key))
        await self._return()
        return found

    async def _arrive(
        self,
        transaction: Transaction,
    ) -> TransactionResult | None:
        await self._travel()
        if self._is_lost():
            # Waits until the caller gives up.
            await asyncio.sleep(60)
        return None if self.store.is_out else self.store.apply(transaction)

    def _refuse_if_cut_off(self) -> None:
        if self.is_cut_off:
            raise StoreUnavailableError('no route to the store')

    def _is_lost(self) -> bool:
        return self._rng.randrange(100) < self.lost_percent

    async def _travel(self) -> None:
        await asyncio.sleep(self._rng.uniform(0, self.delay_ms) / 1000)

    async def _return(self) -> None:
        await self._travel()
        await self._clock.until_running()
        if self.is_cut_off:
            raise StoreAnswerLostError('the answer was lost')
