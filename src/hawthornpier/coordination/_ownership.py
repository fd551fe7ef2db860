"""
Claims and handovers of shards by this process.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable, Mapping

from hawthornpier.coordination._claim_writer import (
    ClaimWriter,
    OwnedShard,
    owned_shard,
)
from hawthornpier.coordination._claims import Claimant, choose_handover
from hawthornpier.coordination._directory import ProcessDirectory
from hawthornpier.coordination._lease import ProcessLease
from hawthornpier.coordination._lease_row import LeaseWrite
from hawthornpier.coordination._link import StoreLink
from hawthornpier.coordination._owner_rows import (
    OwnerRows,
    ShardOwner,
)
from hawthornpier.coordination._rows import OWNER_PREFIX, failure_domain_of
from hawthornpier.coordination._timings import OwnershipTimings
from hawthornpier.coordination._vacancies import VacancyTracker
from hawthornpier.messages import EventKind
from hawthornpier.ports import Clock, EventSink, StoreError


class ShardOwnership:
    """
    Claim shards for this process and hand them over.

    Claims wait until *on_gain* and *on_loss* have returned, so long work, such
    as the recovery of a shard, belongs in a task of its own.  *on_hand_over*
    may take longer, since each handover runs concurrently.

    Args:
        shards: The ids of all shards, `<failure_domain>/<n>`.
        lease: The lease of this process.  Its `on_deposed` is replaced.
        directory: The process rows of all processes.
        link: The connection to the store.
        clock: The clock of this process.
        timings: The timings of claims and handovers.
        on_gain: Awaited after this process has claimed a shard.
        on_loss: Awaited with the id of a shard that this process no longer
            owns.
        on_hand_over: Awaited with the id of a shard before its handover,
            while it is still owned, to stop its work and flush its writes.
        rng: The random source of jitter.
        events: Records when a shard is gained or lost.
    """

    def __init__(
        self,
        shards: Iterable[str],
        lease: ProcessLease,
        directory: ProcessDirectory,
        link: StoreLink,
        clock: Clock,
        timings: OwnershipTimings,
        *,
        on_gain: Callable[[OwnedShard], Awaitable[None]],
        on_loss: Callable[[str], Awaitable[None]],
        on_hand_over: Callable[[str], Awaitable[None]] | None = None,
        rng: random.Random | None = None,
        events: EventSink | None = None,
    ) -> None:
        self._lease = lease
        self._directory = directory
        self._link = link
        self._clock = clock
        self._timings = timings
        self._on_gain = on_gain
        self._on_loss = on_loss
        self._on_hand_over = on_hand_over
        self._rng = rng or random.SystemRandom()
        self._events = events
        self._vacancies = VacancyTracker(
            shards,
            lease,
            directory,
            clock,
            timings,
        )
        self._writer = ClaimWriter(lease, directory, link, clock, self._rng)
        self._rows = OwnerRows(
            link,
            clock,
            timings,
            lease.identity.failure_domain,
        )
        self._owned: dict[str, OwnedShard] = {}
        self._handing_over: set[str] = set()
        self._rebalanced_ms = clock.monotonic_ms()
        self._batch_count = timings.claim_batch_count
        lease.on_deposed = self.drop_all

    @property
    def owned(self) -> Mapping[str, OwnedShard]:
        """
        Return the shards that this process owns, by shard id.

        The lease may have expired meanwhile; see `holds`.
        """
        return self._owned

    @property
    def owners(self) -> Mapping[str, ShardOwner]:
        """
        Return the owner rows as last read, by shard id.
        """
        return self._rows.owners

    def holds(self, shard: str) -> bool:
        """
        Return whether this process owns the shard under a valid lease.
        """
        owned = self._owned.get(shard)
        if owned is None or owned.incarnation != self._lease.incarnation:
            return False
        return self._lease.is_held

    async def run(self) -> None:
        """
        Claim and hand over shards until the task is cancelled.
        """
        interval_ms = self._timings.observe_interval_ms
        async with asyncio.TaskGroup() as group:
            while True:
                await self.step()
                handover = self._next_handover()
                if handover is not None:
                    group.create_task(self.hand_over(*handover))
                # The jitter keeps the processes from all reading at once.
                await self._clock.sleep_ms(
                    self._rng.uniform(interval_ms * 0.8, interval_ms),
                )

    async def step(self) -> None:
        """
        Read the rows once and claim the shards that this process should own.
        """
        try:
            # The owner rows are read first.  A process creates its process row
            # before it claims shards, so the row of an owner in the first
            # read can be absent from the second only if it was deleted.
            is_full = await self._rows.read()
            await self._directory.refresh()
        except StoreError:
            return
        await self._drop_lost_shards()
        if self._lease.version is not None and not self._lease.is_leaving:
            await self._claim_vacant(is_full=is_full)
            owner_ids = {owner.row.process_id for owner in self.owners.values()}
            await self._writer.delete_lost_processes(owner_ids)

    async def look_up(self, shard: str) -> ShardOwner | None:
        """
        Read the owner row of one shard from the store.

        After the known owner has rejected a call or has not replied, this
        finds a new owner before the next regular read.

        Raises:
            StoreError: The store did not reply.
        """
        return await self._rows.look_up(shard)

    async def drop_all(self) -> None:
        """
        Drop all shards after the lease was lost.
        """
        for shard in tuple(self._owned):
            await self._drop(shard, 'lease lost')

    async def report_deposed(self, shard: str, epoch: int) -> None:
        """
        Drop a shard after a write under *epoch* found the owner row changed.
        """
        owned = self._owned.get(shard)
        if owned is not None and owned.epoch == epoch:
            await self._drop(shard, 'owner row changed')

    async def hand_over(self, shard: str, successor: str = '') -> bool:
        """
        Release a shard, so that another process can claim the next epoch.

        Args:
            shard: The id of the shard.
            successor: The id of the process that should claim it first, or
                an empty string.

        Returns:
            True if the release is committed.  Otherwise the owner row may
            still name this process, and others can claim the shard once the
            lease of this process has expired.
        """
        if shard not in self._owned or shard in self._handing_over:
            return False
        self._handing_over.add(shard)
        try:
            return await self._hand_over(shard, successor)
        except Exception:
            await self._drop(shard, 'handover failed')
            raise
        finally:
            self._handing_over.discard(shard)
            self._rebalanced_ms = self._clock.monotonic_ms()

    async def hand_over_all(self) -> bool:
        """
        Hand over all shards concurrently, each to a chosen successor.

        Returns:
            Whether all releases are committed.
        """
        successors = self._vacancies.choose_successors(
            self._owned,
            self.owners,
        )
        results = await asyncio.gather(
            *(
                self.hand_over(shard, successor)
                for shard, successor in successors.items()
            ),
        )
        return all(results)

    async def _hand_over(self, shard: str, successor: str) -> bool:
        if self._on_hand_over is not None:
            await self._on_hand_over(shard)
        owned = self._owned.get(shard)
        if owned is None:
            return False
        await self._drop(shard, 'handed over')
        return await self._writer.release(
            owned,
            successor,
            self._timings.hand_over_timeout_ms,
        )

    async def _claim_vacant(self, *, is_full: bool) -> None:
        domain = self._lease.identity.failure_domain
        held = self._owned.keys() | self._handing_over
        claimable = [
            shard
            for shard in self._vacancies.claimable(self.owners, held)
            if is_full or failure_domain_of(shard) == domain
        ]
        while claimable:
            batch = claimable[: self._batch_count]
            claimable = claimable[len(batch) :]
            if not await self._claim(batch):
                return

    async def _drop_lost_shards(self) -> None:
        for shard, owned in tuple(self._owned.items()):
            owner = self.owners.get(shard)
            if owner is None or owner.version != owned.version:
                await self._drop(shard, 'owner row changed')
            elif owned.incarnation != self._lease.incarnation:
                await self._drop(shard, 'lease lost')

    async def _drop(self, shard: str, detail: str) -> None:
        if self._owned.pop(shard, None) is not None:
            if self._events is not None:
                self._events.record(
                    EventKind.SHARD_LOST,
                    shard=shard,
                    detail=detail,
                )
            await self._on_loss(shard)

    async def _claim(self, shards: Iterable[str]) -> bool:
        written = await self._writer.claim(shards, self.owners)
        if written is None:
            return False
        if not written.is_committed:
            # One stale row fails the whole batch, so the next batches start
            # again with a single shard.
            self._batch_count = 1
            return False
        self._batch_count = min(
            self._timings.claim_batch_count,
            self._batch_count * 2,
        )
        await self._record_gained(written)
        return True

    async def _record_gained(self, written: LeaseWrite) -> None:
        now_ms = self._clock.monotonic_ms()
        if written.incarnation != self._lease.incarnation:
            return
        # An unreadable row is skipped.  Once it has been read, it shows that
        # this process has claimed the shard, which it then claims again.
        owners = [
            self._rows.update_row(row)
            for row in written.rows
            if row.key.startswith(OWNER_PREFIX)
        ]
        gained = [
            owned_shard(owner, now_ms, self._timings.delivery_delay_ms)
            for owner in owners
            if owner is not None
        ]
        self._owned.update((owned.shard, owned) for owned in gained)
        for owned in gained:
            if self._events is not None:
                self._events.record(
                    EventKind.SHARD_GAINED,
                    shard=owned.shard,
                    detail=f'epoch {owned.epoch}',
                )
            if self._owned.get(owned.shard) is owned:
                await self._on_gain(owned)

    def _next_handover(self) -> tuple[str, str] | None:
        if self._handing_over or self._lease.is_leaving:
            return None
        now_ms = self._clock.monotonic_ms()
        interval_ms = self._timings.rebalance_interval_ms
        if now_ms - self._rebalanced_ms < interval_ms:
            return None
        if self._link.is_out or not self._lease.is_held:
            return None
        identity = self._lease.identity
        return choose_handover(
            Claimant(
                process_id=identity.process_id,
                region=identity.region,
                failure_domain=identity.failure_domain,
            ),
            self._owned,
            self._vacancies.successor_candidates(),
            self._vacancies.owned_counts(self.owners),
        )
