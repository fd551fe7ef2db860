"""
Tests of how an owner measures whether it is behind its work.
"""

import itertools

import pytest
from fake_store import virtual_tests
from fleet_suspension import SuspendableWorld

from hawthornpier.fleet._owner_load import OwnerLoad

LEASE_MS = 2_400


def loaded(*lags, times=1, then=(), interval_ms=50):
    """
    Return the load of an owner whose timers were late, one after the other.
    """
    load, now_ms = OwnerLoad(LEASE_MS), 0
    for lag_ms in (*itertools.chain(*itertools.repeat(lags, times)), *then):
        load.expect_timer(now_ms + interval_ms)
        now_ms += interval_ms + lag_ms
        load.record_lag(now_ms, lag_ms)
    return load


class TestOverload:
    """
    An owner is overloaded if it is late again and again.
    """

    @pytest.mark.parametrize(
        ('load', 'expected'),
        [
            # A pause, and the requests that it has delayed.
            (loaded(8_000, 300, 150, 0), False),
            (loaded(8_000, 300, then=(200, 150, 100)), False),
            # Passes of a large host with a backlog.
            (loaded(0, 90, times=20), False),
            # Passes of a small host, with and without gaps.
            (loaded(600, 0, times=4), True),
            (loaded(200, times=8), True),
            (loaded(200, times=8, then=range(60)), False),
        ],
    )
    def test_a_pause_is_told_from_a_host_that_is_too_small(
        self, load, expected
    ):
        """
        Guards against a shard that moves because its owner was paused once.
        """
        assert load.is_overloaded is expected

    def test_passes_that_are_cut_short(self):
        """
        Guards against an overload that slices of passes hide from timers.
        """
        load = OwnerLoad(LEASE_MS)
        for number in range(1, 9):
            load.record_pass(number * 300, 200, is_cut=number > 2)
            assert load.is_overloaded is (number > 6)
        load.record_pass(6_000, 200, is_cut=False)
        assert not load.is_overloaded

    def test_share_busy(self):
        """
        Guards against a load in the log that no limit bounds.
        """
        assert not loaded(0, times=100).share_busy()
        assert 45 < loaded(50, times=100).share_busy() * 100 < 55
        assert loaded(9_000, 9_000).share_busy() == 1


class TestOwnDelay:
    """
    Time in which the owner did not run is told from that of others.
    """

    def test_timer_that_has_not_fired_yet(self):
        """
        Guards against replies that count as lost because they are read before
        the timer that shows the delay.
        """
        load = loaded(0, 0)
        load.expect_timer(150)
        assert load.late_ms(100, 140) == 0
        assert load.late_ms(100, 850) == 700
        load.record_lag(850, 700)
        assert load.late_ms(100, 860) == 700

    def test_delays_before_the_request_do_not_count(self):
        """
        Guards against a worker that stays excused for an earlier pause.
        """
        load = loaded(600, 0)
        assert load.late_ms(650, 800) == 0
        assert load.late_ms(600, 800) == 50
        assert not load.was_late(600, 800)

    def test_short_delays_do_not_make_a_request_late(self):
        """
        Guards against a window of starts that closes by any load.
        """
        load = loaded(25, times=20)
        assert load.late_ms(0, 1_500) == 500
        assert not load.was_late(0, 1_500)
        assert loaded(600).was_late(0, 650)


@virtual_tests(SuspendableWorld)
class TestMonitor:
    """
    The owner logs its load while there is load worth reporting.
    """

    async def test_suspensions_are_logged_within_a_limit(self, world):
        """
        Guards against an owner that is too slow for its shard unnoticed.
        """
        await world.wait_first_owner()
        await world.run_for(3_000)
        assert not world.has_logged('owner_load')
        node = world.owner()
        owner = node.cycle.owner
        for _ in range(8):
            await world.suspend(node, 200)
            await world.run_for(50)
        assert owner.shard.load.is_overloaded
        await world.run_for(5_000)
        assert not owner.shard.load.is_overloaded
        lines = [
            fields
            for _, kind, fields in world.log_lines
            if kind == 'owner_load'
        ]
        assert 1 <= len(lines) <= 6
        assert max(line['lag_max_ms'] for line in lines) > 100
