"""
Simulated processes with leases, shards and group commits, under faults.
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

from hawthornpier import coordination as co
from hawthornpier.messages import RowPut
from hawthornpier.ports import PortError

# Every shard has an owner within this time after the last fault.
RECOVERY_MS = 15_000

# A handover leaves a shard without an owner for at most this time.
MAX_HANDOVER_MS = 1_500


class Process:
    """
    A process with its own clock, store connection and lease.
    """

    def __init__(self, store, process_id, domain, *, rate=1.0, lease_ms=3_000):
        timings = co.LeaseTimings(lease_ms=lease_ms)
        self.process_id = process_id
        self.rng = random.Random(f'{process_id} {len(store.applied)}')
        self.clock = PausableClock(rate=rate)
        self.port = FakeStorePort(store, self.clock, self.rng)
        self.link = co.StoreLink(self.port, self.clock, timings)
        self.identity = co.ProcessIdentity(
            process_id=process_id,
            address=process_id,
            region='semenanjung',
            failure_domain=domain,
        )
        self.lease = co.ProcessLease(
            self.identity,
            self.link,
            self.clock,
            timings,
            rng=self.rng,
        )
        self.directory = co.ProcessDirectory(self.link, self.clock, timings)
        self.tasks = [asyncio.create_task(self.lease.run())]


class Node(Process):
    """
    A process that claims shards and commits rows for each of them.
    """

    def __init__(self, cluster, process_id, domain, **options):
        super().__init__(cluster.store, process_id, domain, **options)
        self.cluster = cluster
        self.commits = {}
        self.ownership = co.ShardOwnership(
            cluster.shards,
            self.lease,
            self.directory,
            self.link,
            self.clock,
            cluster.ownership_timings,
            on_gain=self.on_gain,
            on_loss=self.on_loss,
            on_hand_over=self.on_hand_over,
            rng=self.rng,
        )
        self.tasks.append(asyncio.create_task(self.ownership.run()))

    def kill(self):
        for task in self.tasks:
            task.cancel()

    async def stop(self):
        with contextlib.suppress(co.CoordinationError, PortError):
            await self.lease.announce_leaving()
        await self.ownership.hand_over_all()
        await self.lease.release()
        self.kill()

    async def on_gain(self, owned):
        self.cluster.check_holders()
        commits = co.GroupCommit(
            owned,
            self.link,
            self.clock,
            self.cluster.commit_limits,
            on_deposed=self.ownership.report_deposed,
            rng=self.rng,
        )
        self.commits[owned.shard] = commits
        self.tasks.append(asyncio.create_task(commits.run()))
        self.tasks.append(asyncio.create_task(self.write(owned, commits)))

    async def on_loss(self, shard):
        # The group commit is not drained.  It continues until a commit fails
        # on the owner row, as in a process that was paused.
        self.commits.pop(shard)

    async def on_hand_over(self, shard):
        await self.commits[shard].drain()

    async def write(self, owned, commits):
        number = 0
        async with asyncio.TaskGroup() as group:
            while not commits.is_closed:
                for _ in range(self.rng.randrange(4)):
                    number += 1
                    key = f'entry/{owned.shard}/{owned.epoch}.{number}'
                    group.create_task(self.write_row(owned, commits, key))
                await self.clock.sleep_ms(self.rng.randrange(1, 900))

    async def write_row(self, owned, commits, key):
        limit_ms = self.rng.choice((50, 2_000, 30_000))
        text = json.dumps([owned.incarnation, owned.epoch])
        self.cluster.outcomes[key] = 'unknown'
        try:
            await commits.commit(
                [RowPut(key=key, text=text)],
                deadline_ms=self.clock.monotonic_ms() + limit_ms,
            )
        except co.CommitNotAppliedError:
            self.cluster.outcomes[key] = 'not applied'
        except co.CommitUnknownError:
            self.cluster.outcomes[key] = 'unknown'
        else:
            self.cluster.outcomes[key] = 'acknowledged'


class SimulatedCluster:
    """
    The store and all processes, with checks of their invariants.
    """

    def __init__(self, *, domains=('ipoh',), has_marker_row=False):
        self.store = FakeStore(forgets_ids=has_marker_row)
        self.store.on_apply = self.check_transaction
        self.ownership_timings = co.OwnershipTimings()
        self.commit_limits = co.CommitLimits(has_marker_row=has_marker_row)
        count = 4 // len(domains)
        self.shards = [f'{name}/{n}' for name in domains for n in range(count)]
        self.nodes = []
        self.outcomes = {}
        self.violations = []
        self.applied_counts = Counter()
        self.epochs = {}
        self.last_held_s = {}

    def start(self, process_id, domain='ipoh', **options):
        node = Node(self, process_id, domain, **options)
        self.nodes.append(node)
        return node

    def kill(self, node):
        self.nodes.remove(node)
        node.kill()

    async def stop(self, node):
        await node.stop()
        if node in self.nodes:
            self.nodes.remove(node)

    def finish(self):
        self.check_commits()
        assert not self.violations, self.violations

    def pop_violations(self):
        self.check_commits()
        violations = ' '.join(self.violations)
        self.violations.clear()
        self.outcomes.clear()
        return violations

    async def run_for(self, duration_ms):
        for _ in range(duration_ms // 20):
            await asyncio.sleep(0.02)
            self.check_holders()
        ended = [task for node in self.nodes for task in node.tasks]
        for task in ended:
            if task.done() and not task.cancelled() and task.exception():
                self.violations.append(repr(task.exception()))

    async def recover(self):
        self.store.is_out = False
        for node in self.nodes:
            node.clock.resume()
            node.port.is_partitioned = False
            node.port.lost_percent = 0
            node.port.delay_ms = 2
        # Shards need a process that stays; all others may be stopping.
        self.start('last')
        await self.run_for(RECOVERY_MS)
        for _ in range(10):
            self.check_all_owned()
            await self.run_for(1_000)
        self.finish()

    def check_holders(self):
        now = asyncio.get_running_loop().time()
        for shard in self.shards:
            holders = [
                node.process_id
                for node in self.nodes
                if node.ownership.holds(shard)
            ]
            if holders:
                self.last_held_s[shard] = now
            if len(holders) > 1:
                self.violations.append(f'{shard} is held by {holders}')

    def check_all_owned(self):
        now = asyncio.get_running_loop().time()
        for shard in self.shards:
            free_ms = (now - self.last_held_s.get(shard, 0)) * 1_000
            if free_ms > MAX_HANDOVER_MS:
                self.violations.append(
                    f'{shard} has had no owner for {free_ms} ms'
                )

    def check_commits(self):
        counts = {'acknowledged': {1}, 'not applied': {0}, 'unknown': {0, 1}}
        for key, outcome in self.outcomes.items():
            count = self.applied_counts[key]
            if count not in counts[outcome]:
                self.violations.append(f'{key}: {outcome}, applied {count}')

    def check_transaction(self, transaction):
        for put in transaction.puts:
            kind, _, name = put.key.partition('/')
            if kind == 'owner':
                self.check_epoch(name, json.loads(put.text))
            elif kind == 'entry':
                self.applied_counts[put.key] += 1
                self.check_writer(name, json.loads(put.text))

    def check_epoch(self, shard, row):
        if row['process_id']:
            if row['epoch'] <= self.epochs.get(shard, 0):
                self.violations.append(
                    f'{shard} was claimed with an epoch that is not newer'
                )
            self.epochs[shard] = row['epoch']

    def check_writer(self, name, text):
        shard = name.rpartition('/')[0]
        owner = json.loads(self.store.rows[f'owner/{shard}'].text)
        if [owner['incarnation'], owner['epoch']] != text:
            self.violations.append(f'{name} was written by a deposed owner')


_INDEXES = st.integers(0, 4)
_WAITS_MS = st.sampled_from([20, 100, 500, 1_500, 3_200, 5_000, 9_000])
_NETWORK_FAULTS = st.sampled_from(
    [
        *(('lost_percent', percent) for percent in (0, 30, 90)),
        *(('delay_ms', delay_ms) for delay_ms in (2, 700, 6_000)),
        *(
            ('is_partitioned', is_partitioned)
            for is_partitioned in (True, False)
        ),
    ],
)


class CoordinationMachine(RuleBasedStateMachine):
    """
    Inject faults of all kinds at random times into up to five processes.

    The rates of the clocks differ, but within `clock_error_ms`.
    """

    has_marker_row = False

    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner(
            loop_factory=lambda: looptime.new_event_loop(
                start=0,
                noop_cycles=0,
            ),
        )
        self.stops = {}
        self.count = 0
        self.cluster = self.call(
            SimulatedCluster,
            domains=('ipoh', 'melaka'),
            has_marker_row=self.has_marker_row,
        )
        self.start('ipoh', 1.0, 20)
        self.start('melaka', 1.0, 20)

    @property
    def staying(self):
        return [node for node in self.cluster.nodes if node not in self.stops]

    def node(self, index):
        return self.staying[index % len(self.staying)]

    def call(self, function, *args, **options):
        async def in_loop():
            return function(*args, **options)

        return self.runner.run(in_loop())

    def run_for(self, duration_ms):
        self.runner.run(self.cluster.run_for(duration_ms))
        assert not self.cluster.violations, self.cluster.violations

    @precondition(lambda machine: len(machine.staying) < 5)
    @rule(
        domain=st.sampled_from(['ipoh', 'melaka']),
        rate=st.sampled_from([0.96, 1.0, 1.04]),
        wait_ms=_WAITS_MS,
    )
    def start(self, domain, rate, wait_ms):
        self.count += 1
        self.call(self.cluster.start, f'p{self.count}', domain, rate=rate)
        self.run_for(wait_ms)

    @precondition(lambda machine: len(machine.staying) > 1)
    @rule(index=_INDEXES, is_graceful=st.booleans(), wait_ms=_WAITS_MS)
    def end(self, index, is_graceful, wait_ms):
        node = self.node(index)
        if is_graceful:
            stop = self.cluster.stop(node)
            self.stops[node] = self.call(asyncio.ensure_future, stop)
        else:
            self.call(self.cluster.kill, node)
        self.run_for(wait_ms)

    @rule(index=_INDEXES, pause_ms=_WAITS_MS, is_final=st.booleans())
    def pause(self, index, pause_ms, is_final):
        clock = self.node(index).clock
        clock.pause()
        self.run_for(pause_ms)
        if not is_final:
            clock.resume()

    @rule(is_out=st.booleans(), wait_ms=_WAITS_MS)
    def store_outage(self, is_out, wait_ms):
        self.cluster.store.is_out = is_out
        self.run_for(wait_ms)

    @rule(index=_INDEXES, fault=_NETWORK_FAULTS, wait_ms=_WAITS_MS)
    def network(self, index, fault, wait_ms):
        setattr(self.node(index).port, *fault)
        self.run_for(wait_ms)

    def teardown(self):
        try:
            self.runner.run(self.cluster.recover())
            assert all(stop.done() for stop in self.stops.values())
        finally:
            self.runner.close()


class MarkerMachine(CoordinationMachine):
    """
    The same faults with a store that forgets transaction ids.
    """

    has_marker_row = True


_SETTINGS = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=10,
    phases=(Phase.generate,),
    stateful_step_count=12,
    suppress_health_check=list(HealthCheck),
)

TestCoordinationMachine = CoordinationMachine.TestCase
TestCoordinationMachine.settings = _SETTINGS
TestMarkerMachine = MarkerMachine.TestCase
TestMarkerMachine.settings = _SETTINGS
