"""
Tests of the comparison between an owner and the simulated workers.
"""

import dataclasses

from fake_store import virtual_tests
from fleet_oracle import FleetOracle
from fleet_world import World

from hawthornpier import fleet
from hawthornpier.steps import RunOutcome, StepPlan

LASTING = StepPlan(task_count=2, processor_millis=3_000, is_lasting=True)
CALM_MS = 9_000


@virtual_tests(World)
class TestFleetOracle:
    """
    Each kind of difference is found, and nothing else.
    """

    options = {'worker_count': 2}

    async def test_calm_installation(self, world):
        oracle = await self._start(world)
        await oracle.watch_calm(CALM_MS)
        assert not oracle.violations

    async def test_reservation_that_no_move_holds(self, world):
        oracle = await self._start(world)
        shard = world.owner().local_shard()
        step = next(shard.active_jobs()).occurrences[0].steps[0]
        shard.workers['w0'].reserve(step)
        oracle.check_counters()
        assert any('reserved_millis' in each for each in oracle.violations)

    async def test_old_capacity(self, world):
        oracle = await self._start(world)
        worker = world.workers['w0']
        world.silent_workers.add(worker)
        worker.entry = dataclasses.replace(worker.entry, processor_millis=9_000)
        await oracle.watch_calm(CALM_MS)
        assert any('differs in proc' in each for each in oracle.violations)

    async def test_task_believed_to_be_at_work(self, world):
        oracle = await self._start(world)
        for worker in world.workers.values():
            worker.listing = _frozen(worker.listing())
            worker.runs.clear()
        await oracle.watch_calm(CALM_MS)
        found = ' '.join(oracle.violations)
        assert 'by the owner only' in found
        assert 'waits beside' in found

    async def test_task_that_is_never_placed(self, world):
        oracle = await self._start(world)
        world.owner().cycle.owner._scheduling._scheduler._ranked_steps = list
        for worker in world.workers.values():
            for key in list(worker.runs):
                worker._end(key, RunOutcome.STOPPED)
        await oracle.watch_calm(CALM_MS)
        assert any('waits beside' in each for each in oracle.violations)

    async def _start(self, world):
        await world.wait_first_owner()
        plan = world.plan(LASTING)
        await world.any_node().entry.submit(plan)
        await world.wait_starts(2)
        return FleetOracle(world, {plan.job_id}.__contains__)


@virtual_tests(World)
class TestLateStart:
    """
    A late start reaches the worker that it names.
    """

    options = {'worker_count': 1}

    async def test_another_worker_at_the_same_address(self, world):
        worker = world.workers['w0']
        order = fleet.StartOrder(
            task_key=f'{world.plan().job_id}.0.0.0',
            attempt=1,
            payload='',
            fencing_token=1,
            deadline_clock_ms=60_000,
        )
        worker.start_late(order)
        worker.restart('another')
        await world.run_for(worker.late_delay_ms + 100)
        assert not worker.runs


def _frozen(listing):
    return lambda: listing
