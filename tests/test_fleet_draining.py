"""
Tests of long-running tasks on workers that are draining.
"""

import dataclasses

import pytest
from test_fleet_evacuation import _Fleet
from test_fleet_held_work import confirm_permits

from hawthornpier.fleet import PlatformBounds, WorkerTimings
from hawthornpier.fleet._scheduler import Scheduler
from hawthornpier.steps import RunOutcome, RunPhase


class _Draining:
    """
    A fleet of which w0 is draining; w2 has processors for one of its tasks.
    """

    def __init__(self, remaining_ms):
        self.fleet = _Fleet()
        self.shard = self.fleet.shard
        self.run = self.fleet.tasks[0].runs[0]
        self.drain('w0', remaining_ms)
        self.scheduler = Scheduler(
            self.shard, bounds=PlatformBounds(), timings=WorkerTimings()
        )

    def drain(self, worker_id, remaining_ms):
        worker = self.shard.workers[worker_id]
        worker.entry = dataclasses.replace(
            worker.entry, is_draining=True, remaining_ms=remaining_ms
        )

    def run_pass(self, elapsed_ms=0):
        self.fleet.clock.now_ms += elapsed_ms
        confirm_permits(self.shard)
        self.shard.permits.confirm_unclaimed(self.shard.now_ms)
        self.scheduler.run_pass()


class TestDraining:
    """
    A task on a draining worker is stopped when there is room elsewhere.
    """

    def test_other_tasks_do_not_take_the_room_of_a_task(self):
        """
        Guards against a long-running task that waits because other tasks took
        the room that it was stopped for.
        """
        draining = _Draining(6_000)
        draining.shard.workers['w1'].is_listed = False
        draining.run_pass()
        assert draining.run.phase is RunPhase.STOPPING
        other = draining.fleet.add_task(processor_millis=1_000)
        draining.run_pass(300)
        assert not other.runs
        draining.shard.end_run(draining.run, RunOutcome.STOPPED)
        draining.run_pass(300)
        assert [run.worker_id for run in draining.run.task.runs] == ['w2']

    @pytest.mark.parametrize(
        ('remaining_ms', 'elapsed_ms', 'phase'),
        [
            (6_000, 4_000, RunPhase.RUNNING),
            (6_000, 5_000, RunPhase.STOPPING),
            (1_000, 0, RunPhase.STOPPING),
            (None, 300, RunPhase.RUNNING),
            (None, 1_000, RunPhase.STOPPING),
        ],
    )
    def test_a_task_without_room_elsewhere_goes_on_while_it_can(
        self, remaining_ms, elapsed_ms, phase
    ):
        """
        Guards against a task that is stopped though it fits nowhere else, and
        against one that is lost with its worker.
        """
        draining = _Draining(remaining_ms)
        draining.drain('w1', 60_000)
        del draining.shard.workers['w2']
        draining.run_pass()
        draining.run_pass(elapsed_ms)
        assert draining.run.phase is phase

    def test_a_task_leaves_a_worker_that_does_not_reply(self):
        """
        Guards against a short notice that passes while one reply is missing.
        """
        draining = _Draining(2_000)
        worker = draining.shard.workers['w0']
        worker.missed_reply_count = 1
        worker.early_lease_end_ms = draining.shard.now_ms + 5_000
        draining.run_pass()
        assert draining.run.phase is RunPhase.STOPPING

    def test_a_task_moves_once_there_is_room(self):
        """
        Guards against a task that is stopped late, when its worker has stopped.
        """
        draining = _Draining(6_000)
        draining.shard.workers['w1'].is_listed = False
        other = draining.shard.workers['w2']
        blocking = draining.fleet.add_task(processor_millis=7_000).step
        other.reserve(blocking)
        draining.run_pass()
        assert draining.run.phase is RunPhase.RUNNING
        other.cancel_reservation(blocking)
        draining.run_pass(300)
        assert draining.run.phase is RunPhase.STOPPING
