"""
Tests of an owner of the shard whose host cannot carry it.
"""

import asyncio
import os

import pytest
from fleet_hosts import LARGE, SMALL, HostedWorld
from fleet_oracle import (
    JUDGED_MS,
    LONGEST_WAIT_MS,
    FleetOracle,
    RoomWaits,
)
from host_time import run_on_hosts

from hawthornpier.errors import HawthornpierError
from hawthornpier.steps import StepPlan
from hawthornpier_standin.fleet import _worker, _worker_client

FIRST_SEED = int(os.environ.get('SOAK_SEED', '1'))
SEED_COUNT = int(os.environ.get('SOAK_COUNT', '20'))
SEEDS = range(FIRST_SEED, FIRST_SEED + SEED_COUNT)
# Without an owner for this long, the leases of all workers lapse.
DARK_MS = 5_500
# By when the larger hosts have been in touch with the owner for long enough.
IN_TOUCH_MS = 7_000
# The same without load.
IDLE_IN_TOUCH_MS = 5_000
IDLE_CALM_MS = 2_000
SAMPLE_MS = 100
START_SPREAD_MS = 3_000
PLAIN = StepPlan(task_count=4, processor_millis=1_000)
BEST_EFFORT = StepPlan(task_count=4, processor_millis=1_500, is_filling=True)
# What is submitted in each interval for 100 workers: the step, its work in ms
# and the number of jobs.
OTHER_WORK = ((PLAIN, 300, 3), (BEST_EFFORT, 1_000, 1))
SUBMIT_INTERVAL_MS = 250
# Workers are simulated in longer steps, to save time.
TICK_MS = 100.0
IDLE_TICK_MS = 500.0


@pytest.fixture(autouse=True)
def coarse_workers(request, monkeypatch):
    tick_ms = getattr(request.cls, 'tick_ms', TICK_MS)
    monkeypatch.setattr(_worker, 'TICK_MS', tick_ms)
    monkeypatch.setattr(_worker_client, 'TICK_MS', tick_ms)


class _ObservedWorld(HostedWorld):
    """
    An installation that notes its owners and the ends of long-running tasks.
    """

    def __init__(self, **options):
        super().__init__(**options)
        # Each process that owned the shard, and since when.
        self.owners = []
        self.most_owners = 0
        self.lost_runs = []
        for worker in self.workers.values():
            worker._on_run = self._observe_run
        self._spawn(self._watch())

    def start_hosts(self, prefix, count, size):
        for number in range(count):
            self.start_node(f'{prefix}-{number}', **size)

    def live_hosts(self, prefix):
        return [
            node
            for name, node in self.nodes.items()
            if name.startswith(prefix) and not node.is_dead
        ]

    def owner_size(self):
        owner = self.owner()
        return owner and owner.card.address.split('-')[0]

    def changes_since(self, since_ms):
        """
        Return the processes that became the owner since a time.
        """
        return [name for began_ms, name in self.owners if began_ms >= since_ms]

    def observe(self):
        """
        Take the present state into account.
        """
        acting = self.acting_owners()
        self.most_owners = max(self.most_owners, len(acting))
        names = [node.card.process_id for node in acting]
        last = self.owners[-1][1] if self.owners else ''
        if names and last not in names:
            self.owners.append((self.clock.monotonic_ms(), names[0]))

    async def _watch(self):
        while True:
            self.observe()
            await self.run_for(SAMPLE_MS)

    def _observe_run(self, what, task, attempt, detail):
        self.checker.on_run_event(what, task, attempt, detail)
        is_end = what in {'lapsed', 'stopped', 'crashed', 'failed'}
        if is_end and task in self.checker.long_running_tasks:
            self.lost_runs.append((self.clock.monotonic_ms(), what, task))


class _IdleWorld(_ObservedWorld):
    """
    An installation without load, so that no process computes for long.

    It has more workers than a small host may contact by itself.
    """

    counts_calls = False

    def __init__(self, *, seed=1):
        super().__init__(worker_count=60, seed=seed)


