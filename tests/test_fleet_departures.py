"""
Tests of workers that have left, and of ids that are used again.
"""

from fake_store import virtual_tests
from fleet_world import REGISTRY, World
from registry_rows import encode_entry

from hawthornpier.steps import JobPhase, StepPlan
from hawthornpier_standin.fleet import StoreFault

HALF = StepPlan(task_count=2, processor_millis=5_000)
BEST_EFFORT = StepPlan(
    task_count=4, processor_millis=2_000, image='filling', is_filling=True
)
# Until a worker whose entry is missing counts as deregistered.
MISSING_MS = 3_500


def unregister(world, worker):
    """
    Remove the entry of a worker that serves on for a while.
    """
    world.silent_workers.add(worker)
    world.store.remove(REGISTRY, worker.entry.worker_id)


@virtual_tests(World)
class TestDepartedWorkers:
    """
    Nothing is started on a worker that has left the registry.
    """

    options = {'worker_count': 2}

    async def test_a_new_owner_starts_nothing_there(self, world):
        """
        Guards against starts on a worker that only the previous owner knew.
        """
        await world.wait_first_owner()
        await world.any_node().entry.submit(world.plan(HALF, work_ms=60_000))
        await world.wait_starts(2)
        world.kill(world.owner())
        unregister(world, world.workers['w0'])
        await world.wait_until(lambda: world.owner() is not None)
        await world.any_node().entry.submit(
            world.plan(BEST_EFFORT, work_ms=60_000)
        )
        await world.run_for(6_000)
        assert 'w1' in world.checker.running.values()
        assert list(world.checker.running.values()).count('w0') == 1

    async def test_a_removal_right_after_a_heartbeat_counts(self, world):
        """
        Guards against a worker that stays in use after its entry was removed.

        The owner reads its last heartbeat and the removal at once.
        """
        await world.wait_first_owner()
        worker = world.workers['w0']
        world.store.put(REGISTRY, 'w0', encode_entry(worker.entry))
        unregister(world, worker)
        await world.run_for(MISSING_MS)
        await world.any_node().entry.submit(world.plan(HALF, work_ms=60_000))
        await world.run_for(2_000)
        assert list(world.checker.running.values()) == ['w1']

    async def test_a_removal_before_an_outage_of_the_store_counts(self, world):
        """
        Guards against a worker that stays in use after its entry was removed.

        The time without an entry starts anew after an outage.
        """
        await world.wait_first_owner()
        unregister(world, world.workers['w0'])
        await world.run_for(1_000)
        world.break_store(StoreFault.REFUSE)
        await world.run_for(1_000)
        world.break_store(StoreFault.NONE)
        await world.run_for(MISSING_MS)
        await world.any_node().entry.submit(world.plan(HALF, work_ms=60_000))
        await world.run_for(2_000)
        assert list(world.checker.running.values()) == ['w1']


@virtual_tests(World)
class TestReusedId:
    """
    A worker may start again under the id that it had.
    """

    options = {'worker_count': 2}

    async def test_a_start_that_the_next_incarnation_accepts(self, world):
        """
        Guards against a task that runs twice: the run counted as lost with the
        previous incarnation, which the registry still named.
        """
        await world.wait_first_owner()
        worker = world.workers['w0']
        worker.crash()
        plan = world.plan(
            StepPlan(task_count=12, processor_millis=1_000), work_ms=3_000
        )
        await world.any_node().entry.submit(plan)
        await world.run_for(300)
        worker.restart()
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        await world.run_for(3_000)

    async def test_ends_that_the_next_incarnation_has_not_listed(self, world):
        """
        Guards against a completed task that runs again: its end was
        acknowledged by a number of the previous incarnation.
        """
        await world.wait_first_owner()
        await self._run(world)
        for worker in world.workers.values():
            worker.crash()
            worker.restart()
        await self._run(world)
        await world.run_for(3_000)

    async def _run(self, world):
        plan = world.plan(StepPlan(task_count=16, processor_millis=1_000))
        await world.any_node().entry.submit(plan)
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)

    async def test_starts_that_another_id_rejects_are_not_repeated(self, world):
        """
        Guards against tasks that are placed, pass after pass, on a worker whose
        address has another one now.
        """
        await world.wait_first_owner()
        worker = world.workers['w0']
        worker.crash()
        world.workers['other'] = worker
        worker.restart('other')
        plan = world.plan(StepPlan(task_count=12, processor_millis=1_000))
        await world.any_node().entry.submit(plan)
        await world.run_for(1_000)
        refused = [kind for _, kind, _ in world.log_lines].count(
            'start_refused'
        )
        assert refused <= plan.steps[0].task_count
