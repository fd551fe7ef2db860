"""
Tests of the window of starts without replies, and of a release that fails.
"""

import contextlib

import pytest
from fake_store import virtual_tests
from test_fleet_start_gate import (
    ORDERS_ID,
    busy_shard,
    narrow,
    place,
)
from test_fleet_succession import small_owner_world, start_long_running

from hawthornpier.fleet import _owner


class TestWindow:
    """
    The window of starts in flight.
    """

    async def test_a_timeout_is_no_reply_in_time(self):
        """
        Guards against a window that grows with the starts that are lost on a
        link that is full.
        """
        shard, _ = busy_shard()
        narrow(shard)
        before = shard.start_gate.window.limit
        for _ in range(40):
            with pytest.raises(TimeoutError), shard.start_gate.in_flight():
                raise TimeoutError
        assert shard.start_gate.window.limit == before

    async def test_a_start_that_is_queued_again_keeps_its_time(self):
        """
        Guards against a start that waits for longer than it may, because more
        urgent ones come again and again.
        """
        shard, worker = busy_shard()
        narrow(shard)
        run = place(shard, ORDERS_ID, 1)[0]
        order = worker.orders.get_nowait()
        gate = shard.start_gate
        with flights(gate):
            assert not gate.admit(order, run, worker)
        for _ in range(4):
            shard.clock.jump_ms += 400
            gate.wake()
            while not worker.orders.empty():
                worker.orders.get_nowait()
            with flights(gate):
                assert not gate.admit(order, run, worker)
                expired = gate.take_expired()
        assert expired == [run]


def flights(gate):
    stack = contextlib.ExitStack()
    for _ in range(gate.window.limit):
        stack.enter_context(gate.in_flight())
    return stack


@virtual_tests(small_owner_world)
class TestFailedRelease:
    """
    A release that ends with an error.
    """

    async def test_the_shard_is_given_up(self, world):
        """
        Guards against an owner that starts nothing and renews its claim.
        """
        await start_long_running(world)
        original = _owner.withdraw_all_unsent_starts

        def fail(*arguments):
            raise KeyError('w0')

        _owner.withdraw_all_unsent_starts = fail
        try:
            world.start_node('large', cores=4)
            await world.run_for(15_000)
        finally:
            _owner.withdraw_all_unsent_starts = original
        assert world.owner() is not None
