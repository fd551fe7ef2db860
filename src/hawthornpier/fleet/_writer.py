"""
Fenced writes of a shard's owner to the store.
"""

import asyncio
import dataclasses

import msgspec

from hawthornpier.decoding import DecodingError, decode_json
from hawthornpier.fleet._errors import ShardLostError
from hawthornpier.fleet._permits import PausePermit
from hawthornpier.fleet._ports import (
    RecordStore,
    RowTransaction,
    StoredRow,
    TransactionOutcome,
)
from hawthornpier.fleet._timings import OwnershipTimings
from hawthornpier.ports import Clock

OWNER_TABLE = 'owners'
FENCE_TABLE = 'fences'
INTAKE_TABLE = 'intake'
PROGRESS_TABLE = 'progress'
_ROW_KEY = 'row'

RowKey = tuple[str, str]
OWNER_KEY: RowKey = (OWNER_TABLE, _ROW_KEY)
FENCE_KEY: RowKey = (FENCE_TABLE, _ROW_KEY)


class ProcessCard(msgspec.Struct, frozen=True, kw_only=True):
    """
    The identity, address and host properties of an entry process.

    A restarted process has another *process_id*.
    """

    process_id: str
    address: str
    failure_domain: str = ''
    region: str = ''
    processor_cores: float = 1
    link_mbps: float = 1_000


class OwnerRow(msgspec.Struct, frozen=True, kw_only=True):
    """
    The owner of a shard and the end of its lease.

    *until_ms* is on the store's monotonic clock.  *successor_id* names the
    process that is to claim a released shard, if there is one.
    """

    card: ProcessCard
    epoch: int
    until_ms: int
    is_released: bool = False
    successor_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Release:
    """
    How an owner releases its shard.

    Attributes:
        successor_id: The process that is to claim the shard, if there is one.
    """

    successor_id: str = ''


class FenceRow(msgspec.Struct, frozen=True, kw_only=True):
    """
    The fence of a shard, which identifies the last write of its owner.

    Every transaction of the owner rewrites this row on condition that it
    still has the version of the previous transaction.  A delayed transaction
    therefore cannot overwrite newer rows, nor can a deposed owner write.
    """

    process_id: str
    epoch: int
    sequence: int


def decode_fence(row: StoredRow) -> FenceRow | None:
    """
    Decode the fence of a shard; return None if it is unreadable.
    """
    try:
        return decode_json(row.content, FenceRow)
    except DecodingError:
        return None


