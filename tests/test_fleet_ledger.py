"""
Soak tests of what the owner of a shard counts as taken and as running.

The environment variables of ``test_fleet_faults`` set the seeds, and
``SOAK_ROUNDS`` sets how often trouble and calm alternate.
"""

import asyncio
import dataclasses
import os

import pytest
from fleet_oracle import FleetOracle
from fleet_world import ENTRY_EXPIRY_MS, REGISTRY
from registry_rows import encode_entry
from test_fleet_faults import (
    FIRST_SEED,
    SEED_COUNT,
    SETTLE_MS,
    _BudgetSoak,
)
from virtual_time import run_virtual

from hawthornpier import fleet
from hawthornpier.steps import StepPlan
from hawthornpier_standin.fleet import StoreFault, WorkerFault

TROUBLE_MS = 7_000
# What faults have left behind takes effect within this time.
AFTERMATH_MS = 2_500
CALM_MS = 9_000
ROUND_COUNT = int(os.environ.get('SOAK_ROUNDS', '2'))
PROCESSOR_MILLIS = 8_000
MEMORY_MB = 64_000
# Long-running jobs are submitted while they need less than this fraction of
# all processors.
LONG_RUNNING_SHARE = 0.8
LABEL = 'large'
IMAGES = ('a', 'b', 'c')
DEEP_ENTRY = b'{"unknown":%s1%s}' % (b'[' * 5_000, b']' * 5_000)
SHORT = StepPlan(task_count=4, processor_millis=1_000)
BEST_EFFORT = StepPlan(
    task_count=4, processor_millis=1_500, image='d', is_filling=True
)


