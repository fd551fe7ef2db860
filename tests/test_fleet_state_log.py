"""
Tests of the log of the state of a shard.
"""

from fake_store import virtual_tests
from fleet_world import World

from hawthornpier.steps import StepPlan


@virtual_tests(World)
class TestExclusions:
    """
    The log tells why waiting tasks are not started.
    """

    options = {'worker_count': 3}

    async def test_log_tells_why_workers_are_excluded(self, world):
        """
        Guards against a task that waits without a reason in the log.
        """
        step = StepPlan(
            task_count=1, processor_millis=9_000, is_lasting=True, image='a'
        )
        await world.submit(world.plan(step))
        await world.run_for(2_500)
        states = [
            fields
            for _, kind, fields in world.log_lines
            if kind == 'shard_state'
        ]
        assert states[-1]['exclusions'] == {'lasting': {'no room': 3}}
        assert states[-1]['min_waiting_millis'] == {'lasting': 9_000}
