"""
Store calls with timeouts and retries, and the detection of outages.
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
    A `TableStore` that adds a timeout to every call and detects outages.

    A process has one link, which all parts of the coordination layer share.
    Only transactions count for outages: a store that replies to reads but
    does not accept writes is out.

    Args:
        store: The store to call.
        clock: The clock of this process.
        timings: The timeout of calls, and how long transactions must fail
            before the store counts as out.
        events: Records the start and the end of outages.
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
        self._last_replied_sent_ms = clock.monotonic_ms()
        self._is_outage_reported = False

    @property
    def is_out(self) -> bool:
        """
        Return whether transactions have failed for `store_out_after_ms`.
        """
        if self._failing_since_ms is None:
            return False
        failing_ms = self._clock.monotonic_ms() - self._failing_since_ms
        return failing_ms >= self._timings.store_out_after_ms

    @property
    def reply_age_ms(self) -> int:
        """
        Return the age of the last reply to a transaction, in ms.

        The age is measured from when that transaction was sent.
        """
        return self._clock.monotonic_ms() - self._last_replied_sent_ms

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """
        Apply *transaction*; a timeout counts as a lost reply.

        Raises:
            StoreUnavailableError: Nothing was applied.
            StoreReplyLostError: It may have been applied.
        """
        sent_ms = self._clock.monotonic_ms()
        try:
            reply = await self._call_with_timeout(
                self._store.transact(transaction)
            )
        except StoreError:
            self._record_failure(sent_ms)
            raise
        self._record_reply(sent_ms)
        return reply

    async def read(self, key: str) -> Row | None:
        """
        Return the row with the key *key*, or None if there is none.
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
            raise StoreReplyLostError('the store did not reply') from error

    def _record_failure(self, sent_ms: int) -> None:
        if self._failing_since_ms is None:
            self._failing_since_ms = sent_ms
        if self.is_out and not self._is_outage_reported:
            self._is_outage_reported = True
            self._record(EventKind.STORE_OUT)

    def _record_reply(self, sent_ms: int) -> None:
        self._last_replied_sent_ms = max(self._last_replied_sent_ms, sent_ms)
        self._failing_since_ms = None
        if self._is_outage_reported:
            self._is_outage_reported = False
            self._record(EventKind.STORE_BACK)

    def _record(self, kind: EventKind) -> None:
        if self._events is not None:
            self._events.record(kind)


class Backoff:
    """
    Exponential backoff with jitter between retries.
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
        Restart with the shortest delay.
        """
        self._bound_ms = self._min_ms

    async def sleep(self) -> None:
        """
        Sleep for half to all of a bound that doubles with each call.
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
    Send *transaction* until its outcome is known.

    Returns:
        The monotonic time before the first attempt, and the result.

    Raises:
        StoreUnavailableError: The first attempt failed; nothing was applied.
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
    Read one row, with retries until the store replies.
    """
    while True:
        try:
            return await link.read(key)
        except StoreError:
            await backoff.sleep()