class _LedgerSoak(_BudgetSoak):
    """
    A soak with long-running jobs, and calm between the faults.
    """

    worker_count = 10
    worker_faults = (
        *_BudgetSoak.worker_faults,
        WorkerFault.RESET,
        WorkerFault.CRASH,
        WorkerFault.FAIL_ALL,
        WorkerFault.LOSE_REPLIES,
    )

    def __init__(self, seed):
        super().__init__(seed)
        # A worker that starts again either has a new id, or it carries out no
        # start of its previous incarnation late.
        self.keeps_ids = self.world.keeps_worker_id
        self.world.restart_delay_ms = 2_000
        if self.keeps_ids:
            self.worker_faults = tuple(
                fault
                for fault in self.worker_faults
                if fault is not WorkerFault.START_LATE
            )
        for worker in list(self.world.workers.values())[::3]:
            worker.entry = dataclasses.replace(worker.entry, labels=(LABEL,))
        self.oracle = FleetOracle(self.world, self._is_wanted)
        self.long_running = {}
        self.actions += (
            self._fail_workers,
            self._fail_workers,
            self._resize_workers,
            self._resize_workers,
            self._drain_worker,
            self._drain_worker,
            self._flap_worker,
            self._cut_off_worker,
            self._cut_feed,
            self._put_odd_entry,
        )

    async def run(self):
        await self.world.run_for(1_500)
        callers = asyncio.ensure_future(self._call_forever())
        for _ in range(ROUND_COUNT):
            await self._cause_trouble()
            await self.world.run_for(AFTERMATH_MS)
            await self.oracle.watch_calm(CALM_MS)
        callers.cancel()
        assert not self.oracle.violations
        self.world.finish()

    async def _cause_trouble(self):
        faults = []
        end_ms = self.world.clock.monotonic_ms() + TROUBLE_MS
        while self.world.clock.monotonic_ms() < end_ms:
            action = self.rng.choice(self.actions)
            faults.append(asyncio.ensure_future(action()))
            await self.world.run_for(self.rng.randint(50, 700))
            self.oracle.check_counters()
        await asyncio.gather(*faults)
        self.world.recover_workers()

    def _is_wanted(self, job_id):
        return job_id in self.accepted and job_id not in self.cancelled

    async def _call(self):
        await super()._call()
        wanted = [each for each in self.long_running if self._is_wanted(each)]
        if wanted and not self.rng.randrange(8):
            job_id = self.rng.choice(wanted)
            self.cancelled.add(job_id)
            try:
                await self.world.any_node().entry.cancel(job_id)
            except (
                fleet.NotStoredError,
                fleet.OutcomeUnknownError,
                fleet.UnknownJobError,
            ):
                return

    def _plan(self):
        taken = sum(
            millis
            for job_id, millis in self.long_running.items()
            if self._is_wanted(job_id)
        )
        capacity = self.worker_count * PROCESSOR_MILLIS
        may_last = taken < capacity * LONG_RUNNING_SHARE
        if may_last and self.rng.randrange(2):
            return self._long_running_plan()
        step = self.rng.choice((SHORT, SHORT, BEST_EFFORT))
        return self.world.plan(
            step, work_ms=self.rng.choice((50, 200, 1_000, 3_000))
        )

    def _long_running_plan(self):
        step = self._long_running_step()
        plan = self.world.plan(step, work_ms=60_000)
        millis = step.task_count * step.processor_millis
        self.long_running[plan.job_id] = millis
        return plan

    def _long_running_step(self):
        return StepPlan(
            task_count=self.rng.randint(1, 4),
            processor_millis=self.rng.choice((500, 1_000, 2_500, 4_000)),
            memory_mb=self.rng.choice((0, 1_000, 8_000)),
            image=self.rng.choice(IMAGES),
            per_worker_limit=self.rng.choice((0, 0, 0, 1, 2)),
            required_label=self.rng.choice(('', '', '', '', LABEL)),
            is_lasting=True,
            tail_target_ms=100,
        )

    def _expected_phases(self, job_id):
        raise NotImplementedError(job_id)

    def _restart_as_new(self, worker):
        worker_id = worker.entry.worker_id
        self._resize(worker, PROCESSOR_MILLIS, MEMORY_MB)
        if self.keeps_ids:
            worker.restart()
            return
        self.world._spawn(self.world._expire_entry(worker))
        worker_id = f'{worker_id}+'
        self.world.workers[worker_id] = worker
        worker.restart(worker_id)

    def _resize(self, worker, millis, memory_mb):
        worker.entry = dataclasses.replace(
            worker.entry,
            processor_millis=millis,
            memory_mb=memory_mb,
            is_draining=False,
            remaining_ms=None,
        )

    def _report(self, worker):
        """
        Have a worker report itself to the registry.
        """
        if worker.is_up and worker not in self.world.silent_workers:
            content = encode_entry(worker.entry)
            self.world.store.put(REGISTRY, worker.entry.worker_id, content)

    def _any_worker(self):
        return self.rng.choice(self._all_workers())

    def _all_workers(self):
        return list(dict.fromkeys(self.world.workers.values()))

    async def _fail_workers(self):
        workers = self._all_workers()
        await asyncio.gather(
            *(
                self._fail_worker()
                for _ in range(self.rng.randint(2, len(workers)))
            )
        )

    async def _resize_workers(self):
        workers = self._all_workers()
        resized = self.rng.sample(workers, self.rng.randint(1, len(workers)))
        for worker in resized:
            self._resize(
                worker,
                self.rng.randint(1_000, PROCESSOR_MILLIS),
                self.rng.choice((MEMORY_MB, 16_000)),
            )
            self._report(worker)
        await self.world.run_for(self.rng.randint(200, 6_000))
        reports_at_once = self.rng.randrange(2)
        for shrunk in resized:
            self._resize(shrunk, PROCESSOR_MILLIS, MEMORY_MB)
            if reports_at_once:
                self._report(shrunk)

    async def _drain_worker(self):
        worker = self._any_worker()
        if not worker.is_up or worker.entry.is_draining:
            return
        incarnation_ms = worker.entry.incarnation_ms
        remaining_ms = self.rng.choice((1_000, 3_000, 5_500))
        worker.entry = dataclasses.replace(
            worker.entry, is_draining=True, remaining_ms=remaining_ms
        )
        self._report(worker)
        await self.world.run_for(remaining_ms)
        if worker.entry.incarnation_ms != incarnation_ms or not worker.is_up:
            return
        if self.rng.randrange(2):
            self._resize(worker, PROCESSOR_MILLIS, MEMORY_MB)
            self._report(worker)
            return
        worker.crash()
        self.world.store.remove(REGISTRY, worker.entry.worker_id)
        await self.world.run_for(self.rng.randint(100, 3_000))
        self._restart_as_new(worker)

    async def _flap_worker(self):
        worker = self._any_worker()
        for _ in range(self.rng.randint(2, 6)):
            worker.fault = WorkerFault.PARTITIONED
            await self.world.run_for(self.rng.randint(100, 1_500))
            worker.fault = WorkerFault.NONE
            await self.world.run_for(self.rng.randint(10, 600))

    async def _cut_off_worker(self):
        worker = self._any_worker()
        self.world.cut_off(worker)
        await self.world.run_for(self.rng.randint(500, 2 * ENTRY_EXPIRY_MS))
        self.world.reconnect(worker)

    async def _cut_feed(self):
        clients = [node.client for node in self.world.nodes.values()]
        for client in clients:
            client.unreadable_tables.add(REGISTRY)
        await self.world.run_for(self.rng.randint(500, 5_000))
        for cut_client in clients:
            cut_client.unreadable_tables.clear()

    async def _put_odd_entry(self):
        """
        Overwrite the entry of a worker until its next heartbeat.
        """
        entry = self._any_worker().entry
        odd_entries = (
            DEEP_ENTRY,
            b'\xff',
            encode_entry(dataclasses.replace(entry, processor_millis=-1)),
            encode_entry(dataclasses.replace(entry, service='other')),
        )
        content = self.rng.choice(odd_entries)
        self.world.store.put(REGISTRY, entry.worker_id, content)
        await self.world.run_for(1)

    async def _fail_store(self):
        await super()._fail_store()
        self.world.break_store(StoreFault.NONE)


