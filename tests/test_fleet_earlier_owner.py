"""
Tests of a process that becomes the owner of the shard again.
"""

import asyncio

from fake_store import virtual_tests
from fleet_world import World
from test_fleet_relays import cards
from virtual_time import VirtualClock, run_virtual

from hawthornpier.fleet._owner_monitor import OwnerMonitor
from hawthornpier.fleet._peer_port import Presence
from hawthornpier.fleet._writer import OwnerRow
from hawthornpier_standin.fleet import StoreFault


@virtual_tests(World)
class TestOwnerAgain:
    """
    A process that gave up the shard can be the owner again.
    """

    async def test_nobody_claims_the_shard_from_it(self, world):
        """
        Guards against a claim by what was reported of an earlier epoch.
        """
        await world.wait_first_owner()
        first = world.owner()
        first.client.fault = StoreFault.REFUSE
        await world.wait_until(lambda: world.owner() not in {None, first})
        await world.run_for(2_000)
        first.client.fault = StoreFault.NONE
        second = world.owner()
        others = set(world.nodes.values()) - {first, second}
        for node in others:
            node._ownership.is_candidate = False
        second.is_frozen = True
        await world.wait_until(lambda: first.local_shard() is not None)
        for node in others:
            node._ownership.is_candidate = True
        claim_count = self._claim_count(world)
        await world.run_for(4_000)
        assert self._claim_count(world) == claim_count
        assert first.local_shard() is not None

    def _claim_count(self, world):
        return sum(kind == 'shard_claimed' for _, kind, _ in world.log_lines)


class _EagerPeer:
    """
    A process that gave up an earlier epoch, so that it replies at once.
    """

    def __init__(self, card):
        self.card = card
        self.reply_count = 0

    async def watch(self, wait_ms, *, observer=''):
        await asyncio.sleep(0.001)
        self.reply_count += 1
        return Presence(
            process_id=self.card.process_id,
            configuration_version=1,
            epoch=0,
            given_up_epoch=1,
        )


class _OwnerRowOnly:
    """
    What a process knows of the owner: its row in the store.
    """

    def __init__(self, card):
        self.owner = OwnerRow(card=card, epoch=3, until_ms=9_000)


class TestMonitoring:
    """
    An owner is asked for its status at a limited rate.
    """

    def test_claim_whose_reply_the_owner_has_not_read(self):
        """
        Guards against requests without a pause by all other processes.
        """

        async def scenario():
            peer = _EagerPeer(cards(1)[0])
            monitor = OwnerMonitor(
                _OwnerRowOnly(peer.card),
                lambda: peer,
                address='x',
                clock=VirtualClock(),
            )
            running = asyncio.ensure_future(monitor.run())
            await asyncio.sleep(1)
            running.cancel()
            assert 1 < peer.reply_count < 12

        run_virtual(scenario())
