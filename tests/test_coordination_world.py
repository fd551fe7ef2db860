"""
Processes with leases, shards and durable writes under random faults.
"""

import asyncio
import contextlib
import json
import random
from collections import Counter

import looptime
from fake_store import FakeStore, FakeStorePort, PausableClock
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from hawthornpier.coordination import (
    CommitLimits,
    CommitNotAppliedError,
    CommitUnknownError,
    CoordinationError,
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
from hawthornpier.messages import RowPut, Transaction
from hawthornpier.ports import PortError

# Within this time after the last fault, every shard has an owner.
RECOVERY_MS = 15_000

# A hand-over leaves a shard without an owner for no longer than this.
HAND_OVER_MS = 1_500


class Node:
    """
    One process: its clock, lease and shards, and a writer for each shard.
    """

    def __init__(
        self,
        world: 'World',
        process_id: str,
        failure_domain: str,
        *,
        rate: float = 1.0,
        lease_timings: LeaseTimings | None = None,
    ) -> None:
        timings = lease_timings or LeaseTimings()
        rng = random.Random(f'{process_id}-{len(world.nodes)}')
        self.process_id = process_id
        self.failure_domain = failure_domain
        self.clock = PausableClock(rate=rate)
        self.port = FakeStorePort(world.store, self.clock, rng)
        self.link = StoreLink(self.port, self.clock, timings)
        self.lease = ProcessLease(
            ProcessIdentity(
                process_id=process_id,
                address=f'{process_id}:1',
                region='semenanjung',
                failure_domain=failure_domain,
            ),
            self.link,
            self.clock,
            timings,
            rng=rng,
        )
        self.directory = ProcessDirectory(self.link, self.clock, timings)
        self.ownership = ShardOwnership(
            world.shards,
            self.lease,
            self.directory,
            self.link,
            self.clock,
            world.ownership_timings,
            on_gain=self._on_gain,
            on_loss=self._on_loss,
            on_hand_over=self._on_hand_over,
            rng=rng,
        )
        self._world = world
        self._rng = rng
        self._commits: dict[str, GroupCommit] = {}
        self._writers: dict[str, asyncio.Task[None]] = {}
        self._tasks = [
            asyncio.create_task(self.lease.run()),
            asyncio.create_task(self.ownership.run()),
        ]

    def kill(self) -> None:
        """
        End the process without any notice.
        """
        for task in (*self._tasks, *self._writers.values()):
            task.cancel()

    async def stop(self) -> None:
        """
        End the process in good order, as far as the faults allow.
        """
        with contextlib.suppress(CoordinationError, PortError):
            await self.lease.announce_leaving()
        await self.ownership.hand_over_all()
        await self.lease.release()
        self.kill()

    def errors(self) -> list[BaseException]:
        """
        Return the errors of tasks that should not have ended.
        """
        ended = [task for task in self._tasks if task.done()]
        errors = [task.exception() for task in ended if not task.cancelled()]
        return [error for error in errors if error is not None]

    async def _on_gain(self, owned: OwnedShard) -> None:
        self._world.check_holders()
        commits = GroupCommit(
            owned,
            self.link,
            self.clock,
            self._world.commit_limits,
            on_deposed=self.ownership.report_deposed,
            rng=self._rng,
        )
        self._commits[owned.shard] = commits
        self._writers[owned.shard] = asyncio.create_task(
            self._write(owned, commits),
        )

    async def _on_loss(self, shard: str) -> None:
        # The group commit is left to find out by itself: a process that was
        # paused goes on with what it had begun.
        self._commits.pop(shard)

    async def _on_hand_over(self, shard: str) -> None:
        await self._commits[shard].drain()

    async def _write(self, owned: OwnedShard, commits: GroupCommit) -> None:
        async with asyncio.TaskGroup() as group:
            group.create_task(commits.run())
            number = 0
            while not commits.is_closed:
                for _ in range(self._rng.randrange(4)):
                    number += 1
                    key = f'entry/{owned.shard}/{owned.epoch}.{number}'
                    group.create_task(self._write_one(owned, commits, key))
                await self.clock.sleep_ms(self._rng.randrange(1, 900))

    async def _write_one(
        self,
        owned: OwnedShard,
        commits: GroupCommit,
        key: str,
    ) -> None:
        limit_ms = self._rng.choice((50, 2_000, 30_000))
        text = json.dumps([owned.incarnation, owned.epoch])
        self._world.outcomes[key] = 'unknown'
        try:
            await commits.commit(
                [RowPut(key=key, text=text)],
                deadline_ms=self.clock.monotonic_ms() + limit_ms,
            )
        except CommitNotAppliedError:
            self._world.outcomes[key] = 'not_applied'
        except CommitUnknownError:
            self._world.outcomes[key] = 'unknown'
        else:
            self._world.outcomes[key] = 'acknowledged'


class World:
    """
    The store and all processes, and the invariants that they must keep.
    """

    def __init__(
        self,
        *,
        shard_count: int = 4,
        domains: tuple[str, ...] = ('ipoh',),
        store: FakeStore | None = None,
        has_marker_row: bool = False,
        ownership_timings: OwnershipTimings | None = None,
    ) -> None:
        self.store = store or FakeStore()
        self.store.on_apply = self._check_transaction
        self.ownership_timings = ownership_timings or OwnershipTimings()
        self.commit_limits = CommitLimits(has_marker_row=has_marker_row)
        self.shards = [
            f'{domain}/{number}'
            for domain in domains
            for number in range(shard_count)
        ]
        self.nodes: list[Node] = []
        self.outcomes: dict[str, str] = {}
        self.violations: list[str] = []
        self._applied_counts: Counter[str] = Counter()
        self._epochs: dict[str, int] = {}
        self._held_at: dict[str, float] = {}

    def start(
        self,
        process_id: str,
        failure_domain: str = 'ipoh',
        **options: object,
    ) -> Node:
        """
        Start a process.
        """
        node = Node(self, process_id, failure_domain, **options)
        self.nodes.append(node)
        return node

    def kill(self, node: Node) -> None:
        """
        End a process without any notice.
        """
        self.nodes.remove(node)
        node.kill()

    async def stop(self, node: Node) -> None:
        """
        End a process in good order.
        """
        await node.stop()
        if node in self.nodes:
            self.nodes.remove(node)

    async def run_for(self, duration_ms: int) -> None:
        """
        Let time pass and check the invariants.
        """
        for _ in range(duration_ms // 20):
            await asyncio.sleep(0.02)
            self.check_holders()
        for node in self.nodes:
            self.violations.extend(map(repr, node.errors()))

    async def recover(self) -> None:
        """
        End all faults; then all shards are owned and all commits are right.
        """
        self.store.is_out = False
        for node in self.nodes:
            node.clock.resume()
            node.port.is_cut_off = False
            node.port.lost_percent = 0
            node.port.delay_ms = 2
        # All others may be about to stop.
        self.start('last')
        await self.run_for(RECOVERY_MS)
        for _ in range(10):
            self.check_all_owned()
            await self.run_for(1_000)
        self.check_commits()

    def check_holders(self) -> None:
        """
        Check that no two processes believe that they hold the same shard.
        """
        for shard in self.shards:
            holders = self.holders(shard)
            if holders:
                self._held_at[shard] = asyncio.get_running_loop().time()
            if len(holders) > 1:
                self.violations.append(f'{shard} is held by {holders}')

    def check_all_owned(self) -> None:
        """
        Check that each shard has a holder, or had one just before.
        """
        now = asyncio.get_running_loop().time()
        for shard in self.shards:
            free_ms = (now - self._held_at.get(shard, 0)) * 1_000
            if free_ms > HAND_OVER_MS:
                self.violations.append(f'{shard} is free for {free_ms} ms')

    def check_commits(self) -> None:
        """
        Check that acknowledged commits were applied exactly once.
        """
        allowed = {
            'acknowledged': {1},
            'not_applied': {0},
            'unknown': {0, 1},
        }
        for key, outcome in self.outcomes.items():
            count = self._applied_counts[key]
            if count not in allowed[outcome]:
                self.violations.append(f'{key}: {outcome}, applied {count}')

    def holders(self, shard: str) -> list[str]:
        """
        Return the processes that believe that they hold the shard.
        """
        return [
            node.process_id
            for node in self.nodes
            if node.ownership.holds(shard)
        ]

    def _check_transaction(self, transaction: Transaction) -> None:
        for put in transaction.puts:
            kind, _, name = put.key.partition('/')
            if kind == 'owner':
                self._check_owner(name, json.loads(put.text))
            elif kind == 'entry':
                self._check_entry(name, json.loads(put.text))
                self._applied_counts[put.key] += 1

    def _check_owner(self, shard: str, row: dict[str, object]) -> None:
        epoch = row['epoch']
        if row['process_id']:
            if epoch <= self._epochs.get(shard, 0):
                self.violations.append(f'{shard} got epoch {epoch} again')
            self._epochs[shard] = epoch

    def _check_entry(self, name: str, text: list[object]) -> None:
        shard = name.rpartition('/')[0]
        owner = json.loads(self.store.rows[f'owner/{shard}'].text)
        if [owner['incarnation'], owner['epoch']] != text:
            self.violations.append(f'{name} was written by a deposed owner')


_WAITS_MS = st.sampled_from([20, 100, 500, 1_500, 3_200, 5_000, 9_000])


class CoordinationMachine(RuleBasedStateMachine):
    """
    Faults of every kind, at random times, on up to five processes.
    """

    has_marker_row = False

    def __init__(self) -> None:
        super().__init__()
        self.runner = asyncio.Runner(
            loop_factory=lambda: looptime.new_event_loop(
                start=0,
                noop_cycles=0,
            ),
        )
        self.stops: dict[Node, asyncio.Task[None]] = {}
        self.count = 0
        self.runner.run(self.set_up())

    async def set_up(self) -> None:
        """
        Start with two processes in two failure domains.
        """
        self.world = World(
            shard_count=2,
            domains=('ipoh', 'melaka'),
            store=FakeStore(forgets_ids=self.has_marker_row),
            has_marker_row=self.has_marker_row,
        )
        await self.start_node('ipoh', 1.0)
        await self.start_node('melaka', 1.0)

    async def start_node(self, domain: str, rate: float) -> None:
        """
        Start a process with a new id.
        """
        self.count += 1
        self.world.start(f'p{self.count}', domain, rate=rate)

    async def end_node(self, node: Node, *, is_graceful: bool) -> None:
        """
        Kill a process, or let it begin to stop.
        """
        if is_graceful:
            self.stops[node] = asyncio.create_task(self.world.stop(node))
        else:
            self.world.kill(node)

    @property
    def staying(self) -> list[Node]:
        """
        Return the processes that do not stop.
        """
        return [node for node in self.world.nodes if node not in self.stops]

    def node(self, index: int) -> Node:
        """
        Return one of the processes that do not stop.
        """
        return self.staying[index % len(self.staying)]

    def run_for(self, duration_ms: int) -> None:
        """
        Let time pass and check the invariants.
        """
        self.runner.run(self.world.run_for(duration_ms))
        assert not self.world.violations, self.world.violations

    @precondition(lambda machine: len(machine.staying) < 5)
    @rule(
        domain=st.sampled_from(['ipoh', 'melaka']),
        rate=st.sampled_from([0.96, 1.0, 1.04]),
        wait_ms=_WAITS_MS,
    )
    def start(self, domain: str, rate: float, wait_ms: int) -> None:
        """
        Start one more process, whose clock runs within the clock error.
        """
        self.runner.run(self.start_node(domain, rate))
        self.run_for(wait_ms)

    @precondition(lambda machine: len(machine.staying) > 1)
    @rule(
        index=st.integers(0, 4),
        is_graceful=st.booleans(),
        wait_ms=_WAITS_MS,
    )
    def end(self, index: int, is_graceful: bool, wait_ms: int) -> None:
        """
        End a process, with or without notice.
        """
        node = self.node(index)
        self.runner.run(self.end_node(node, is_graceful=is_graceful))
        self.run_for(wait_ms)

    @rule(index=st.integers(0, 4), wait_ms=_WAITS_MS, after_ms=_WAITS_MS)
    def pause(self, index: int, wait_ms: int, after_ms: int) -> None:
        """
        Pause a process for a while.
        """
        clock = self.node(index).clock
        clock.pause()
        self.run_for(wait_ms)
        clock.resume()
        self.run_for(after_ms)

    @rule(index=st.integers(0, 4))
    def pause_long(self, index: int) -> None:
        """
        Pause a process until all faults end.
        """
        self.node(index).clock.pause()

    @rule(is_out=st.booleans(), wait_ms=_WAITS_MS)
    def store_outage(self, is_out: bool, wait_ms: int) -> None:
        """
        Begin or end an outage of the store.
        """
        self.world.store.is_out = is_out
        self.run_for(wait_ms)

    @rule(
        index=st.integers(0, 4),
        lost_percent=st.sampled_from([0, 30, 90]),
        delay_ms=st.sampled_from([2, 700, 6_000]),
        is_cut_off=st.booleans(),
        wait_ms=_WAITS_MS,
    )
    def network(
        self,
        index: int,
        lost_percent: int,
        delay_ms: int,
        is_cut_off: bool,
        wait_ms: int,
    ) -> None:
        """
        Change how well a process reaches the store.
        """
        port = self.node(index).port
        port.lost_percent = lost_percent
        port.delay_ms = delay_ms
        port.is_cut_off = is_cut_off
        self.run_for(wait_ms)

    def teardown(self) -> None:
        """
        End all faults; then all shards are owned and all commits are right.
        """
        try:
            self.runner.run(self.world.recover())
            for stop in self.stops.values():
                assert stop.done()
        finally:
            self.runner.close()
        assert not self.world.violations, self.world.violations


class MarkerMachine(CoordinationMachine):
    """
    The same with a store that forgets transaction ids.
    """

    has_marker_row = True


_SETTINGS = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=12,
    phases=(Phase.generate,),
    stateful_step_count=15,
    suppress_health_check=list(HealthCheck),
)

TestCoordinationMachine = CoordinationMachine.TestCase
TestCoordinationMachine.settings = _SETTINGS
TestMarkerMachine = MarkerMachine.TestCase
TestMarkerMachine.settings = _SETTINGS
