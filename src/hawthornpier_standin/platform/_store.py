"""
Simulates the table service, the object store and the host list in memory.
"""

import dataclasses
from collections import OrderedDict

from sortedcontainers import SortedDict

from hawthornpier.messages import (
    ABSENT_VERSION,
    HostListing,
    Row,
    RowCheck,
    Transaction,
    TransactionResult,
)
from hawthornpier.ports import (
    Clock,
    StoreReplyLostError,
    StoreUnavailableError,
)
from hawthornpier_standin.platform._faults import StoreFaults
from hawthornpier_standin.platform._hosts import HostListHistory
from hawthornpier_standin.platform._limits import RateLimit

# Covers two minutes at 500 transactions per second.  No writer repeats a
# transaction for that long.
_MAX_KEPT_RESULTS = 60_000


class MemoryStore:
    """
    Implements the ports `TableStore`, `ObjectStore` and `HostList` in memory.

    Row versions come from one counter for the whole store. A row that is
    deleted and created again therefore never gets a version that an earlier
    row of the same key had.

    Args:
        clock: Time source of delays, rate limits and the host list.
        kept_result_count: Number of transactions whose results are kept, oldest
            dropped first. A repeated transaction id gets the kept result.
        writes_per_s: Largest rate of transactions and stored objects, or 0
            for no limit.
        reads_per_s: Largest rate of all other calls, or 0 for no limit.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        kept_result_count: int = _MAX_KEPT_RESULTS,
        writes_per_s: float = 0,
        reads_per_s: float = 0,
    ) -> None:
        self.hosts = HostListHistory(now_ms=clock.monotonic_ms)
        self._clock = clock
        self._writes = RateLimit(clock=clock, per_s=writes_per_s)
        self._reads = RateLimit(clock=clock, per_s=reads_per_s)
        self._kept_result_count = kept_result_count
        self._faults = StoreFaults()
        self._last_version = ABSENT_VERSION
        self._rows: SortedDict = SortedDict()
        self._objects: dict[str, bytes] = {}
        self._results: OrderedDict[str, TransactionResult] = OrderedDict()

    @property
    def faults(self) -> StoreFaults:
        """
        The faults in force.

        `StoreFaults.lost_answer_count` decreases with each lost reply.
        """
        return self._faults

    def apply_faults(self, faults: StoreFaults) -> None:
        """
        Replace the faults in force.
        """
        self._faults = faults

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """
        Apply *transaction* atomically if all of its checks hold.

        Raises:
            StoreUnavailableError: The store is unavailable and applied nothing.
            StoreReplyLostError: The transaction was applied or had a conflict,
                and the reply is lost.
        """
        await self._begin_call(self._writes)
        outcome = self._results.get(transaction.transaction_id)
        if outcome is None:
            outcome = self._apply(transaction)
            self._keep_result(transaction.transaction_id, outcome)
        if self._faults.lost_answer_count:
            self._faults = dataclasses.replace(
                self._faults,
                lost_answer_count=self._faults.lost_answer_count - 1,
            )
            raise StoreReplyLostError(
                'a simulated fault discarded the reply of the store'
            )
        return outcome

    async def read(self, key: str) -> Row | None:
        """
        Return the row *key*, or None if there is none.
        """
        await self._begin_call(self._reads)
        return self._row(key)

    async def scan(self, prefix: str) -> tuple[Row, ...]:
        """
        Return all rows whose key starts with *prefix*, ordered by key.
        """
        await self._begin_call(self._reads)
        rows: list[Row] = []
        for key in self._rows.irange(minimum=prefix):
            if not key.startswith(prefix):
                break
            rows.append(self._rows[key])
        return tuple(rows)

    async def put(self, name: str, content: bytes) -> None:
        """
        Store *content* under *name*, replacing an object of the same name.
        """
        await self._begin_call(self._writes)
        self._objects[name] = content

    async def get(self, name: str) -> bytes | None:
        """
        Return the object *name*, or None if there is none.
        """
        await self._begin_call(self._reads)
        return self._objects.get(name)

    async def listing(self) -> HostListing:
        """
        Return the host list as of `StoreFaults.host_list_lag_ms` ago.
        """
        await self._begin_call(self._reads)
        return self.hosts.listing(self._faults.host_list_lag_ms)

    async def _begin_call(self, limit: RateLimit) -> None:
        self._raise_if_unavailable()
        await limit.wait_for_turn()
        if self._faults.added_delay_ms:
            await self._clock.sleep_ms(self._faults.added_delay_ms)
        # The outage may have begun during the wait.
        self._raise_if_unavailable()

    def _raise_if_unavailable(self) -> None:
        if self._faults.is_out:
            raise StoreUnavailableError(
                'the store is unavailable by a simulated outage'
            )

    def _row(self, key: str) -> Row | None:
        row: Row | None = self._rows.get(key)
        return row

    def _holds(self, check: RowCheck) -> bool:
        row = self._row(check.key)
        version = row.version if row else ABSENT_VERSION
        return check.version == version

    def _apply(self, transaction: Transaction) -> TransactionResult:
        failed = [
            self._row(check.key)
            for check in transaction.checks
            if not self._holds(check)
        ]
        if failed:
            return TransactionResult(
                is_committed=False,
                rows=tuple(row for row in failed if row),
            )
        written = tuple(
            self._write(put.key, put.text) for put in transaction.puts
        )
        for key in transaction.deletes:
            self._rows.pop(key, None)
        return TransactionResult(is_committed=True, rows=written)

    def _write(self, key: str, text: str) -> Row:
        self._last_version += 1
        row = Row(key=key, version=self._last_version, text=text)
        self._rows[key] = row
        return row

    def _keep_result(
        self, transaction_id: str, outcome: TransactionResult
    ) -> None:
        self._results[transaction_id] = outcome
        while len(self._results) > self._kept_result_count:
            self._results.popitem(last=False)
