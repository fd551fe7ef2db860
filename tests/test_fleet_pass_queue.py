"""
Tests of the order of steps over several passes.
"""

from test_fleet_pass_slices import SlowPass

from hawthornpier.fleet._pass_queue import PassQueue


class TestLargeStep:
    """
    A step with more tasks than a pass can start.
    """

    async def test_a_step_that_was_served_gives_way(self):
        """
        Guards against a step of many tasks that keeps all others waiting.
        """
        work = SlowPass(3)
        steps = [job.occurrences[0].steps[0] for job in work.jobs]
        queue = PassQueue(steps, {}, 0)
        large = queue.pop(0)
        queue.put_back(large)
        following = PassQueue(steps, queue.missed(), 0)
        assert following.pop(0) is not large

    async def test_dropped_steps_keep_their_turn(self):
        """
        Guards against steps that lose their turn while starts have to wait.
        """
        work = SlowPass(3)
        steps = [job.occurrences[0].steps[0] for job in work.jobs]
        queue = PassQueue(steps, {steps[2]: 4}, 0)
        queue.drop_others()
        following = PassQueue(steps, queue.missed(), 0)
        assert following.pop(0) is steps[2]
