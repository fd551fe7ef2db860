"""
Tests of entries of the registry that disagree with a worker itself.
"""

import dataclasses

from fake_store import virtual_tests
from fleet_world import HEARTBEAT_MS, REGISTRY, World
from registry_rows import encode_entry

from hawthornpier.steps import JobPhase, StepPlan
from hawthornpier_standin.fleet import WorkerFault

LASTING = StepPlan(task_count=1, processor_millis=1_000, is_lasting=True)
WHOLE_WORKER = StepPlan(task_count=4, processor_millis=8_000)
# Unix time of a host whose clock is far ahead.
FUTURE_MS = 4 * 10**12
ODD_BORN = ({'incarnation_ms': FUTURE_MS}, {'incarnation_ms': 0})


def put_odd_entry(world, worker, **changes):
    entry = dataclasses.replace(worker.entry, **changes)
    world.store.put(REGISTRY, entry.worker_id, encode_entry(entry))


async def run_lasting(world):
    """
    Return the key of a long-running task and its worker.
    """
    task = await world.submit(world.plan(LASTING))
    await world.wait_starts(1)
    await world.run_for(500)
    return task, world.workers_of(task)[0]


async def check_usable(world):
    """
    Check that tasks which need a whole worker each run on all workers at once.
    """
    plan = world.plan(WHOLE_WORKER, work_ms=3_000)
    await world.any_node().entry.submit(plan)
    await world.wait_phase(plan.job_id, JobPhase.COMPLETED, limit_ms=5_500)


@virtual_tests(World)
class TestSteppedClock:
    """
    A worker's restart counts although its host's clock was set back.
    """

    async def test_a_restarted_worker_is_used(self, world):
        """
        Guards against workers whose room the owner can't see for good.
        """
        await world.wait_first_owner()
        for worker in world.workers.values():
            worker.crash()
            worker.restart(incarnation_ms=worker.entry.incarnation_ms - 1_000)
        await world.run_for(2 * HEARTBEAT_MS)
        await check_usable(world)

    async def test_lost_runs_start_again_soon(self, world):
        """
        Guards against a long-running task that waits for the end of a lease
        although the next incarnation replies.
        """
        task, worker = await run_lasting(world)
        worker.crash()
        worker.restart(incarnation_ms=worker.entry.incarnation_ms - 1_000)
        await world.run_for(HEARTBEAT_MS + 1_000)
        assert world.workers_of(task)

    async def test_crashes_are_counted(self, world):
        """
        Guards against a task that crashes worker after worker for good.
        """
        world.keeps_worker_id = True
        world.restarted_clock_step_ms = -60_000
        one = StepPlan(task_count=1)
        plan = world.plan(one, crashing_tasks=((0, 0),))
        task = await world.submit(plan)
        await world.wait_phase(plan.job_id, JobPhase.FAILED, limit_ms=90_000)
        assert world.checker.crash_counts[task] <= 5


@virtual_tests(World)
class TestOddEntry:
    """
    An entry that the worker itself contradicts changes nothing.
    """

    async def test_another_incarnation_of_a_worker_that_replies(self, world):
        """
        Guards against two runs of a task, and a worker that is lost for good.
        """
        task, worker = await run_lasting(world)
        for changes in ODD_BORN:
            put_odd_entry(world, worker, **changes)
            await world.run_for(HEARTBEAT_MS)
        assert world.checker.started_count == 1
        world.checker.long_running_tasks.discard(task)
        await world.any_node().entry.cancel(task.partition('.')[0])
        await world.run_for(1_000)
        await check_usable(world)

    async def test_another_incarnation_of_a_silent_worker(self, world):
        """
        Guards against a second run before the lease of the first has expired.
        """
        task, worker = await run_lasting(world)
        world.silent_workers.add(worker)
        worker.fault = WorkerFault.PARTITIONED
        put_odd_entry(world, worker, incarnation_ms=FUTURE_MS)
        await world.run_for(3_000)
        assert world.checker.started_count == 1
        world.reconnect(worker)
        await world.run_for(3_000)
        assert world.workers_of(task) == [worker]

    async def test_a_late_heartbeat_of_the_previous_incarnation(self, world):
        """
        Guards against a return to an incarnation that has ended.
        """
        task, worker = await run_lasting(world)
        earlier = worker.entry
        worker.crash()
        worker.restart()
        await world.wait_until(lambda: world.workers_of(task))
        await world.run_for(2 * HEARTBEAT_MS)
        started_count = world.checker.started_count
        world.silent_workers.add(worker)
        put_odd_entry(world, worker, incarnation_ms=earlier.incarnation_ms)
        await world.run_for(2_000)
        assert world.checker.started_count == started_count
        await check_usable_beside(world, task)

    async def test_another_address(self, world):
        """
        Guards against a worker that the next owner reaches at no address, and
        whose runs it takes for ended because another worker replies there.
        """
        task, worker = await run_lasting(world)
        other = next(
            each for each in world.workers.values() if each is not worker
        )
        world.silent_workers.add(worker)
        put_odd_entry(world, worker, address=other.entry.address)
        await world.run_for(1_000)
        world.kill(world.owner())
        await world.run_for(3_000)
        assert world.checker.started_count == 1
        world.silent_workers.discard(worker)
        await world.run_for(2 * HEARTBEAT_MS)
        world.checker.long_running_tasks.discard(task)
        await world.any_node().entry.cancel(task.partition('.')[0])
        await world.run_for(1_000)
        await check_usable(world)

    async def test_the_first_entry_that_an_owner_reads(self, world):
        """
        Guards against a worker that is lost until the owner changes again.
        """
        await world.wait_first_owner()
        world.kill(world.owner())
        world.silent_workers.update(world.workers.values())
        for worker in world.workers.values():
            put_odd_entry(
                world, worker, incarnation_ms=FUTURE_MS, address='nowhere:80'
            )
        await world.wait_until(lambda: world.owner() is not None)
        await world.run_for(1_000)
        world.silent_workers.clear()
        await world.run_for(2 * HEARTBEAT_MS)
        await check_usable(world)


@virtual_tests(World)
class TestMovedWorker:
    """
    A worker that starts again may have another address and capacity.
    """

    async def test_a_restart_at_another_address(self, world):
        """
        Guards against a worker that is not found at its new address.
        """
        await world.wait_first_owner()
        worker = world.workers['w0']
        worker.crash()
        worker.restart(address='elsewhere:80')
        world.hosts['elsewhere:80'] = worker
        await world.run_for(3 * HEARTBEAT_MS)
        await check_usable(world)

    async def test_a_restart_with_a_smaller_capacity(self, world):
        """
        Guards against starts by the capacity of the previous incarnation.
        """
        for worker in world.workers.values():
            worker.checks_capacity = False
        await world.wait_first_owner()
        worker = world.workers['w0']
        worker.crash()
        worker.restart(processor_millis=1_000)
        world.silent_workers.add(worker)
        plan = world.plan(WHOLE_WORKER, work_ms=6_000)
        await world.any_node().entry.submit(plan)
        await world.run_for(2_000)
        assert not worker.runs


async def check_usable_beside(world, task):
    """
    Check that another task can run on the worker of a long-running one.
    """
    rest = StepPlan(task_count=4, processor_millis=7_000)
    plan = world.plan(rest, work_ms=3_000)
    await world.any_node().entry.submit(plan)
    await world.wait_phase(plan.job_id, JobPhase.COMPLETED, limit_ms=5_500)
    assert world.workers_of(task)
