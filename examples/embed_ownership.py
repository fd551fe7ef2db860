"""
Two processes own four shards; one is killed and the other takes over.

The owner of a shard increments a counter in one row.  Leases, epochs and group
commits ensure that only the current owner does so.
"""

import asyncio
import contextlib
import random
from collections.abc import Callable

import msgspec

from hawthornpier.adapters import SystemClock
from hawthornpier.coordination import (
    CommitError,
    CommitLimits,
    GroupCommit,
    LeaseTimings,
    OwnedShard,
    OwnershipTimings,
    ProcessDirectory,
    ProcessIdentity,
    ProcessLease,
    ShardOwnership,
    StoreLink,
)
from hawthornpier.messages import ABSENT_VERSION, RowCheck, RowPut
from hawthornpier.ports import Clock, StoreError, TableStore
from hawthornpier_standin.platform import MemoryStore

SHARDS = ('ipoh/0', 'ipoh/1', 'ipoh/2', 'ipoh/3')
COUNT_INTERVAL_MS = 250
COMMIT_DEADLINE_MS = 2_000


class CountingProcess:
    """
    A process that increments the row `count/<shard>` of each shard it owns.
    """

    def __init__(
        self,
        process_id: str,
        store: TableStore,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        timings = LeaseTimings()
        identity = ProcessIdentity(
            process_id=process_id,
            address=f'{process_id}:8801',
            region='semenanjung',
            failure_domain='ipoh',
        )
        self.process_id = process_id
        self._clock = clock
        self._rng = rng
        self._link = StoreLink(store, clock, timings)
        self._lease = ProcessLease(
            identity, self._link, clock, timings, rng=rng
        )
        self.ownership = ShardOwnership(
            SHARDS,
            self._lease,
            ProcessDirectory(self._link, clock, timings),
            self._link,
            clock,
            OwnershipTimings(),
            on_gain=self._on_gain,
            on_loss=self._on_loss,
            on_hand_over=self._on_hand_over,
            rng=rng,
        )
        self._group_commits: dict[
            str, tuple[GroupCommit, asyncio.Task[None]]
        ] = {}
        self._tasks = asyncio.TaskGroup()

    async def run(self) -> None:
        """
        Own shards until the task is cancelled.
        """
        async with self._tasks:
            self._tasks.create_task(self._lease.run())
            self._tasks.create_task(self.ownership.run())

    async def stop(self) -> None:
        """
        Hand over all shards and delete the lease.
        """
        await self._lease.announce_leaving()
        await self.ownership.hand_over_all()
        await self._lease.release()

    async def _on_gain(self, owned: OwnedShard) -> None:
        group_commit = GroupCommit(
            owned,
            self._link,
            self._clock,
            CommitLimits(),
            on_deposed=self.ownership.report_deposed,
            rng=self._rng,
        )
        commit_task = self._tasks.create_task(group_commit.run())
        self._group_commits[owned.shard] = (group_commit, commit_task)
        self._tasks.create_task(self._count(owned, group_commit))

    async def _on_hand_over(self, shard: str) -> None:
        group_commit, commit_task = self._group_commits[shard]
        await group_commit.drain()
        # The shard is released only after the last write has ended.
        await asyncio.wait({commit_task})

    async def _on_loss(self, shard: str) -> None:
        group_commit, _ = self._group_commits.pop(shard)
        await group_commit.drain()

    async def _count(
        self, owned: OwnedShard, group_commit: GroupCommit
    ) -> None:
        while not group_commit.is_closed:
            # After an error, the next iteration reads the row again, and so
            # continues from the new count if the write was applied after all.
            with contextlib.suppress(CommitError, StoreError):
                await self._count_once(owned, group_commit)
            await self._clock.sleep_ms(COUNT_INTERVAL_MS)

    async def _count_once(
        self,
        owned: OwnedShard,
        group_commit: GroupCommit,
    ) -> None:
        key = f'count/{owned.shard}'
        row = await self._link.read(key)
        count = msgspec.json.decode(row.text)['count'] if row else 0
        text = msgspec.json.encode(
            {
                'count': count + 1,
                'epoch': owned.epoch,
                'process_id': self.process_id,
            },
        ).decode()
        version = row.version if row else ABSENT_VERSION
        await group_commit.commit(
            [RowPut(key=key, text=text)],
            checks=[RowCheck(key=key, version=version)],
            deadline_ms=self._clock.monotonic_ms() + COMMIT_DEADLINE_MS,
        )


async def demonstrate(
    store: TableStore,
    clock: Clock,
    *,
    seed: int,
    report: Callable[[str], None],
) -> None:
    """
    Run two processes, kill the first and stop the second gracefully.
    """
    first, second = (
        CountingProcess(name, store, clock, random.Random(f'{seed}/{name}'))
        for name in ('first', 'second')
    )
    first_task = asyncio.create_task(first.run())
    second_task = asyncio.create_task(second.run())
    await clock.sleep_ms(10_000)
    report(f'first owns {sorted(first.ownership.owned)}')
    report(f'second owns {sorted(second.ownership.owned)}')

    # As when a process is killed, no shard is handed over.
    first_task.cancel()
    await clock.sleep_ms(10_000)
    report(f'second owns {sorted(second.ownership.owned)}')

    await second.stop()
    second_task.cancel()
    await asyncio.wait([first_task, second_task])
    for row in await store.scan('count/'):
        report(f'{row.key} {row.text}')


async def main() -> None:
    """
    Run on the system clock with an in-memory store.
    """
    clock = SystemClock()
    store = MemoryStore(clock=clock)
    await demonstrate(store, clock, seed=1, report=print)


if __name__ == '__main__':
    asyncio.run(main())
