"""
Which shards this process owns, and who owns the others.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable, Mapping

from hawthornpier.coordination._claim_writer import ClaimWriter, OwnedShard
from hawthornpier.coordination._claims import pick_hand_over
from hawthornpier.coordination._directory import ProcessDirectory
from hawthornpier.coordination._lease import ProcessLease
from hawthornpier.coordination._lease_row import LeaseWrite
from hawthornpier.coordination._link import StoreLink
from hawthornpier.coordination._rows import OWNER_PREFIX
from hawthornpier.coordination._timings import OwnershipTimings
from hawthornpier.coordination._vacancies import (
    ShardOwner,
    VacancyWatch,
    shard_owner,
)
from hawthornpier.messages import EventKind
from hawthornpier.ports import Clock, EventSink, StoreError


class ShardOwnership:
    """
    Claims shards for this process and hands them over.

    The callbacks are awaited in order and should return soon; long work, such
    as the recovery of a shard, belongs in a task of its own.

    Args:
        shards: The ids of all shards, `<failure_domain>/<n>`.
        lease: The lease of this process; its `on_deposed` is set here.
        directory: The lease rows of all processes.
        link: The store.
        clock: The clock of this process.
        timings: The intervals of claims and hand-overs.
        on_gain: Awaited after a shard was claimed.
        on_loss: Awaited when a shard is no longer owned.
        on_hand_over: Awaited before a hand-over, while the shard is still
            owned, so that its owner can stop work and flush its writes.
        rng: The source of jitter.
        events: Where changes of state are recorded.
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
        self._vacancies = VacancyWatch(
            shards,
            lease,
            directory,
            clock,
            timings,
        )
        self._writer = ClaimWriter(lease, directory, link, clock, self._rng)
        self._owners: dict[str, ShardOwner] = {}
        self._owned: dict[str, OwnedShard] = {}
        self._handing_over: set[str] = set()
        self._rebalanced_ms = clock.monotonic_ms()
        self._batch_count = timings.claim_batch_count
        lease.on_deposed = self.drop_all

    @property
    def owned(self) -> Mapping[str, OwnedShard]:
        """
        Return the shards that this process owns, by their ids.
        """
        return self._owned

    @property
    def owners(self) -> Mapping[str, ShardOwner]:
        """
        Return the owner rows as last read, by shard.
        """
        return self._owners

    def holds(self, shard: str) -> bool:
        """
        Tell whether this process owns the shard under a valid lease.
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
                hand_over = self._next_hand_over()
                if hand_over is not None:
                    group.create_task(self.hand_over(*hand_over))
                # The jitter keeps the processes from reading in step.
                await self._clock.sleep_ms(
                    self._rng.uniform(interval_ms * 0.8, interval_ms),
                )

    async def step(self) -> None:
        """
        Read the rows once and claim what this process should own.
        """
        try:
            rows = await self._link.scan(OWNER_PREFIX)
            await self._directory.refresh()
        except StoreError:
            return
        owners = map(shard_owner, rows)
        self._owners = {owner.shard: owner for owner in owners}
        await self._drop_changed()
        if self._lease.version is None or self._lease.is_leaving:
            return
        held = self._owned.keys() | self._handing_over
        claimable = self._vacancies.claimable(self._owners, held)
        while claimable:
            batch = claimable[: self._batch_count]
            claimable = claimable[len(batch) :]
            if not await self._claim(batch):
                return
        await self._bury()

    async def drop_all(self) -> None:
        """
        Report the loss of all shards, after the lease was lost.
        """
        for shard in tuple(self._owned):
            await self._drop(shard, 'lease lost')

    async def report_deposed(self, shard: str, epoch: int) -> None:
        """
        Report that a write of this epoch found another owner.
        """
        owned = self._owned.get(shard)
        if owned is not None and owned.epoch == epoch:
            await self._drop(shard, 'owner row changed')

    async def hand_over(self, shard: str, successor: str = '') -> bool:
        """
        Give up a shard: its owner row becomes free and keeps the epoch.

        Returns:
            Whether the row is certainly free.  If not, others take the shard
            once the lease of this process has ended.
        """
        if shard not in self._owned or shard in self._handing_over:
            return False
        self._handing_over.add(shard)
        try:
            return await self._hand_over(shard, successor)
        except Exception:
            await self._drop(shard, 'hand-over failed')
            raise
        finally:
            self._handing_over.discard(shard)
            self._rebalanced_ms = self._clock.monotonic_ms()

    async def hand_over_all(self) -> bool:
        """
        Give up all shards at the same time, each to a named successor.
        """
        successors = self._vacancies.successors(self._owned, self._owners)
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
        return await self._writer.free(
            owned,
            successor,
            self._timings.hand_over_timeout_ms,
        )

    async def _drop_changed(self) -> None:
        for shard, owned in tuple(self._owned.items()):
            owner = self._owners.get(shard)
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

    async def _claim(self, shards: tuple[str, ...]) -> bool:
        written = await self._writer.claim(shards, self._owners)
        if written is None:
            return False
        if not written.is_committed:
            # One stale row fails the whole batch, so the next ones are small.
            self._batch_count = 1
            return False
        self._batch_count = min(
            self._timings.claim_batch_count,
            self._batch_count * 2,
        )
        await self._take(written)
        return True

    async def _take(self, written: LeaseWrite) -> None:
        now_ms = self._clock.monotonic_ms()
        if written.incarnation != self._lease.incarnation:
            return
        gained = [
            self._owned_shard(shard_owner(row), now_ms)
            for row in written.rows
            if row.key.startswith(OWNER_PREFIX)
        ]
        for owned in gained:
            self._owned[owned.shard] = owned
        for owned in gained:
            if self._events is not None:
                self._events.record(
                    EventKind.SHARD_GAINED,
                    shard=owned.shard,
                    detail=f'epoch {owned.epoch}',
                )
            if self._owned.get(owned.shard) is owned:
                await self._on_gain(owned)

    def _owned_shard(self, owner: ShardOwner, now_ms: int) -> OwnedShard:
        self._owners[owner.shard] = owner
        has_former_owner = owner.row.epoch > 1
        delay_ms = self._timings.delivery_delay_ms if has_former_owner else 0
        return OwnedShard(
            shard=owner.shard,
            epoch=owner.row.epoch,
            version=owner.version,
            incarnation=owner.row.incarnation,
            must_wait_until_ms=now_ms + delay_ms,
        )

    async def _bury(self) -> None:
        """
        Delete the rows of lost processes that no claim deletes.

        These are processes that expired without a shard, and records of lost
        processes past their retention.  One process does it for all.
        """
        live_ids = [entry.process_id for entry in self._vacancies.claimants()]
        if self._lease.process_id != min(live_ids, default=''):
            return
        owner_ids = {owner.row.process_id for owner in self._owners.values()}
        processes = self._directory.processes
        for process_id in processes.keys() - owner_ids:
            if self._directory.is_expired(process_id):
                incarnation = processes[process_id].row.incarnation
                await self._writer.bury(process_id, incarnation)
        if self._directory.expired_lost_ids:
            await self._writer.forget_lost(self._directory.expired_lost_ids)

    def _next_hand_over(self) -> tuple[str, str] | None:
        if self._handing_over or self._lease.is_leaving:
            return None
        now_ms = self._clock.monotonic_ms()
        interval_ms = self._timings.rebalance_interval_ms
        if now_ms - self._rebalanced_ms < interval_ms:
            return None
        if not self._lease.is_held:
            return None
        return pick_hand_over(
            self._lease.process_id,
            self._owned,
            self._vacancies.claimants(),
            self._vacancies.owned_counts(self._owners),
        )
