"""
Tests of the comparison of the owner's counters with a new count.
"""

import pytest
from test_fleet_evacuation import _Fleet

from hawthornpier.fleet._ledger_differences import (
    DifferenceKind,
    find_differences,
)
from hawthornpier.steps import remove_run


def _keep_room_of_ended_run(fleet):
    run = fleet.tasks[0].runs[0]
    fleet.shard.workers['w0'].runs.pop(run.key)
    remove_run(run.task, run)


def _lose_run_of_worker(fleet):
    fleet.shard.workers['w0'].release(fleet.tasks[0].runs[0])


def _lose_run_of_task(fleet):
    remove_run(fleet.tasks[0], fleet.tasks[0].runs[0])


def _remove_worker(fleet):
    fleet.shard.workers.pop('w0')


def _count_waiting_task_as_busy(fleet):
    fleet.best_effort_step.busy_count += 1


def _count_task_as_done(fleet):
    fleet.tasks[0].step.done_count += 1


def _forget_job(fleet):
    job_id = fleet.long_running_job.plan.job_id
    fleet.shard._active_jobs.pop(job_id)


def _leave_reservation(fleet):
    fleet.moves.begin(fleet.tasks[0].runs[0], fleet.shard.workers['w2'], 'test')
    fleet.shard.workers.pop('w2')


class TestDifferences:
    """
    Each kind of difference is found, and none where there is none.
    """

    def test_room_reserved_for_moves_is_counted(self):
        """
        Guards against reports about room that is reserved on purpose.
        """
        fleet = _Fleet()
        fleet.moves.begin(
            fleet.tasks[0].runs[0], fleet.shard.workers['w1'], 'test'
        )
        assert not find_differences(fleet.shard)

    @pytest.mark.parametrize(
        ('change', 'kinds'),
        [
            (_keep_room_of_ended_run, {DifferenceKind.WORKER_COUNTER}),
            (_lose_run_of_worker, {DifferenceKind.RUN_WITHOUT_WORKER}),
            (_lose_run_of_task, {DifferenceKind.RUN_WITHOUT_TASK}),
            (_remove_worker, {DifferenceKind.RUN_WITHOUT_WORKER}),
            (_count_waiting_task_as_busy, {DifferenceKind.STEP_COUNTER}),
            (_count_task_as_done, {DifferenceKind.STEP_COUNTER}),
            (_forget_job, {DifferenceKind.INACTIVE_JOB}),
            (_leave_reservation, {DifferenceKind.STALE_RESERVATION}),
        ],
    )
    def test_difference_is_found(self, change, kinds):
        """
        Guards against room or tasks that only the owner's counters lose.
        """
        fleet = _Fleet()
        assert not find_differences(fleet.shard)
        change(fleet)
        assert {each.kind for each in find_differences(fleet.shard)} == kinds

    def test_counter_is_named_with_both_figures(self):
        """
        Guards against a difference that does not tell what hides the room.
        """
        fleet = _Fleet()
        worker = fleet.shard.workers['w0']
        kept_millis = worker.reserved_millis
        _keep_room_of_ended_run(fleet)
        found = {each.field: each for each in find_differences(fleet.shard)}
        assert found['reserved_millis'].worker == 'w0'
        assert found['reserved_millis'].kept == kept_millis
        assert found['reserved_millis'].counted == 0
        assert 'image_counts serving' in found
