"""
Soak tests of the fleet scheduler under overlapping random faults.

The environment variables ``SOAK_SEED`` and ``SOAK_COUNT`` set the first seed
and the number of seeds.
"""

import asyncio
import os
import random

import pytest
from fleet_world import World
from virtual_time import run_virtual

from hawthornpier import fleet
from hawthornpier.steps import JobPhase, StepPlan
from hawthornpier_standin.fleet import StoreFault, WorkerFault

FIRST_SEED = int(os.environ.get('SOAK_SEED', '1'))
SEED_COUNT = int(os.environ.get('SOAK_COUNT', '8'))
FAULTY_MS = 18_000
# All accepted jobs complete within this time after the last fault has ended.
SETTLE_MS = 90_000
ENDED = frozenset((JobPhase.COMPLETED, JobPhase.FAILED))
STEPS = (
    StepPlan(task_count=5, processor_millis=1_000),
    StepPlan(task_count=3, processor_millis=2_000, after=(0,)),
)


class _Soak:
    """
    Submits jobs and injects overlapping faults in one simulated installation.
    """

    worker_count = 5
    # Of each host; an owner on a small one uses relays.
    cores = 1
    worker_faults = (
        WorkerFault.PARTITIONED,
        WorkerFault.PARTITIONED,
        WorkerFault.STALLED,
        WorkerFault.REFUSE,
        WorkerFault.START_LATE,
    )

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.world = World(
            node_count=4,
            worker_count=self.worker_count,
            seed=seed,
            cores=self.cores,
        )
        self.world.keeps_worker_id = bool(self.rng.randrange(2))
        self.accepted = []
        self.refused = []
        self.cancelled = set()
        self.actions = (
            self._kill_node,
            self._stop_node,
            self._partition_node,
            self._fail_store,
            self._slow_store,
            self._forget_history,
            self._fail_worker,
            self._crash_worker,
            # Listed several times because changes of the owner in close
            # succession find the most faults.
            self._kill_owner,
            self._kill_owner,
            self._kill_owner,
        )

    async def run(self):
        await self.world.run_for(1_500)
        callers = asyncio.ensure_future(self._call_forever())
        faults = []
        end_ms = self.world.clock.monotonic_ms() + FAULTY_MS
        while self.world.clock.monotonic_ms() < end_ms:
            action = self.rng.choice(self.actions)
            faults.append(asyncio.ensure_future(action()))
            await self.world.run_for(self.rng.randint(50, 700))
        await asyncio.gather(*faults)
        callers.cancel()
        for job_id in self.accepted:
            if job_id not in self.cancelled:
                await self.world.wait_phase(job_id, ENDED, limit_ms=SETTLE_MS)
                await self.world.wait_phase(
                    job_id, self._expected_phases(job_id), limit_ms=1_000
                )
        ran = {task.partition('.')[0] for task in self.world.checker.done}
        assert not ran.intersection(self.refused)
        self.world.finish()

    def _expected_phases(self, job_id):
        checker = self.world.checker
        if f'{job_id}.0.0.0' in checker.crashing_tasks:
            return {JobPhase.FAILED}
        crash_counts = [
            count
            for task, count in checker.crash_counts.items()
            if task.startswith(job_id)
        ]
        if max(crash_counts, default=0) > 1:
            return ENDED
        return {JobPhase.COMPLETED}

    async def _call_forever(self):
        while True:
            await self._call()
            await self.world.run_for(self.rng.randint(50, 600))

    async def _call(self):
        running = [
            node
            for node in self.world.nodes.values()
            if not node.is_dead and not node.is_frozen
        ]
        entry = self.rng.choice(running).entry
        plan = self._plan()
        try:
            await entry.submit(plan)
            self.accepted.append(plan.job_id)
            if not self.rng.randrange(10):
                # If the cancellation fails, it is unknown whether the job was
                # cancelled.
                self.cancelled.add(plan.job_id)
                await entry.cancel(plan.job_id)
        except fleet.NotStoredError:
            if plan.job_id not in self.cancelled:
                self.refused.append(plan.job_id)
        except (fleet.OutcomeUnknownError, fleet.UnknownJobError):
            return

    def _plan(self):
        crashes = not self.rng.randrange(12)
        return self.world.plan(
            *STEPS,
            work_ms=self.rng.randint(100, 5_000),
            crashing_tasks=((0, 0),) if crashes else (),
        )

    async def _kill_node(self):
        await self._restart(self.rng.choice(list(self.world.nodes)))

    async def _kill_owner(self):
        owner = self.world.owner()
        if owner is not None:
            await self._restart(owner.card.address)

    async def _restart(self, name):
        node = self.world.nodes[name]
        if not node.is_dead:
            self.world.kill(node)
            await self.world.run_for(self.rng.randint(300, 3_000))
            self.world.start_node(name, cores=self.cores)

    async def _stop_node(self):
        name = self.rng.choice(list(self.world.nodes))
        node = self.world.nodes[name]
        if not node.is_dead and not node.is_leaving:
            await node.leave()
            await self._restart(name)

    async def _partition_node(self):
        node = self.rng.choice(list(self.world.nodes.values()))
        node.is_partitioned = True
        if self.rng.randrange(2):
            node.client.fault = StoreFault.SILENT
        await self.world.run_for(self.rng.randint(500, 6_000))
        node.is_partitioned = False
        node.client.fault = StoreFault.NONE

    async def _fail_store(self):
        fault = self.rng.choice(
            [
                StoreFault.REFUSE,
                StoreFault.SILENT,
                StoreFault.LOSE_REPLIES,
                StoreFault.APPLY_LATE,
            ],
        )
        nodes = list(self.world.nodes.values())
        faulty_nodes = self.rng.sample(nodes, self.rng.randint(1, len(nodes)))
        for node in faulty_nodes:
            node.client.fault = fault
        await self.world.run_for(self.rng.randint(500, 5_000))
        for node in faulty_nodes:
            node.client.fault = StoreFault.NONE

    async def _slow_store(self):
        self.world.store.delay_factor = self.rng.randint(2, 40)
        await self.world.run_for(self.rng.randint(500, 4_000))
        self.world.store.delay_factor = 1

    async def _forget_history(self):
        self.world.store.discard_changes()

    async def _fail_worker(self):
        worker = self.rng.choice(list(self.world.workers.values()))
        worker.fault = self.rng.choice(self.worker_faults)
        await self.world.run_for(self.rng.randint(500, 8_000))
        worker.fault = WorkerFault.NONE

    async def _crash_worker(self):
        worker = self.rng.choice(list(self.world.workers.values()))
        if worker.is_up:
            worker.crash()
            await self.world.run_for(self.rng.randint(100, 6_000))
            self._restart_as_new(worker)

    def _restart_as_new(self, worker):
        worker.restart()


