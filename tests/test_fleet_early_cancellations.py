"""
Tests of cancellations that reach the store before the job does.
"""

import asyncio

import pytest
from fake_store import virtual_tests
from fleet_world import World

from hawthornpier.fleet import OutcomeUnknownError, UnknownJobError
from hawthornpier.steps import JobPhase, StepPlan
from hawthornpier_standin.fleet import StoreFault

# The longest time after which a transaction is known to be applied late.
LATE_MS = 5_500
# Ended jobs stay readable for 150 s, and what they leave is removed after that.
REMOVED_MS = 170_000


@virtual_tests(World)
class TestEarlyCancellations:
    """
    A job does not run once its cancellation was answered, whenever it appears.
    """

    async def test_job_stored_late_does_not_run(self, world):
        plan = await submit_late(world)
        await cancel_unknown(world, plan)
        await self._expect_cancelled(world, plan)

    async def test_job_stored_late_does_not_run_under_the_next_owner(
        self, world
    ):
        plan = await submit_late(world)
        await cancel_unknown(world, plan)
        world.kill(world.owner())
        await self._expect_cancelled(world, plan)

    async def test_long_running_job_stored_late_does_not_run(self, world):
        plan = await submit_late(world, StepPlan(task_count=1, is_lasting=True))
        await cancel_unknown(world, plan)
        await self._expect_cancelled(world, plan)

    async def test_repeated_submission_after_the_cancellation_does_not_run(
        self, world
    ):
        plan = await submit_late(world)
        await cancel_unknown(world, plan)
        await world.nodes['n2'].entry.submit(plan)
        await self._expect_cancelled(world, plan)

    async def test_cancellation_beside_the_submission_is_kept(self, world):
        await world.wait_first_owner()
        plan = world.plan(work_ms=60_000)
        await asyncio.gather(
            cancel_unknown(world, plan),
            world.nodes['n2'].entry.submit(plan),
        )
        await world.run_for(3_000)
        assert not world.checker.running

    async def test_cancellation_of_a_job_that_never_appears_is_removed(
        self, world
    ):
        await world.wait_first_owner()
        await cancel_unknown(world, world.plan())
        await world.run_for(2_000)
        assert intake_rows(world)
        await world.run_for(REMOVED_MS)
        assert not intake_rows(world)
        assert not world.owner().local_shard().early_cancellations

    async def test_rows_of_a_job_stored_late_are_removed(self, world):
        plan = await submit_late(world)
        await cancel_unknown(world, plan)
        await self._expect_cancelled(world, plan)
        await world.run_for(REMOVED_MS)
        assert not intake_rows(world)

    async def _expect_cancelled(self, world, plan):
        await world.run_for(LATE_MS + 4_000)
        node = world.any_node()
        assert await node.entry.show(plan.job_id) is JobPhase.CANCELLED
        assert not world.checker.started_count


async def submit_late(world, *steps):
    """
    Submit a job whose row is written late, and give up the submission.
    """
    await world.wait_first_owner()
    world.store.late_delay_ms = LATE_MS
    node = next(
        each for each in world.nodes.values() if each is not world.owner()
    )
    plan = world.plan(*steps)
    node.client.fault = StoreFault.APPLY_LATE
    with pytest.raises(OutcomeUnknownError):
        await node.entry.submit(plan)
    node.client.fault = StoreFault.NONE
    return plan


async def cancel_unknown(world, plan):
    with pytest.raises(UnknownJobError):
        await world.owner().entry.cancel(plan.job_id)


def intake_rows(world):
    return [key for key in world.store.rows if key[0] == 'intake']
