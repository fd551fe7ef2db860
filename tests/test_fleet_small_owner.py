"""
Tests of an owner of the shard whose host cannot carry it.
"""

import pytest
from fleet_hosts import LARGE
from fleet_oracle import JUDGED_MS, LONGEST_WAIT_MS
from host_time import run_on_hosts
from observed_hosts import SAMPLE_MS, LoadedWorld, simulate_workers_coarsely

TICK_MS = 100.0


@pytest.fixture(autouse=True)
def coarse_workers(monkeypatch):
    simulate_workers_coarsely(monkeypatch, TICK_MS)


class TestSmallOwner:
    """
    A small host owns the shard of 176 workers after an outage of most hosts.
    """

    @pytest.mark.parametrize(
        ('tasks_per_job', 'limit_ms'),
        [(4, LONGEST_WAIT_MS), (2, JUDGED_MS + LONGEST_WAIT_MS)],
    )
    def test_long_running_tasks_do_not_wait(self, tasks_per_job, limit_ms):
        """
        Guards against an owner that cannot keep up, so that long-running tasks
        wait for its other work although workers have room.
        """

        async def scenario():
            world = LoadedWorld(
                worker_count=176, small_count=1, tasks_per_job=tasks_per_job
            )
            await world.run_until_small_owner()
            await world.run_for(limit_ms)
            world.observe()
            world.finish()
            assert not world.waits.waiting_count

        run_on_hosts(scenario())

    def test_a_larger_host_takes_over_the_backlog(self):
        """
        Guards against a small owner that keeps the shard, so that its backlog
        lasts although larger hosts are back.
        """

        async def scenario():
            world = LoadedWorld(worker_count=176, small_count=1)
            await world.run_until_small_owner()
            await world.run_for(1_500)
            world.start_hosts('large', 3, LARGE)
            await world.wait_large_owner()
            await world.run_for(JUDGED_MS)
            world.waits.longest_ms.clear()
            await world.run_for(LONGEST_WAIT_MS + SAMPLE_MS)
            assert world.owner_size() == 'large'
            world.finish()
            assert world.longest_wait_ms() <= LONGEST_WAIT_MS
            assert world.most_owners == 1

        run_on_hosts(scenario())

    def test_the_move_to_a_larger_host_stops_no_run(self):
        """
        Guards against a handover that ends runs, or after which both owners
        act.
        """

        async def scenario():
            world = LoadedWorld(worker_count=60, small_count=2)
            await world.run_until_small_owner()
            await world.wait_all_run()
            await world.run_for(1_000)
            returned_ms = world.clock.monotonic_ms()
            world.lost_runs.clear()
            world.waits.longest_ms.clear()
            world.start_hosts('large', 3, LARGE)
            await world.wait_large_owner()
            await world.run_for(JUDGED_MS)
            world.finish()
            assert len(world.changes_since(returned_ms)) == 1
            assert not world.lost_runs
            assert not world.late_epochs
            assert world.longest_wait_ms() <= LONGEST_WAIT_MS
            assert world.most_owners == 1

        run_on_hosts(scenario())


class TestSlowedOwner:
    """
    A host that is as large as the others is slower for some time.
    """

    @pytest.mark.parametrize('slowdown', [10, 30])
    def test_an_owner_on_a_slowed_host_starts_no_run_twice(self, slowdown):
        """
        Guards against two owners that act, and against tasks that wait after
        the host has recovered.
        """

        async def scenario():
            world = LoadedWorld(worker_count=60, small_count=0)
            await world.run_until_busy()
            world._spawn(world.submit_other_work())
            host = world.owner_host()
            host.slow_down(slowdown)
            await world.run_for(8_000)
            host.slow_down(1)
            await _check_calm(world)

        run_on_hosts(scenario())

    @pytest.mark.parametrize('busy_ms', [1_000, 3_000])
    def test_an_owner_whose_renewals_are_late_starts_no_run_twice(
        self, busy_ms
    ):
        """
        Guards against an owner that acts on a lease that has run out while its
        processor was busy.
        """

        async def scenario():
            world = LoadedWorld(worker_count=60, small_count=0)
            await world.run_until_busy()
            world._spawn(world.submit_other_work())
            for _ in range(2):
                world.owner_host().charge(busy_ms)
                await world.run_for(busy_ms + 800)
            await _check_calm(world)

        run_on_hosts(scenario())


async def _check_calm(world):
    """
    Check that no start came late, and that no task waits some time later.
    """
    await world.run_for(JUDGED_MS)
    world.waits.longest_ms.clear()
    await world.run_for(LONGEST_WAIT_MS + SAMPLE_MS)
    world.finish()
    late_starts = [late for late in world.late_epochs if late[1] == 'start']
    assert not late_starts
    assert world.longest_wait_ms() <= LONGEST_WAIT_MS
