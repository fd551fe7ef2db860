"""
Installations on hosts of two sizes that note who owns the shard.
"""

import asyncio

from fleet_hosts import LARGE, SMALL, HostedWorld
from fleet_oracle import FleetOracle, RoomWaits

from hawthornpier.errors import HawthornpierError
from hawthornpier.steps import StepPlan
from hawthornpier_standin.fleet import _worker, _worker_client

# Without an owner for this long, the leases of all workers lapse.
DARK_MS = 5_500
# By when the larger hosts have been in touch with the owner for long enough.
IN_TOUCH_MS = 7_000
SAMPLE_MS = 100
PLAIN = StepPlan(task_count=4, processor_millis=1_000)
BEST_EFFORT = StepPlan(task_count=4, processor_millis=1_500, is_filling=True)
# What is submitted in each interval for 100 workers: the step, its work in ms
# and the number of jobs.
OTHER_WORK = ((PLAIN, 300, 3), (BEST_EFFORT, 1_000, 1))
SUBMIT_INTERVAL_MS = 250


def simulate_workers_coarsely(monkeypatch, tick_ms):
    """
    Let workers advance in longer steps, to save time.
    """
    monkeypatch.setattr(_worker, 'TICK_MS', tick_ms)
    monkeypatch.setattr(_worker_client, 'TICK_MS', tick_ms)


class ObservedWorld(HostedWorld):
    """
    An installation that notes its owners and the ends of long-running tasks.
    """

    def __init__(self, **options):
        super().__init__(**options)
        # Each process that owned the shard, and since when.
        self.history = []
        self._owning = set()
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

    def owner_host(self):
        return self.entry_hosts[self.owner().card.address]

    def changes_since(self, since_ms):
        """
        Return the processes that became the owner since a time.
        """
        return [name for began_ms, name in self.history if began_ms >= since_ms]

    def observe(self):
        """
        Take the present state into account.
        """
        owners = {node.card.process_id for node in self.owners()}
        self.most_owners = max(self.most_owners, len(owners))
        now_ms = self.clock.monotonic_ms()
        self.history.extend((now_ms, name) for name in owners - self._owning)
        self._owning = owners or self._owning

    async def _watch(self):
        while True:
            self.observe()
            await self.run_for(SAMPLE_MS)

    def _observe_run(self, what, task, attempt, detail):
        self.checker.on_run_event(what, task, attempt, detail)
        is_end = what in {'lapsed', 'stopped', 'crashed', 'failed'}
        if is_end and task in self.checker.long_running_tasks:
            self.lost_runs.append((self.clock.monotonic_ms(), what, task))


class IdleWorld(ObservedWorld):
    """
    An installation without load, so that no process computes for long.

    It has more workers than a small host may contact by itself.
    """

    counts_calls = False

    def __init__(self, *, seed=1):
        super().__init__(worker_count=60, seed=seed)


class LoadedWorld(ObservedWorld):
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

    async def run_until_busy(self):
        """
        Let a large host own the shard, and start the long-running tasks.
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

    async def run_until_small_owner(self):
        """
        Let the leases of all runs lapse, until a small host owns the shard.
        """
        await self.run_until_busy()
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
