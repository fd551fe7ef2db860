"""
Calls to the store with a timeout, and whether the store answers.
"""

import asyncio
import random
from collections.abc import Awaitable
from typing import TypeVar

from hawthornpier.coordination._timings import LeaseTimings
from hawthornpier.messages import (
    EventKind,
    Row,
    Transaction,
    TransactionResult,
)
from hawthornpier.ports import (
    Clock,
    EventSink,
    StoreError,
    StoreReplyLostError,
    StoreUnavailableError,
    TableStore,
)

_Result = TypeVar('_Result')


class StoreLink:
    """
    A `TableStore` that bounds every call in time and watches for outages.

    A process has one link, which all parts of the coordination layer share.
    Only transactions count for outages: a store that still answers reads
    but takes no writes is out.

    Args:
        store: The store to call.
        clock: The clock of this process.
        timings: The timeout, and after which time an outage is reported.
        events: Where outages are recorded.
    """

    def __init__(
        self,
        store: TableStore,
        clock: Clock,
        timings: LeaseTimings,
        *,
        events: EventSink | None = None,
    ) -> None:
        self._store = store
        self._clock = clock
        self._timings = timings
        self._events = events
        self._failing_since_ms: int | None = None
        self._last_answered_sent_ms = clock.monotonic_ms()
        self._is_outage_reported = False

    @property
    def is_out(self) -> bool:
        """
        Tell whether transactions have failed for `store_out_after_ms`.
        """
        if self._failing_since_ms is None:
            return False
        failing_ms = self._clock.monotonic_ms() - self._failing_since_ms
        return failing_ms >= self._timings.store_out_after_ms

    @property
    def age_ms(self) -> int:
        """
        Return the time since the last answered transaction was sent.
        """
        return self._clock.monotonic_ms() - self._last_answered_sent_ms

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """
        Apply *transaction*; a timeout counts as a lost answer.

        Raises:
            StoreUnavailableError: Nothing was applied.
            StoreReplyLostError: It may have been applied.
        """
        sent_ms = self._clock.monotonic_ms()
        try:
            answer = await self._call_with_timeout(
                self._store.transact(transaction)
            )
        except StoreError:
            self._record_failure(sent_ms)
            raise
        self._record_reply(sent_ms)
        return answer

    async def read(self, key: str) -> Row | None:
        """
        Return the row *key*, or None if there is none.
        """
        return await self._call_with_timeout(self._store.read(key))

    async def scan(self, prefix: str) -> tuple[Row, ...]:
        """
        Return all rows whose key starts with *prefix*.
        """
        return await self._call_with_timeout(self._store.scan(prefix))

    async def _call_with_timeout(self, call: Awaitable[_Result]) -> _Result:
        try:
            async with asyncio.timeout(self._timings.store_timeout_ms / 1000):
                return await call
        except TimeoutError as error:
            raise StoreReplyLostError('the store did not answer') from error

    def _record_failure(self, sent_ms: int) -> None:
        if self._failing_since_ms is None:
            self._failing_since_ms = sent_ms
        if self.is_out and not self._is_outage_reported:
            self._is_outage_reported = True
            self._record(EventKind.STORE_OUT)

    def _record_reply(self, sent_ms: int) -> None:
        self._last_answered_sent_ms = max(self._last_answered_sent_ms, sent_ms)
        self._failing_since_ms = None
        if self._is_outage_reported:
            self._is_outage_reported = False
            self._record(EventKind.STORE_BACK)

    def _record(self, kind: EventKind) -> None:
        if self._events is not None:
            self._events.record(kind)


class Backoff:
    """
    Sleeps that grow and have full jitter, so that retries spread out.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        *,
        min_ms: int,
        max_ms: int,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._min_ms = min_ms
        self._max_ms = max_ms
        self._bound_ms = min_ms

    def reset(self) -> None:
        """
        Start again with the shortest sleep.
        """
        self._bound_ms = self._min_ms

    async def sleep(self) -> None:
        """
        Sleep for a random time up to a bound that doubles.
        """
        bound_ms = self._bound_ms
        self._bound_ms = min(self._max_ms, bound_ms * 2)
        await self._clock.sleep_ms(self._rng.uniform(bound_ms / 2, bound_ms))


async def transact_until_settled(
    link: TableStore,
    transaction: Transaction,
    clock: Clock,
    backoff: Backoff,
) -> tuple[int, TransactionResult]:
    """
    Send *transaction* until it is certain what became of it.

    Returns:
        The time before the earliest sending that may have been applied, and
        the result.

    Raises:
        StoreUnavailableError: The first sending was refused, so nothing was
            applied.
    """
    sent_ms = clock.monotonic_ms()
    is_maybe_applied = False
    while True:
        try:
            return sent_ms, await link.transact(transaction)
        except StoreReplyLostError:
            is_maybe_applied = True
        except StoreUnavailableError:
            if not is_maybe_applied:
                raise
        await backoff.sleep()


async def read_with_retries(
    link: TableStore,
    key: str,
    backoff: Backoff,
) -> Row | None:
    """
    Read one row, repeating the reading until the store answers.
    """
    while True:
        try:
            return await link.read(key)
        except StoreError:
            await backoff.sleep()
