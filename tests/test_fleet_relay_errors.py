"""
Tests of unexpected errors in the connections to relays.
"""

import asyncio

import pytest
from fake_store import virtual_tests
from fleet_world import World
from hypothesis import given
from hypothesis import strategies as st
from test_fleet_relays import ENTRY, ORDER, SMALL_CORES, QuietSocket
from virtual_time import VirtualClock, run_virtual

from hawthornpier.fleet import connect_relay
from hawthornpier.fleet._relay_channel import RelayChannel
from hawthornpier.ports import (
    PeerUnreachableError,
    WorkerReplyLostError,
    WorkerUnreachableError,
)
from hawthornpier.steps import JobPhase

DEEP = '[' * 100_000
# Answers to calls that were not made, and twice to the first one.
ODD_ANSWERS = (
    b'{"answers":[[99,["failure",false,""]]]}',
    b'{"answers":[[1,["failure",false,""]],[1,["failure",true,""]]]}',
    b'{"answers":[[-1,["failure",true,""]]],"is_leaving":true}',
    f'{{"answers":{DEEP}'.encode(),
)


async def cancelled_call(*arguments):
    call = asyncio.get_running_loop().create_future()
    call.cancel()
    await call


async def failing_call(*arguments):
    raise ValueError('unexpected')


@virtual_tests(World)
class TestUnexpectedErrors:
    """
    An unexpected error ends no connection to a relay for good.
    """

    options = {'cores': SMALL_CORES, 'node_count': 4, 'worker_count': 6}

    async def test_an_error_in_the_connection(self, world):
        """
        Guards against an owner that contacts all workers itself from then on.
        """
        await self._run_job_after(world, failing_call)

    async def test_a_cancelled_call_in_the_connection(self, world):
        """
        Guards against the same by a call that a library cancels.
        """
        await self._run_job_after(world, cancelled_call)

    async def _run_job_after(self, world, connect):
        connect_relay_of_world = world._connect_relay
        world._connect_relay = connect
        await world.run_for(4_000)
        assert world.owner() is not None
        world._connect_relay = connect_relay_of_world
        await world.run_for(2_000)
        assert world.has_logged('relay_connected')
        plan = world.plan()
        await world.any_node().entry.submit(plan)
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)


class TestCancelledParts:
    """
    The end of one part of a connection ends the connection.
    """

    def test_a_cancelled_read_is_the_reason(self):
        """
        Guards against a connection that counts as cancelled by its user.
        """

        async def scenario():
            socket = QuietSocket()
            socket.receive = cancelled_call
            channel = RelayChannel(socket, VirtualClock())
            assert 'cancelled' in await channel.run()
            assert not channel.is_open

        run_virtual(scenario())


class TestUnreadableAnswers:
    """
    Whatever a relay sends, it only ends the connection.
    """

    @given(content=st.binary(max_size=80) | st.sampled_from(ODD_ANSWERS))
    def test_any_content(self, content):
        """
        Guards against a call that waits for ever, or an error of the owner.
        """

        async def scenario():
            socket = QuietSocket()
            socket.inbox.put_nowait(content)
            channel = RelayChannel(socket, VirtualClock())
            call = asyncio.ensure_future(channel.call(ENTRY, ORDER, 300))
            assert await channel.run()
            with pytest.raises((WorkerReplyLostError, WorkerUnreachableError)):
                await call

        run_virtual(scenario())


class TestAddresses:
    """
    An address that no host has counts as unreachable.
    """

    @pytest.mark.parametrize('address', ['[::', '..:80', f'{"a" * 300}:1'])
    def test_malformed(self, address):
        """
        Guards against an error that no caller expects.
        """
        with pytest.raises(PeerUnreachableError):
            asyncio.run(connect_relay(address))
