"""
The lease of a process, which covers all shards that it owns.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable

from hawthornpier.coordination._errors import LeaseLostError
from hawthornpier.coordination._lease_row import LeaseRow, LeaseWrite
from hawthornpier.coordination._link import StoreLink
from hawthornpier.coordination._rows import ProcessIdentity
from hawthornpier.coordination._timings import LeaseTimings
from hawthornpier.messages import EventKind, RowCheck, RowPut
from hawthornpier.ports import Clock, EventSink, StoreError


class ProcessLease:
    """
    Acquire the row `process/<id>` and keep it renewed.

    All writes that depend on the lease go through `transact`, one at a time,
    and each renews the lease.  The version of the row is thus always known,
    and a claim never conflicts with a renewal by the same process.

    Args:
        identity: The id, address and location of this process.
        link: The connection to the store.
        clock: The clock of this process.
        timings: The timings of leases, which must be equal in all processes.
        on_deposed: Awaited after another process replaced or deleted the row.
        rng: The random source of incarnations and retry jitter.
        events: Records when the lease is gained or lost.
    """

    def __init__(
        self,
        identity: ProcessIdentity,
        link: StoreLink,
        clock: Clock,
        timings: LeaseTimings,
        *,
        on_deposed: Callable[[], Awaitable[None]] | None = None,
        rng: random.Random | None = None,
        events: EventSink | None = None,
    ) -> None:
        self.identity = identity
        self.timings = timings
        self.on_deposed = on_deposed
        self._link = link
        self._clock = clock
        self._events = events
        self._row = LeaseRow(
            identity,
            link,
            clock,
            timings,
            rng or random.SystemRandom(),
        )
        self._lock = asyncio.Lock()
        self._is_released = False

    @property
    def process_id(self) -> str:
        """
        Return the id of this process.
        """
        return self.identity.process_id

    @property
    def incarnation(self) -> str:
        """
        Return the random token that is replaced whenever the lease is lost.
        """
        return self._row.incarnation

    @property
    def version(self) -> int | None:
        """
        Return the version of the process row, or None if there is no row.
        """
        return self._row.version

    @property
    def is_held(self) -> bool:
        """
        Return whether the lease is certainly still valid.
        """
        return self.remaining_ms > 0

    @property
    def is_leaving(self) -> bool:
        """
        Return whether this process has announced that it stops.
        """
        return self._row.is_leaving

    @property
    def remaining_ms(self) -> int:
        """
        Return how long the lease is still valid, in ms; 0 without a lease.

        The lease is measured from before the last applied renewal was sent,
        so it ends before any observer can consider it expired.
        """
        if self._row.version is None or self._is_released:
            return 0
        elapsed_ms = self._clock.monotonic_ms() - self._row.renewed_ms
        return max(0, self.timings.lease_ms - elapsed_ms)

    @property
    def is_store_out(self) -> bool:
        """
        Return whether the store accepts no writes.
        """
        return self._link.is_out

    @property
    def store_reply_age_ms(self) -> int:
        """
        Return the age of the last reply to a transaction, in ms.

        The age is measured from when that transaction was sent.
        """
        return self._link.reply_age_ms

    async def run(self) -> None:
        """
        Acquire the lease and renew it until it is released.
        """
        while not self._is_released:
            try:
                await self._acquire_or_renew()
            except StoreError:
                await self._row.backoff.sleep()
            except LeaseLostError:
                self._row.backoff.reset()

    async def transact(
        self,
        checks: Iterable[RowCheck],
        puts: Iterable[RowPut],
        deletes: Iterable[str] = (),
    ) -> LeaseWrite:
        """
        Apply writes that require the lease of this process, and renew it.

        Args:
            checks: Row versions that the writes require.
            puts: Rows to write.
            deletes: Keys of rows to delete.

        Raises:
            LeaseLostError: This process has no process row, or found that
                another process has replaced or deleted it.
            StoreUnavailableError: Nothing was applied.
        """
        if self._row.version is None:
            # Don't wait for the lock: the task that acquires the lease holds
            # it until the row of another incarnation has expired.
            message = f'this process has no row {self._row.key}'
            raise LeaseLostError(message)
        async with self._lock:
            written = await self._row.renew(checks, puts, deletes)
        if written is None:
            self._record(EventKind.LEASE_LOST, 'deposed')
            if self.on_deposed is not None:
                await self.on_deposed()
            message = f'the row {self._row.key} was lost to another process'
            raise LeaseLostError(message)
        return written

    async def announce_leaving(self) -> None:
        """
        Announce in the process row that this process stops soon.

        Raises:
            LeaseLostError: This process has no process row.
            StoreUnavailableError: Nothing was written; the next renewal
                writes the announcement.
        """
        self._row.is_leaving = True
        await self.transact((), ())

    async def release(self) -> bool:
        """
        Release the lease and delete the process row.

        All shards must have been handed over before.

        Returns:
            True if this call deleted the row, otherwise False; a row that is
            left expires.
        """
        self._is_released = True
        try:
            async with asyncio.timeout(self.timings.release_timeout_ms / 1000):
                return await self._delete()
        except TimeoutError:
            return False

    async def _delete(self) -> bool:
        while True:
            try:
                async with self._lock:
                    is_deleted = await self._row.delete()
            except StoreError:
                await self._row.backoff.sleep()
            else:
                self._record(EventKind.LEASE_LOST, 'released')
                return is_deleted

    async def _acquire_or_renew(self) -> None:
        if self._row.version is None:
            async with self._lock:
                # `release` may have deleted the row while this task waited.
                if self._is_released or not await self._row.create():
                    return
            self._record(EventKind.LEASE_GAINED, self._row.incarnation)
            return
        elapsed_ms = self._clock.monotonic_ms() - self._row.renewed_ms
        wait_ms = self.timings.renew_interval_ms - elapsed_ms
        if wait_ms > 0:
            await self._clock.sleep_ms(wait_ms)
        else:
            await self.transact((), ())

    def _record(self, kind: EventKind, detail: str) -> None:
        if self._events is not None:
            self._events.record(kind, detail=detail)
