"""
Tests of workers that are tried again after their runs have failed.
"""

from fake_store import virtual_tests
from fleet_world import World
from test_fleet_ends import PLAN, add_worker, shard_with

from hawthornpier.fleet import WorkerTimings
from hawthornpier.fleet._health import HealthStatus
from hawthornpier.fleet._run_monitor import RunMonitor
from hawthornpier.steps import JobPhase, RunPhase, StepPlan
from hawthornpier_standin.fleet import WorkerFault

LASTING = StepPlan(
    task_count=2,
    processor_millis=1_000,
    per_worker_limit=1,
    is_lasting=True,
)
SHORT = StepPlan(task_count=2, processor_millis=1_000)
# The quarantine after a run that fails on probation, and the start after it.
QUARANTINE_MS = 3_000 + 500
# The longest quarantine and the time for a trial of the worker after it.
LIMIT_MS = 12_000 + 2_000


@virtual_tests(World)
class TestProbation:
    """
    A worker that works again gets tasks again.
    """

    options = {'worker_count': 2}

    async def test_workers_with_long_running_tasks_leave_probation(self, world):
        """
        Guards against workers that are shut out because they are never idle.
        """
        await self._fail_on_all_workers(world, LASTING)
        world.recover_workers()
        job = world.plan(SHORT)
        await world.any_node().entry.submit(job)
        await world.wait_phase(
            job.job_id, JobPhase.COMPLETED, limit_ms=LIMIT_MS
        )

    async def test_a_long_running_task_ends_a_probation(self, world):
        """
        Guards against workers that run a single long-running task for ever.
        """
        await self._fail_on_all_workers(world)
        world.recover_workers()
        job = world.plan(
            StepPlan(task_count=6, processor_millis=1_000, is_lasting=True)
        )
        await world.any_node().entry.submit(job)
        await world.run_for(LIMIT_MS)
        assert len(world.checker.running) == 6

    async def test_a_long_run_does_not_hold_a_probation(self, world):
        """
        Guards against tasks that wait beside a free worker for as long as its
        first run after a quarantine takes.
        """
        jobs = await self._fail_on_all_workers(world)
        await world.any_node().entry.submit(world.plan(SHORT, work_ms=120_000))
        for failing in jobs:
            await world.wait_phase(
                failing.job_id, JobPhase.FAILED, limit_ms=60_000
            )
        world.recover_workers()
        await world.run_for(LIMIT_MS)
        job = world.plan(LASTING)
        await world.any_node().entry.submit(job)
        await world.run_for(LIMIT_MS)
        assert any(
            task.startswith(job.job_id) for task, _ in world.checker.running
        )

    async def test_failures_from_before_a_quarantine_do_not_prolong_it(
        self, world
    ):
        """
        Guards against tasks that wait for seconds beside workers that have
        failed only for a moment.
        """
        await self._fail_on_all_workers(world)
        await self._check_recovery(world)

    async def test_a_long_quarantine_does_not_hold_long_running_tasks(
        self, world
    ):
        """
        Guards against tasks that wait beside room until it has ended.
        """
        await world.wait_first_owner()
        for worker in world.workers.values():
            worker.fault = WorkerFault.FAIL_ALL
        for _ in range(27):
            await world.any_node().entry.submit(world.plan(SHORT, work_ms=300))
            await world.run_for(500)
        await self._check_recovery(world)

    async def _check_recovery(self, world):
        world.recover_workers()
        plan = world.plan(LASTING)
        await world.any_node().entry.submit(plan)
        await world.run_for(QUARANTINE_MS)
        assert all(
            world.workers_of(f'{plan.job_id}.0.0.{index}') for index in range(2)
        )

    async def _fail_on_all_workers(self, world, *steps):
        await world.wait_first_owner()
        if steps:
            await world.any_node().entry.submit(world.plan(*steps))
            await world.run_for(1_000)
        for worker in world.workers.values():
            worker.fault = WorkerFault.FAIL_ALL
        jobs = [world.plan(SHORT) for _ in range(4)]
        for job in jobs:
            await world.any_node().entry.submit(job)
        await world.run_for(3_000)
        assert world.has_logged('worker_quarantined')
        return jobs


class TestStalledRuns:
    """
    A worker whose runs stand still is quarantined.
    """

    async def test_stalls_from_before_a_quarantine_do_not_prolong_it(self):
        """
        Guards against tasks that wait for seconds beside a worker that has
        stood still only for a moment.
        """
        shard = shard_with(PLAN)
        worker = add_worker(shard)
        monitor = RunMonitor(shard, WorkerTimings())
        runs = [
            shard.start_run(task, worker, reason='test')
            for job in shard.active_jobs()
            for task in job.tasks()
        ]
        stopped_ms = shard.now_ms
        for run in runs:
            run.phase = RunPhase.RUNNING
            run.listed_ms = run.percent_changed_ms + 10_000
            shard.clock.jump_ms += 300
            monitor.run_pass()
            assert run.phase is RunPhase.STOPPING
        assert len(runs) == 2
        status = worker.health.health_status(stopped_ms + 300 + 1_600)
        assert status is HealthStatus.PROBATION