class _CrashSoak(_LedgerSoak):
    """
    A soak in which tasks crash workers, until they are given up.
    """

    def __init__(self, seed):
        super().__init__(seed)
        self.is_troubled = False
        self.crashing = []

    async def _cause_trouble(self):
        self.is_troubled = True
        await super()._cause_trouble()
        self.is_troubled = False
        await self.world.wait_until(
            self._have_crashing_jobs_ended, limit_ms=SETTLE_MS
        )

    def _have_crashing_jobs_ended(self):
        owner = self.world.owner()
        if owner is None:
            return False
        jobs = map(owner.local_shard().jobs.get, self.crashing)
        return all(job is None or job.is_terminal for job in jobs)

    def _plan(self):
        if not self.is_troubled or self.rng.randrange(8):
            return super()._plan()
        plan = self.world.plan(SHORT, crashing_tasks=((0, 0),))
        self.crashing.append(plan.job_id)
        return plan


class _EvacuationSoak(_LedgerSoak):
    """
    A soak in which workers are evacuated, and relays send all orders.
    """

    cores = 0.02

    def __init__(self, seed):
        super().__init__(seed)
        for worker in self.world.workers.values():
            worker.interfering_images = {('a', 'd'), ('b', 'd')}

    def _long_running_step(self):
        return dataclasses.replace(
            super()._long_running_step(),
            task_count=self.rng.randint(2, 6),
            processor_millis=self.rng.choice((500, 1_000)),
            per_worker_limit=self.rng.choice((0, 1)),
        )


class TestLedger:
    """
    The owner's ledger agrees with the workers, and no task waits beside room.
    """

    @pytest.mark.parametrize(
        'seed',
        range(FIRST_SEED, FIRST_SEED + SEED_COUNT),
    )
    def test_seed(self, seed):
        """
        Guards against long-running tasks that wait beside room, and why.

        After each trouble there is calm, in which the owner's counters, runs
        and capacities have to agree with what the workers have.
        """
        run_virtual(_soak(_LedgerSoak, seed))

    @pytest.mark.parametrize(
        'seed',
        range(FIRST_SEED, FIRST_SEED + (SEED_COUNT + 1) // 2),
    )
    def test_crashing_tasks(self, seed):
        """
        Guards against long-running tasks that wait because others have crashed
        their workers.
        """
        run_virtual(_soak(_CrashSoak, seed))

    @pytest.mark.parametrize(
        'seed',
        range(FIRST_SEED, FIRST_SEED + (SEED_COUNT + 1) // 2),
    )
    def test_evacuations(self, seed):
        """
        Guards against long-running tasks that wait because workers are
        evacuated, and orders are relayed.
        """
        run_virtual(_soak(_EvacuationSoak, seed))


async def _soak(kind, seed):
    await kind(seed).run()
