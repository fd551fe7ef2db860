"""
Tests of entry processes in which an unexpected error occurs.
"""

import asyncio
import collections
from dataclasses import replace

import pytest
from node_world import World
from virtual_time import run_virtual

# A component of a node, and a method that it calls repeatedly.
PARTS = (
    ('_lease', '_acquire_or_renew'),
    ('_membership', '_update_peers'),
    ('_membership', '_exchange_heartbeat'),
    ('_host_view', 'refresh'),
    ('_table_sync', '_is_read_due'),
    ('_ownership', 'step'),
)


class Failing:
    """
    A method that fails at its first call.
    """

    def __init__(self, method, error):
        self.call_counts = collections.Counter()
        self._is_failing = True
        self._method = method
        self._error = error

    def __call__(self, *arguments):
        # Heartbeats are counted by failure domain.
        self.call_counts[arguments[1:]] += 1
        if self._is_failing:
            self._is_failing = False
            raise self._error
        return self._method(*arguments)


class TestParts:
    """
    The long-running parts of a process.
    """

    @pytest.mark.parametrize(('component', 'method'), PARTS)
    @pytest.mark.parametrize(
        'error', [RuntimeError('x'), asyncio.CancelledError()]
    )
    def test_part_runs_again_after_an_error(self, component, method, error):
        """
        Guards against a process that one unexpected error ends.
        """

        async def scenario():
            world = World(seed=1)
            await world.start()
            node = world.running()[0].node
            part = getattr(node, component)
            failing = Failing(getattr(part, method), error)
            setattr(part, method, failing)
            await world.clock.sleep_ms(20_000)
            await world.finish()
            return failing.call_counts

        assert min(run_virtual(scenario()).values()) > 5


class TestClaims:
    """
    Replies of the store to claims of shards.
    """

    def test_unreadable_reply_to_a_claim(self):
        """
        Guards against a garbled row that ends the claims of a process.
        """

        async def scenario():
            world = World(seed=1)
            transact = world.store.transact

            async def transact_garbled(transaction):
                result = await transact(transaction)
                rows = [
                    replace(row, text='{') if 'melaka' in row.key else row
                    for row in result.rows
                ]
                return replace(result, rows=tuple(rows))

            process = world.processes['ipoh-0']
            world.store.transact = transact_garbled
            await process.start()
            await world.clock.sleep_ms(40_000)
            world.store.transact = transact
            await world.clock.sleep_ms(5_000)
            owned = set(process.node._ownership.owned)
            served = set(process.node._local_shards.owners())
            await world.finish()
            return owned, served

        owned, served = run_virtual(scenario())
        assert owned == served == {'ipoh/0', 'kuching/0', 'melaka/0'}
