"""
Transactions that create, renew and delete a process row.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from hawthornpier.coordination._errors import LeaseLostError
from hawthornpier.coordination._link import (
    Backoff,
    StoreLink,
    read_with_retries,
    transact_until_settled,
)
from hawthornpier.coordination._rows import (
    LOST_PREFIX,
    PROCESS_PREFIX,
    ProcessIdentity,
    ProcessRow,
    decode,
    encode,
)
from hawthornpier.coordination._timings import LeaseTimings
from hawthornpier.messages import (
    ABSENT_VERSION,
    Row,
    RowCheck,
    RowPut,
    Transaction,
    TransactionResult,
)
from hawthornpier.ports import Clock


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseWrite:
    """
    The result of a transaction that includes a renewal of the lease.

    *rows* holds the written rows except the process row.
    """

    is_committed: bool
    incarnation: str
    rows: tuple[Row, ...] = ()


class LeaseRow:
    """
    Write the row `process/<id>` for the incarnations of this process.

    At most one task may call the methods at a time.

    Args:
        identity: The id, address and location of this process.
        link: The connection to the store.
        clock: The clock of this process.
        timings: The timings of leases, which must be equal in all processes.
        rng: The random source of incarnations and retry jitter.
    """

    def __init__(
        self,
        identity: ProcessIdentity,
        link: StoreLink,
        clock: Clock,
        timings: LeaseTimings,
        rng: random.Random,
    ) -> None:
        self.key = PROCESS_PREFIX + identity.process_id
        self.is_leaving = False
        self.version: int | None = None
        self.renewed_ms = 0
        self.backoff = Backoff(
            clock,
            rng,
            min_ms=timings.retry_min_ms,
            max_ms=timings.retry_max_ms,
        )
        self._identity = identity
        self._link = link
        self._clock = clock
        self._timings = timings
        self._rng = rng
        self._renewal_count = 0
        self._transaction_count = 0
        self.incarnation = self._new_incarnation()

    async def create(self) -> bool:
        """
        Wait until the row is absent or expired, and write it.

        Returns:
            Whether this incarnation now holds the row; if not, call again.

        Raises:
            StoreUnavailableError: Nothing was written.
        """
        version = await self._wait_for_expiry()
        self._renewal_count += 1
        transaction = Transaction(
            transaction_id=self._next_transaction_id(),
            checks=(RowCheck(key=self.key, version=version),),
            puts=(RowPut(key=self.key, text=self._encode_row()),),
            deletes=(LOST_PREFIX + self._identity.process_id,),
        )
        sent_ms, reply = await self._transact(transaction)
        if reply.is_committed:
            self._record_renewal(sent_ms, reply.rows)
            return True
        row = await read_with_retries(self._link, self.key, self.backoff)
        if row is None or not self._is_own(row):
            return False
        self._record_renewal(sent_ms, (row,))
        return True

    async def renew(
        self,
        checks: Iterable[RowCheck],
        puts: Iterable[RowPut],
        deletes: Iterable[str],
    ) -> LeaseWrite | None:
        """
        Renew the row in one transaction with other writes.

        Returns:
            The result, or None if another process replaced or deleted the
            row; a new incarnation has then been drawn.

        Raises:
            LeaseLostError: This process has no row.
            StoreUnavailableError: Nothing was written.
        """
        if self.version is None:
            message = f'this process has no row {self.key}'
            raise LeaseLostError(message)
        self._renewal_count += 1
        transaction = Transaction(
            transaction_id=self._next_transaction_id(),
            checks=(
                RowCheck(key=self.key, version=self.version),
                *(check for check in checks if check.key != self.key),
            ),
            puts=(RowPut(key=self.key, text=self._encode_row()), *puts),
            deletes=tuple(deletes),
        )
        sent_ms, reply = await self._transact(transaction)
        if reply.is_committed:
            return self._record_renewal(sent_ms, reply.rows)
        return await self._resolve_conflict(sent_ms, transaction)

    async def delete(self) -> bool:
        """
        Delete the row.

        Returns:
            True if this call certainly deleted the row.

        Raises:
            StoreUnavailableError: Nothing was written.
        """
        if self.version is None:
            return False
        transaction = Transaction(
            transaction_id=self._next_transaction_id(),
            checks=(RowCheck(key=self.key, version=self.version),),
            deletes=(self.key,),
        )
        _, reply = await self._transact(transaction)
        self.version = None
        return reply.is_committed

    async def _resolve_conflict(
        self,
        sent_ms: int,
        transaction: Transaction,
    ) -> LeaseWrite | None:
        """
        Read the row to distinguish a lost lease from another failed check.

        The rows of a conflict are not enough, since they leave out absent
        rows.  If the row has the renewal count of this transaction, then the
        transaction was applied: its reply was lost, and the store did not
        remember its id when it was sent again.
        """
        row = await read_with_retries(self._link, self.key, self.backoff)
        if row is None or not self._is_own(row):
            self._start_incarnation()
            return None
        self.version = row.version
        if decode(row, ProcessRow).beat != self._renewal_count:
            return LeaseWrite(is_committed=False, incarnation=self.incarnation)
        rows = [row]
        for put in transaction.puts[1:]:
            written = await read_with_retries(self._link, put.key, self.backoff)
            if written is not None and written.text == put.text:
                rows.append(written)
        return self._record_renewal(sent_ms, rows)

    def _record_renewal(self, sent_ms: int, rows: Iterable[Row]) -> LeaseWrite:
        others = []
        for row in rows:
            if row.key == self.key:
                self.version = row.version
            else:
                others.append(row)
        self.renewed_ms = sent_ms
        self.backoff.reset()
        return LeaseWrite(
            is_committed=True,
            incarnation=self.incarnation,
            rows=tuple(others),
        )

    def _start_incarnation(self) -> None:
        self.version = None
        self.incarnation = self._new_incarnation()
        self._renewal_count = 0

    async def _wait_for_expiry(self) -> int:
        """
        Wait until the row is absent or certainly expired.

        The row of another incarnation belongs to an earlier run of this
        process or to another process that was started with the same id by
        mistake.

        Returns:
            The version of the expired row, or `ABSENT_VERSION`.
        """
        observed_version = ABSENT_VERSION
        observed_ms = 0
        while True:
            row = await read_with_retries(self._link, self.key, self.backoff)
            now_ms = self._clock.monotonic_ms()
            if row is None:
                return ABSENT_VERSION
            if row.version != observed_version:
                observed_version = row.version
                observed_ms = now_ms
            if now_ms - observed_ms >= self._timings.takeover_after_ms:
                return row.version
            await self._clock.sleep_ms(self._timings.renew_interval_ms)

    async def _transact(
        self,
        transaction: Transaction,
    ) -> tuple[int, TransactionResult]:
        return await transact_until_settled(
            self._link,
            transaction,
            self._clock,
            self.backoff,
        )

    def _is_own(self, row: Row) -> bool:
        return decode(row, ProcessRow).incarnation == self.incarnation

    def _encode_row(self) -> str:
        return encode(
            ProcessRow(
                incarnation=self.incarnation,
                address=self._identity.address,
                region=self._identity.region,
                failure_domain=self._identity.failure_domain,
                beat=self._renewal_count,
                is_leaving=self.is_leaving,
            ),
        )

    def _next_transaction_id(self) -> str:
        self._transaction_count += 1
        owner = f'{self._identity.process_id}.{self.incarnation}'
        return f'lease.{owner}.{self._transaction_count}'

    def _new_incarnation(self) -> str:
        return f'{self._rng.getrandbits(64):016x}'