class ShardWriter:
    """
    Writes to a shard's partition, one transaction at a time.

    Writes succeed only while this process owns the shard.

    Args:
        store: The platform's store.
        shard: The shard's name, which is also its partition of the store.
        card: The identity of this process.
        epoch: The epoch of the claim.
        claim_outcome: The result of the transaction that claimed the shard.
        permit: The permission by the claim, from when it was sent.
        predecessor: The owner row that the claim replaced, if there was one.
        clock: The clock of this process.
        timings: Durations concerning ownership.
    """

    def __init__(
        self,
        store: RecordStore,
        shard: str,
        *,
        card: ProcessCard,
        epoch: int,
        claim_outcome: TransactionOutcome,
        permit: PausePermit,
        predecessor: OwnerRow | None,
        clock: Clock,
        timings: OwnershipTimings,
    ) -> None:
        self.shard = shard
        self.epoch = epoch
        self.permit = permit
        self.predecessor = predecessor
        self._store = store
        self._card = card
        self._clock = clock
        self._timings = timings
        self._fence_version = claim_outcome.version
        self._sequence = 0
        # Serializes transactions, so that the release cannot be applied before
        # a write that is in flight.
        self._lock = asyncio.Lock()
        # The store's clock in its last response, and the local monotonic time
        # of that response.
        self._store_time_ms = claim_outcome.store_ms
        self._store_time_read_ms = clock.monotonic_ms()
        self.renewed_ms = clock.monotonic_ms()

    @property
    def is_successor(self) -> bool:
        """
        Return whether the previous owner named this process as its successor.
        """
        previous = self.predecessor
        return (
            previous is not None
            and previous.successor_id == self._card.process_id
        )

    @property
    def is_renewal_due(self) -> bool:
        """
        Return whether the lease in the owner row has to be renewed.
        """
        age_ms = self._clock.monotonic_ms() - self.renewed_ms
        return age_ms >= self._timings.renew_interval_ms

    async def write(
        self,
        writes: dict[RowKey, bytes],
        removals: tuple[RowKey, ...] = (),
        *,
        release: Release | None = None,
    ) -> None:
        """
        Write and remove rows in one transaction.

        The transaction also renews the lease if a renewal is due.

        Args:
            writes: New contents by row key.
            removals: Keys of the rows to remove.
            release: How to release the shard, so that another process may
                claim it at once; None to keep it.

        Raises:
            ShardLostError: Another process owns the shard.
            StoreError: The transaction was not applied, or it is unknown
                whether it was.
        """
        async with self._lock:
            await self._write(writes, removals, release)

    async def _write(
        self,
        writes: dict[RowKey, bytes],
        removals: tuple[RowKey, ...],
        release: Release | None,
    ) -> None:
        sent_ms = self._clock.monotonic_ms()
        is_renewal = release is not None or self.is_renewal_due
        transaction = self._transaction(
            writes,
            removals,
            owner=self._owner_row(release) if is_renewal else None,
        )
        outcome = await self._apply(transaction)
        self._fence_version = outcome.version
        self._store_time_ms = outcome.store_ms
        self._store_time_read_ms = self._clock.monotonic_ms()
        if is_renewal:
            self.renewed_ms = sent_ms

    async def _apply(self, transaction: RowTransaction) -> TransactionOutcome:
        while True:
            outcome = await self._store.transact(
                transaction,
                timeout_ms=self._timings.store_timeout_ms,
            )
            if outcome.is_applied:
                return outcome
            # An earlier transaction whose reply was lost may have been applied.
            # If the fence row shows that, repeat with the row's version.
            self._fence_version = self._own_fence_version(outcome.rows)
            transaction = dataclasses.replace(
                transaction,
                expected={FENCE_KEY: self._fence_version},
            )

    def _own_fence_version(self, rows: tuple[StoredRow, ...]) -> int:
        """
        Return the fence's new version if this process wrote it.

        Raises:
            ShardLostError: Another process has written the fence.
        """
        for row in rows:
            if row.table == FENCE_TABLE and row.version != self._fence_version:
                fence = decode_fence(row)
                if fence is not None and (fence.process_id, fence.epoch) == (
                    self._card.process_id,
                    self.epoch,
                ):
                    return row.version
        raise ShardLostError(
            f'shard {self.shard} was claimed by another process'
        )

    def _owner_row(self, release: Release | None) -> bytes:
        elapsed_ms = self._clock.monotonic_ms() - self._store_time_read_ms
        until_ms = self._store_time_ms + elapsed_ms + self._timings.lease_ms
        return msgspec.json.encode(
            OwnerRow(
                card=self._card,
                epoch=self.epoch,
                until_ms=int(until_ms),
                is_released=release is not None,
                successor_id=release.successor_id if release else '',
            ),
        )

    def _transaction(
        self,
        writes: dict[RowKey, bytes],
        removals: tuple[RowKey, ...],
        *,
        owner: bytes | None,
    ) -> RowTransaction:
        self._sequence += 1
        fence = FenceRow(
            process_id=self._card.process_id,
            epoch=self.epoch,
            sequence=self._sequence,
        )
        rows = {**writes, FENCE_KEY: msgspec.json.encode(fence)}
        if owner is not None:
            rows[OWNER_KEY] = owner
        return RowTransaction(
            part=self.shard,
            expected={FENCE_KEY: self._fence_version},
            writes=rows,
            removals=removals,
        )
