"""
Several processes with leases and shards in one event loop.
"""

import asyncio
import random

from fake_store import FakeStore, FakeStorePort, PausableClock

from hawthornpier.coordination import (
    LeaseTimings,
    OwnedShard,
    OwnershipTimings,
    ProcessDirectory,
    ProcessIdentity,
    ProcessLease,
    ShardOwnership,
    StoreLink,
)


class Node:
    """
    One process: its clock, its store port, its lease and its shards.
    """

    def __init__(
        self,
        world: 'World',
        process_id: str,
        failure_domain: str,
        rate: float,
    ) -> None:
        rng = random.Random(f'{process_id}-{world.seed}')
        self.world = world
        self.process_id = process_id
        self.clock = PausableClock(rate=rate)
        self.port = FakeStorePort(world.store, self.clock, rng)
        self.link = StoreLink(self.port, self.clock, world.lease_timings)
        self.lease = ProcessLease(
            ProcessIdentity(
                process_id=process_id,
                address=f'{process_id}:1',
                region='semenanjung',
                failure_domain=failure_domain,
            ),
            self.link,
            self.clock,
            world.lease_timings,
            rng=rng,
        )
        self.directory = ProcessDirectory(
            self.link,
            self.clock,
            world.lease_timings,
        )
        self.gained: list[OwnedShard] = []
        self.lost: list[str] = []
        self.ownership = ShardOwnership(
            world.shards,
            self.lease,
            self.directory,
            self.link,
            self.clock,
            OwnershipTimings(),
            on_gain=self._on_gain,
            on_loss=self._on_loss,
            rng=rng,
        )
        self.tasks = [
            world.group.create_task(self.lease.run()),
            world.group.create_task(self.ownership.run()),
        ]

    async def _on_gain(self, owned: OwnedShard) -> None:
        self.gained.append(owned)

    async def _on_loss(self, shard: str) -> None:
        self.lost.append(shard)


class World:
    """
    The store and all processes.
    """

    def __init__(
        self,
        group: asyncio.TaskGroup,
        *,
        shard_count: int = 4,
        domains: tuple[str, ...] = ('ipoh',),
        seed: int = 0,
    ) -> None:
        self.group = group
        self.seed = seed
        self.store = FakeStore()
        self.lease_timings = LeaseTimings()
        self.shards = [
            f'{domain}/{number}'
            for domain in domains
            for number in range(shard_count)
        ]
        self.nodes: list[Node] = []

    def start(
        self,
        process_id: str,
        failure_domain: str,
        rate: float = 1.0,
    ) -> Node:
        """
        Start a process.
        """
        node = Node(self, process_id, failure_domain, rate)
        self.nodes.append(node)
        return node

    def kill(self, process_id: str) -> None:
        """
        End a process without any notice.
        """
        for node in tuple(self.nodes):
            if node.process_id == process_id:
                self.nodes.remove(node)
                for task in node.tasks:
                    task.cancel()

    def stop(self) -> None:
        """
        End all processes.
        """
        for node in tuple(self.nodes):
            self.kill(node.process_id)

    def holders(self, shard: str) -> list[Node]:
        """
        Return the processes that believe to hold the shard.
        """
        return [node for node in self.nodes if node.ownership.holds(shard)]

    def assert_all_owned(self) -> None:
        """
        Check that each shard has exactly one holder.
        """
        for shard in self.shards:
            holders = [node.process_id for node in self.holders(shard)]
            assert len(holders) == 1, (shard, holders)