class _BudgetSoak(_Soak):
    """
    A soak whose jobs fail, and whose owners change while their tasks end.
    """

    def __init__(self, seed):
        super().__init__(seed)
        self.world.peer_delay_s = self.rng.choice((0.001, 0.02, 0.2))
        self.actions += (
            self._kill_owner,
            self._freeze_owner,
            self._freeze_owner,
            self._cut_owner,
            self._cut_owner,
            self._lose_replies,
            self._lose_replies,
            self._restart_worker,
        )

    def _plan(self):
        return self.world.plan(
            *STEPS,
            work_ms=self.rng.choice((10, 100, 700, 3_000)),
            failures=[
                ((0, index), self.rng.randint(0, 3))
                for index in range(STEPS[0].task_count)
                if not self.rng.randrange(3)
            ],
            max_attempts=self.rng.randint(1, 3),
        )

    def _expected_phases(self, job_id):
        # A failure counts unless its worker was lost before it was listed.
        checker = self.world.checker
        limit = checker.max_attempts[job_id]
        tasks = [task for task in checker.ended if task.startswith(job_id)]
        if any(checker.noted_failures(task) >= limit for task in tasks):
            return {JobPhase.FAILED}
        if any(checker.failed_count(task) >= limit for task in tasks):
            return ENDED
        return super()._expected_phases(job_id)

    async def _freeze_owner(self):
        owner = self.world.owner()
        if owner is not None:
            owner.is_frozen = True
            await self.world.run_for(self.rng.randint(100, 5_000))
            owner.is_frozen = False

    async def _cut_owner(self):
        owner = self.world.owner()
        if owner is not None:
            owner.client.fault = self.rng.choice(list(StoreFault))
            await self.world.run_for(self.rng.randint(100, 5_000))
            owner.client.fault = StoreFault.NONE

    async def _lose_replies(self):
        workers = list(self.world.workers.values())
        faulty = self.rng.sample(workers, self.rng.randint(1, len(workers)))
        for worker in faulty:
            worker.fault = WorkerFault.LOSE_REPLIES
        await self.world.run_for(self.rng.randint(50, 3_000))
        for worker in faulty:
            worker.fault = WorkerFault.NONE

    async def _restart_worker(self):
        worker = self.rng.choice(list(self.world.workers.values()))
        if worker.is_up:
            worker.crash()
            self._restart_as_new(worker)


class TestFaultsTogether:
    """
    No task runs twice, accepted jobs complete, and rejected ones do not run.
    """

    @pytest.mark.parametrize(
        'seed',
        range(FIRST_SEED, FIRST_SEED + SEED_COUNT),
    )
    def test_seed(self, seed):
        """
        Guards against failures that only a combination of faults causes.

        Processes, workers and the store fail at random for `FAULTY_MS`, with
        several faults at a time, while callers submit and cancel jobs.
        """
        run_virtual(_soak(_Soak, seed))

    @pytest.mark.parametrize(
        'seed',
        range(FIRST_SEED, FIRST_SEED + SEED_COUNT),
    )
    def test_failing_tasks(self, seed):
        """
        Guards against a task that runs more often than its attempts allow.

        Owners are killed, frozen or parted from the store, and the replies of
        workers are lost, while runs fail.
        """
        run_virtual(_soak(_BudgetSoak, seed))


async def _soak(kind, seed):
    # The world starts tasks when it is created, which needs a running loop.
    await kind(seed).run()
