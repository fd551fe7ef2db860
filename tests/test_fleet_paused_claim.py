"""
Tests of a process that is suspended while it claims the shard.
"""

import asyncio

import pytest
from fleet_suspension import SuspendableWorld
from virtual_time import run_virtual

from hawthornpier.fleet._writer import OWNER_KEY
from hawthornpier.steps import JobPhase, StepPlan

MANY = StepPlan(task_count=24, processor_millis=1_000)


class _ClaimPause:
    """
    Suspends the next process that claims the shard, once the claim is stored.
    """

    def __init__(self, world, duration_ms):
        self.node = None
        self._world = world
        self._duration_ms = duration_ms
        world.store.on_applied = self._handle_applied

    def _handle_applied(self, transaction):
        candidates = [
            node
            for node in self._world.nodes.values()
            if not node.is_dead
            and node.card.process_id.encode()
            in transaction.writes.get(OWNER_KEY, b'')
        ]
        if self.node is None and candidates:
            self.node = candidates[0]
            # Before the reply is read.
            self.node.clock.begin()
            self._world._spawn(
                self._world.suspend(self.node, self._duration_ms)
            )


class TestPausedClaim:
    """
    A claim permits nothing once its reply is read late.
    """

    @pytest.mark.parametrize('duration_ms', [4_000, 9_000])
    def test_reply_that_is_read_late(self, duration_ms):
        """
        Guards against leases and starts by a process that was replaced.
        """

        async def scenario():
            world = SuspendableWorld(node_count=4)
            await world.wait_first_owner()
            plan = world.plan(MANY, work_ms=12_000)
            await world.any_node().entry.submit(plan)
            await world.run_for(500)
            pause = _ClaimPause(world, duration_ms)
            world.kill(world.owner())
            await world.wait_until(lambda: pause.node is not None)
            await world.wait_until(lambda: not pause.node.clock.is_suspended)
            owner = None
            while owner is None:
                await asyncio.sleep(0.001)
                owner = pause.node.cycle.owner
            assert not owner.shard.permits.may_start
            assert not owner.shard.permits.is_unclaimed
            await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
            world.finish()

        run_virtual(scenario())
