"""
An in-memory table service, for tests of the table and its commands.
"""

import asyncio
import itertools
import time
from types import MappingProxyType

from hawthornpier.messages import (
    ABSENT_VERSION,
    Row,
    Transaction,
    TransactionResult,
)
from hawthornpier.ports import StoreReplyLostError, StoreUnavailableError
from hawthornpier.table import hash_operator_key

FOUNDERS = MappingProxyType(
    {
        name: hash_operator_key(f'key of {name}', salt=b'salt of tests...')
        for name in ('yayasan', 'picking')
    }
)


class FakeStore:
    """
    An in-memory table service with injected failures.

    *failures* holds one entry for each of the next transactions: None,
    'unavailable', 'request_lost' or 'reply_lost'.  Without *deduplicates*, the
    store does not recognise the id of a repeated transaction and checks the
    transaction again.
    """

    def __init__(self, *, deduplicates: bool = True) -> None:
        self.failures: list[str | None] = []
        self.is_unavailable = False
        self._deduplicates = deduplicates
        self._results: dict[str, TransactionResult] = {}
        self._rows: dict[str, Row] = {}
        self._versions = itertools.count(1)

    async def transact(self, transaction: Transaction) -> TransactionResult:
        await asyncio.sleep(0)
        failure = self.failures.pop(0) if self.failures else None
        if failure == 'unavailable':
            raise StoreUnavailableError('injected outage')
        if failure == 'request_lost':
            raise StoreReplyLostError('injected loss of the request')
        result = self._results.get(transaction.transaction_id)
        if result is None or not self._deduplicates:
            result = self._apply(transaction)
            self._results[transaction.transaction_id] = result
        if failure == 'reply_lost':
            raise StoreReplyLostError('injected loss of the reply')
        return result

    async def read(self, key: str) -> Row | None:
        await asyncio.sleep(0)
        if self.is_unavailable:
            raise StoreUnavailableError('injected outage')
        return self._rows.get(key)

    async def scan(self, prefix: str) -> tuple[Row, ...]:
        await asyncio.sleep(0)
        return tuple(
            self._rows[key]
            for key in sorted(self._rows)
            if key.startswith(prefix)
        )

    def _apply(self, transaction: Transaction) -> TransactionResult:
        for check in transaction.checks:
            row = self._rows.get(check.key)
            version = row.version if row else ABSENT_VERSION
            if version != check.version:
                return TransactionResult(is_committed=False)
        for put in transaction.puts:
            self._rows[put.key] = Row(
                key=put.key,
                version=next(self._versions),
                text=put.text,
            )
        for key in transaction.deletes:
            self._rows.pop(key, None)
        return TransactionResult(is_committed=True)


class SystemClock:
    """
    A `Clock` that reads the clocks of the machine.
    """

    def monotonic_ms(self) -> int:
        return time.monotonic_ns() // 1000000

    def wall_ms(self) -> int:
        return time.time_ns() // 1000000

    async def sleep_ms(self, duration_ms: float) -> None:
        await asyncio.sleep(duration_ms / 1000)
