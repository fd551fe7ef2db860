"""
Ownership of a shard: watching its owner row in the store and claiming it.
"""

import asyncio
import random

import msgspec

from hawthornpier.decoding import DecodingError, decode_json
from hawthornpier.events import DecisionLog
from hawthornpier.fleet._claim_turn import ClaimTurn
from hawthornpier.fleet._errors import HistoryGoneError
from hawthornpier.fleet._lease_view import LeaseView
from hawthornpier.fleet._permits import PausePermit
from hawthornpier.fleet._ports import (
    RecordStore,
    RowPage,
    RowTransaction,
    StoredRow,
)
from hawthornpier.fleet._process_directory import ProcessDirectory
from hawthornpier.fleet._timings import OwnershipTimings
from hawthornpier.fleet._writer import (
    FENCE_KEY,
    FENCE_TABLE,
    OWNER_KEY,
    OWNER_TABLE,
    FenceRow,
    OwnerRow,
    ProcessCard,
    ShardWriter,
    decode_fence,
)
from hawthornpier.ports import Clock, StoreError


class Ownership:
    """
    Watches the owner row of one shard and claims the shard when it is vacant.

    A claim is safe at any time, because its epoch fences off the previous
    owner at the store and at the workers.  The lease only avoids unnecessary
    changes of the owner.

    Args:
        store: The platform's store.
        shard: The shard's name, which is also its partition of the store.
        card: The identity of this process.
        clock: The clock of this process.
        timings: Durations concerning ownership.
        log: The log of scheduling decisions.
        rng: The source of jitter.
        directory: The registered processes, whose hosts may be larger.
    """

    def __init__(
        self,
        store: RecordStore,
        shard: str,
        *,
        card: ProcessCard,
        clock: Clock,
        timings: OwnershipTimings,
        log: DecisionLog,
        rng: random.Random,
        directory: ProcessDirectory,
    ) -> None:
        self.shard = shard
        self.owner: OwnerRow | None = None
        self.is_candidate = True
        self.turn = ClaimTurn(
            card,
            directory=directory,
            clock=clock,
            timings=timings,
            rng=rng,
        )
        self._store = store
        self._card = card
        self._clock = clock
        self._timings = timings
        self._log = log
        self._owner_version = 0
        # The table version as of the last read; None if the owner row has to
        # be read instead of its changes.
        self._watched_version: int | None = None
        self._lease = LeaseView(clock, timings)
        # The process that has ended or given up the shard, and its epoch then.
        self._ended_owner: tuple[str, int] | None = None
        # Set to interrupt a pending read of changes.
        self._process_ended = asyncio.Event()

    @property
    def address(self) -> str:
        """
        Return the owner's address, or an empty string if there is no owner.
        """
        if self.owner is None or self.owner.is_released:
            return ''
        return self.owner.card.address

    @property
    def is_own(self) -> bool:
        """
        Return whether the owner row names this process.
        """
        owner = self.owner
        return (
            owner is not None
            and not owner.is_released
            and owner.card.process_id == self._card.process_id
        )

    @property
    def watched_epoch(self) -> int:
        """
        Return the epoch of the owner that this process would follow.

        Returns:
            0 if the store cannot be read or this process is leaving.
        """
        if not self._lease.is_readable or not self.is_candidate:
            return 0
        return 0 if self.owner is None else self.owner.epoch

    def report_owner_ended(self, owner: OwnerRow) -> None:
        """
        Report that an owner has ended or has given up the shard.

        While the owner row names it in that epoch, the shard is vacant despite
        its lease.  The process may be the owner again in a later epoch.

        Args:
            owner: The owner row that named the process.
        """
        self._ended_owner = (owner.card.process_id, owner.epoch)
        self._process_ended.set()

    async def follow_until_claimed(self) -> ShardWriter:
        """
        Watch the owner row until this process has claimed the shard.

        Returns:
            The writer that holds the claim.
        """
        self._watched_version = None
        while True:
            try:
                await self._read_owner_row()
            except StoreError as error:
                if self._lease.is_readable:
                    self._log.record('store_lost', why=str(error))
                self._lease.record_failure()
                await self._sleep(self._timings.retry_max_ms)
                continue
            writer = await self._claim_if_vacant()
            if writer is not None:
                return writer

    async def _claim_if_vacant(self) -> ShardWriter | None:
        reason = self._vacancy_reason()
        if not reason or not self.is_candidate:
            return None
        await self.turn.wait(self.owner)
        # This process may be leaving by now.
        if not self.is_candidate:
            return None
        try:
            return await self._claim(reason)
        except StoreError as error:
            self._log.record('claim_failed', why=str(error))
            self._watched_version = None
            return None

    async def _read_owner_row(self) -> None:
        started_ms = self._clock.monotonic_ms()
        if self._watched_version is None:
            page = await self._store.read(OWNER_TABLE, self.shard)
            spent_ms = self._clock.monotonic_ms() - started_ms
            self.turn.record_store_response(spent_ms)
            if not page.rows:
                self.owner = None
                self._owner_version = 0
        else:
            page = await self._wait_for_change(self._watched_version)
        self._watched_version = page.version
        for row in page.rows:
            if row.part == self.shard:
                self._apply_row(row)
        self._lease.record_read(started_ms, page.store_ms)

    async def _wait_for_change(self, version: int) -> RowPage:
        """
        Read the next change, or the row once a process is reported ended.
        """
        changes = asyncio.ensure_future(
            self._store.changes(
                OWNER_TABLE,
                after_version=version,
                wait_ms=self._lease.watch_wait_ms(self.owner),
            ),
        )
        ended = asyncio.ensure_future(self._process_ended.wait())
        await asyncio.wait(
            (changes, ended),
            return_when=asyncio.FIRST_COMPLETED,
        )
        ended.cancel()
        if self._process_ended.is_set() and not changes.done():
            self._process_ended.clear()
            changes.cancel()
            return await self._store.read(OWNER_TABLE, self.shard)
        self._process_ended.clear()
        try:
            return await changes
        except HistoryGoneError:
            return await self._store.read(OWNER_TABLE, self.shard)

    def _apply_row(self, row: StoredRow) -> None:
        if row.version < self._owner_version:
            return
        self._owner_version = row.version
        if row.is_deleted:
            self.owner = None
            return
        try:
            owner = decode_json(row.content, OwnerRow)
        except DecodingError as error:
            # The last readable row holds, and its owner will renew it.
            self._log.record('owner_row_unreadable', why=str(error))
            return
        previous = self.owner
        self.owner = owner
        if previous is None or previous.epoch != owner.epoch:
            self._log.record(
                'owner_changed',
                shard=self.shard,
                owner=owner.card.process_id,
                epoch=owner.epoch,
                version=row.version,
            )

    def _vacancy_reason(self) -> str:
        """
        Return why the shard may be claimed, or '' if it may not.
        """
        owner = self.owner
        if owner is None:
            return 'no owner yet'
        reasons = (
            ('released', owner.is_released),
            (
                'owner process has ended or given up the shard',
                (owner.card.process_id, owner.epoch) == self._ended_owner,
            ),
            (
                'owner was an earlier process at the address of this one',
                owner.card.address == self._card.address,
            ),
            ('lease expired', self._lease.has_expired(owner)),
        )
        return next((reason for reason, holds in reasons if holds), '')

    async def _claim(self, reason: str) -> ShardWriter | None:
        read = await self._store.read(OWNER_TABLE, self.shard)
        for row in read.rows:
            if row.version != self._owner_version:
                self._apply_row(row)
                self._watched_version = read.version
                return None
        epoch = 1 + await self._last_epoch()
        owner = OwnerRow(
            card=self._card,
            epoch=epoch,
            until_ms=read.store_ms + self._timings.lease_ms,
        )
        fence = FenceRow(
            process_id=self._card.process_id,
            epoch=epoch,
            sequence=0,
        )
        # If this process is suspended before it reads the reply, another one
        # may have claimed the shard by then.
        permit = PausePermit(self._clock)
        outcome = await self._store.transact(
            RowTransaction(
                part=self.shard,
                expected={OWNER_KEY: self._owner_version},
                writes={
                    OWNER_KEY: msgspec.json.encode(owner),
                    FENCE_KEY: msgspec.json.encode(fence),
                },
            ),
            timeout_ms=self._timings.store_timeout_ms,
        )
        if not outcome.is_applied:
            self._watched_version = None
            return None
        predecessor = self.owner
        self.owner = owner
        self._owner_version = outcome.version
        self._log.record(
            'shard_claimed',
            shard=self.shard,
            epoch=epoch,
            why=reason,
            version=outcome.version,
        )
        return ShardWriter(
            self._store,
            self.shard,
            card=self._card,
            epoch=epoch,
            claim_outcome=outcome,
            permit=permit,
            predecessor=predecessor,
            clock=self._clock,
            timings=self._timings,
        )

    async def _last_epoch(self) -> int:
        """
        Return the last epoch, or 0 if there was none.

        If no readable owner row is known, the fence may tell.
        """
        if self.owner is not None:
            return self.owner.epoch
        page = await self._store.read(FENCE_TABLE, self.shard)
        fences = [decode_fence(row) for row in page.rows]
        return max((fence.epoch for fence in fences if fence), default=0)

    async def _sleep(self, duration_ms: float) -> None:
        await self._clock.sleep_ms(duration_ms)
