"""
Tests of requests that callers repeat after an answer was lost.
"""

import pytest
from fake_store import virtual_tests
from fleet_world import World

from hawthornpier.fleet import NotStoredError, OutcomeUnknownError
from hawthornpier.fleet._unknown_outcomes import UnknownOutcomes
from hawthornpier.steps import JobPhase
from hawthornpier_standin.fleet import StoreFault


async def lost_reply(*arguments):
    """
    Reply as a peer does whose own reply from the store was lost.
    """


@virtual_tests(World)
class TestRepeatedSubmissions:
    """
    A job that may have been stored is never reported as refused.
    """

    async def test_while_the_store_refuses(self, world):
        """
        Guards against a refusal of a job that the store applies late.
        """
        await world.wait_first_owner()
        world.break_store(StoreFault.APPLY_LATE)
        node, plan = world.any_node(), world.plan()
        with pytest.raises(OutcomeUnknownError):
            await node.entry.submit(plan)
        world.break_store(StoreFault.REFUSE)
        with pytest.raises(OutcomeUnknownError):
            await node.entry.submit(plan)
        with pytest.raises(NotStoredError):
            await node.entry.submit(world.plan())
        world.break_store(StoreFault.NONE)
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)

    async def test_right_after_the_answer_of_a_peer_was_lost(self, world):
        """
        Guards against a refusal of a job that a peer has stored.
        """
        await world.wait_first_owner()
        node, plan = world.any_node(), world.plan()
        node.client.fault = StoreFault.REFUSE
        peers = node.relays()
        for peer in peers:
            peer.relay_job = lost_reply
        node.relays = lambda: peers
        with pytest.raises(OutcomeUnknownError):
            await node.entry.submit(plan)
        with pytest.raises(OutcomeUnknownError):
            await node.entry.submit(plan)

    async def test_through_a_peer_that_lost_the_answer_of_the_store(
        self, world
    ):
        """
        Guards against a peer that tells the caller's process of a refusal.
        """
        await world.wait_first_owner()
        first, second, *_ = world.nodes.values()
        plan = world.plan()
        world.break_store(StoreFault.APPLY_LATE)
        with pytest.raises(OutcomeUnknownError):
            await first.entry.submit(plan)
        world.break_store(StoreFault.REFUSE)
        with pytest.raises(OutcomeUnknownError):
            await second.entry.submit(plan)

    async def test_a_stored_job_is_accepted(self, world):
        """
        Guards against a job that stays unknown after its row was confirmed.
        """
        await world.wait_first_owner()
        world.break_store(StoreFault.APPLY_LATE)
        node, plan = world.any_node(), world.plan()
        with pytest.raises(OutcomeUnknownError):
            await node.entry.submit(plan)
        world.break_store(StoreFault.NONE)
        await world.run_for(1_500)
        await node.entry.submit(plan)
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        assert world.checker.started_count == 4


class TestUnknownOutcomes:
    """
    The keys of rows that may have been stored.
    """

    def test_number_is_limited(self):
        """
        Guards against memory that grows through a long outage.
        """
        outcomes = UnknownOutcomes()
        for number in range(30_000):
            outcomes.add(str(number))
        outcomes.check('0')
        with pytest.raises(OutcomeUnknownError):
            outcomes.check('29999')
