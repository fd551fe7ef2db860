"""
The writes to the row of a process lease.
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
    The result of a transaction that renewed the lease as well.

    *rows* holds the rows that were written besides the process row.
    """

    is_committed: bool
    incarnation: str
    rows: tuple[Row, ...] = ()


class LeaseRow:
    """
    The row `process/<id>` of one incarnation after another.

    It is not safe to call it from two tasks at the same time.

    Args:
        identity: Who this process is.
        link: The store.
        clock: The clock of this process.
        timings: Durations, the same in all processes.
        rng: The source of incarnations and of jitter.
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
        Write the row once no other incarnation holds it any more.

        Returns:
            Whether the row is this process's; if not, call again.

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
        sent_ms, answer = await self._transact(transaction)
        if answer.is_committed:
            self._record_renewal(sent_ms, answer.rows)
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
        Renew the row together with other writes.

        Returns:
            The result, or None after the row was lost.

        Raises:
            LeaseLostError: There is no row.
            StoreUnavailableError: Nothing was written.
        """
        if self.version is None:
            message = f'there is no row {self.key}'
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
        sent_ms, answer = await self._transact(transaction)
        if answer.is_committed:
            return self._record_renewal(sent_ms, answer.rows)
        return await self._resolve_conflict(sent_ms, transaction)

    async def delete(self) -> bool:
        """
        Delete the row.

        Returns:
            Whether it is certain that this call deleted the row.

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
        _, answer = await self._transact(transaction)
        self.version = None
        return answer.is_committed

    async def _resolve_conflict(
        self,
        sent_ms: int,
        transaction: Transaction,
    ) -> LeaseWrite | None:
        """
        Tell a lost lease from another failed check by reading the row.

        A conflict leaves out absent rows, so it does not tell by itself.  The
        beat tells whether this very transaction was applied, in case that
        the store did not remember its id after a lost answer.
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

        A row with another incarnation belongs to an earlier run of this
        process or, by mistake, to another process with the same id.
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