class _LoadedWorld(_ObservedWorld):
    """
    An installation with load, whose large hosts are dark for some time.

    Six processors of eight on each worker have a long-running task.
    """

    def __init__(self, *, worker_count, small_count, tasks_per_job=4):
        self.accepted = set()
        self.waits = None
        super().__init__(worker_count=worker_count)
        self.waits = RoomWaits(FleetOracle(self, self.accepted.__contains__))
        self._worker_count = worker_count
        self._small_count = small_count
        self._tasks_per_job = tasks_per_job

    async def submit_at(self, node, plan):
        """
        Submit a job at a process, and note whether it was accepted.
        """
        host = self.entry_hosts[node.card.address]
        try:
            await asyncio.get_running_loop().create_task(
                node.entry.submit(plan), context=host.context
            )
        except HawthornpierError:
            return
        self.accepted.add(plan.job_id)

    async def submit_other_work(self):
        while True:
            await self.run_for(SUBMIT_INTERVAL_MS)
            for step, work_ms, count in OTHER_WORK:
                for _ in range(count * self._worker_count // 100):
                    plan = self.plan(step, work_ms=work_ms)
                    self._spawn(self.submit_at(self.any_node(), plan))

    async def run_until_small_owner(self):
        """
        Let the leases of all runs lapse, until a small host owns the shard.
        """
        self.start_hosts('large', 3, LARGE)
        await self.run_for(1_500)
        step = StepPlan(
            task_count=self._tasks_per_job,
            processor_millis=1_000,
            is_lasting=True,
            tail_target_ms=100,
        )
        plans = [
            self.plan(step, work_ms=600_000)
            for _ in range(self._worker_count * 6 // self._tasks_per_job)
        ]
        await asyncio.gather(
            *(self.submit_at(self.any_node(), plan) for plan in plans)
        )
        assert len(self.accepted) == len(plans)
        await self.run_for(1_500)
        for node in self.live_hosts('large'):
            self.kill(node)
        await self.run_for(DARK_MS)
        self.start_hosts('small', self._small_count, SMALL)
        self._spawn(self.submit_other_work())
        await self.wait_until(lambda: self.owner_size() == 'small')

    async def wait_all_run(self):
        await self.run_for(SAMPLE_MS)
        await self.wait_until(lambda: not self.waits.waiting_count)

    async def wait_large_owner(self):
        await self.wait_until(
            lambda: self.owner_size() == 'large', limit_ms=IN_TOUCH_MS
        )

    def observe(self):
        super().observe()
        if self.waits is not None:
            self.waits.observe(self.clock.monotonic_ms())

    def longest_wait_ms(self):
        return max(self.waits.longest_ms.values(), default=0)


class TestSmallOwner:
    """
    A small host owns the shard of 176 workers after an outage of most hosts.
    """

    @pytest.mark.parametrize(
        ('tasks_per_job', 'limit_ms'),
        [(4, LONGEST_WAIT_MS), (2, JUDGED_MS + LONGEST_WAIT_MS)],
    )
    def test_long_running_tasks_do_not_wait(self, tasks_per_job, limit_ms):
        """
        Guards against an owner that cannot keep up, so that long-running tasks
        wait for its other work although workers have room.
        """

        async def scenario():
            world = _LoadedWorld(
                worker_count=176, small_count=1, tasks_per_job=tasks_per_job
            )
            await world.run_until_small_owner()
            await world.run_for(limit_ms)
            world.observe()
            world.finish()
            assert not world.waits.waiting_count

        run_on_hosts(scenario())

    def test_a_larger_host_takes_over_the_backlog(self):
        """
        Guards against a small owner that keeps the shard, so that its backlog
        lasts although larger hosts are back.
        """

        async def scenario():
            world = _LoadedWorld(worker_count=176, small_count=1)
            await world.run_until_small_owner()
            await world.run_for(1_500)
            world.start_hosts('large', 3, LARGE)
            await world.wait_large_owner()
            await world.run_for(JUDGED_MS)
            world.waits.longest_ms.clear()
            await world.run_for(LONGEST_WAIT_MS + SAMPLE_MS)
            assert world.owner_size() == 'large'
            world.finish()
            assert world.longest_wait_ms() <= LONGEST_WAIT_MS
            assert world.most_owners == 1

        run_on_hosts(scenario())

    def test_the_move_to_a_larger_host_stops_no_run(self):
        """
        Guards against a handover that ends runs, or after which both owners
        act.
        """

        async def scenario():
            world = _LoadedWorld(worker_count=60, small_count=2)
            await world.run_until_small_owner()
            await world.wait_all_run()
            await world.run_for(1_000)
            returned_ms = world.clock.monotonic_ms()
            world.lost_runs.clear()
            world.waits.longest_ms.clear()
            world.start_hosts('large', 3, LARGE)
            await world.wait_large_owner()
            await world.run_for(JUDGED_MS)
            world.finish()
            assert len(world.changes_since(returned_ms)) == 1
            assert not world.lost_runs
            assert not world.late_epochs
            assert world.longest_wait_ms() <= LONGEST_WAIT_MS
            assert world.most_owners == 1

        run_on_hosts(scenario())


class TestClaimsOfManyHosts:
    """
    Of thirty hosts, a large one owns the shard once all are in touch.
    """

    tick_ms = IDLE_TICK_MS

    @pytest.mark.parametrize('seed', SEEDS)
    def test_a_large_host_owns_after_starts_in_any_order(self, seed):
        """
        Guards against a race of the first second that decides who owns.
        """

        async def scenario():
            world = _IdleWorld(seed=seed)
            sizes = {f'large-{number}': LARGE for number in range(12)}
            sizes.update({f'small-{number}': SMALL for number in range(18)})
            for delay_ms, name in _start_delays(world.rng, sizes):
                await world.run_for(delay_ms - world.clock.monotonic_ms())
                world.start_node(name, **sizes[name])
            await world.run_for(IDLE_IN_TOUCH_MS)
            await _check_owner_stays_large(world)

        run_on_hosts(scenario())

    def test_large_hosts_that_start_later_get_the_shard(self):
        """
        Guards against a small owner that was the first to start.
        """

        async def scenario():
            world = _IdleWorld()
            world.start_hosts('small', 18, SMALL)
            await world.run_for(2_000)
            world.start_hosts('large', 12, LARGE)
            await world.run_for(IDLE_IN_TOUCH_MS)
            await _check_owner_stays_large(world)

        run_on_hosts(scenario())

    def test_the_owner_does_not_flap_while_large_hosts_restart(self):
        """
        Guards against a shard that moves with each host that comes or goes.
        """

        async def scenario():
            world = _IdleWorld()
            world.start_hosts('large', 12, LARGE)
            world.start_hosts('small', 18, SMALL)
            await world.run_for(3_000)
            for node in world.live_hosts('large'):
                world.kill(node)
                await world.run_for(700)
                world.start_node(node.card.address, **LARGE)
                await world.run_for(300)
            returned_ms = world.clock.monotonic_ms()
            await world.run_for(IDLE_IN_TOUCH_MS)
            assert len(world.changes_since(returned_ms)) <= 1
            await _check_owner_stays_large(world)

        run_on_hosts(scenario())


class TestNoLargerHost:
    """
    The shard stays where it is while no larger host is in touch.
    """

    tick_ms = IDLE_TICK_MS

    def test_a_small_owner_stays_while_larger_hosts_are_gone(self):
        """
        Guards against a shard that is given up to hosts that have ended, but
        are still registered.
        """

        async def scenario():
            world = _IdleWorld()
            world.start_hosts('large', 2, LARGE)
            world.start_hosts('small', 3, SMALL)
            await world.run_for(2_500)
            for node in world.live_hosts('large'):
                world.kill(node)
            await world.run_for(5_000)
            await _check_owner_stays(world, 'small')

        run_on_hosts(scenario())

    def test_a_small_owner_stays_while_a_larger_host_is_out_of_touch(self):
        """
        Guards against a shard that is given up to a host that reaches the
        store, but not the owner.
        """

        async def scenario():
            world = _IdleWorld()
            world.start_hosts('small', 3, SMALL)
            await world.run_for(2_500)
            large = world.start_node('large-0', **LARGE)
            large.is_partitioned = True
            await world.run_for(2_000)
            await _check_owner_stays(world, 'small')

        run_on_hosts(scenario())

    @pytest.mark.parametrize('size', [LARGE, SMALL], ids=['large', 'small'])
    def test_nothing_moves_between_hosts_of_the_same_size(self, size):
        """
        Guards against a shard that moves without a reason.
        """

        async def scenario():
            world = _IdleWorld()
            for number in range(6):
                world.start_node(f'same-{number}', **size)
                await world.run_for(500)
            await _check_owner_stays(world, 'same')
            assert len(world.owners) == 1

        run_on_hosts(scenario())


def _start_delays(rng, names):
    """
    Return after how long each host starts; the large ones may be the last.
    """
    first_ms = {
        'large': rng.uniform(0, START_SPREAD_MS),
        'small': rng.uniform(0, START_SPREAD_MS / 3),
    }
    return sorted(
        (rng.uniform(first_ms[name.split('-')[0]], START_SPREAD_MS), name)
        for name in names
    )


async def _check_owner_stays_large(world):
    await _check_owner_stays(world, 'large')


async def _check_owner_stays(world, size):
    since_ms = world.clock.monotonic_ms()
    assert world.owner_size() == size
    await world.run_for(IDLE_CALM_MS)
    assert world.owner_size() == size
    assert not world.changes_since(since_ms)
    assert world.most_owners == 1
    world.finish()
