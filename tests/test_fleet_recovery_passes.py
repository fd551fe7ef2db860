"""
Tests of scheduling passes in which long-running tasks must run again.
"""

import random

import pytest
from test_fleet_evacuation import _Clock
from test_fleet_placement import step_of, usable_workers

from hawthornpier.events import DecisionLog
from hawthornpier.fleet import PlatformBounds, WorkerTimings
from hawthornpier.fleet._placement import Placement
from hawthornpier.fleet._scheduler import Scheduler
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._worker_load import WorkerLoad
from hawthornpier.steps import Run, RunPhase, add_run

IMAGES = ('a', 'b', 'c', 'd', 'e', 'f')
STEP_COUNT = 167
BACKLOG_COUNT = 200


class _Recovery:
    """
    A shard of which long-running tasks have lost their runs in an outage.

    A third of its workers cannot be used, and a backlog of best-effort steps
    finds no worker.
    """

    def __init__(self, worker_count, monkeypatch, *, lost_count):
        rng = random.Random(1)
        self.shard = Shard('s', epoch=1, clock=_Clock(), log=DecisionLog('n'))
        workers = usable_workers(worker_count, rng)
        for number, worker in enumerate(workers):
            worker.best_effort_millis = worker.entry.processor_millis
            worker.missed_reply_count = int(number % 3 == 0)
            self.shard.workers[worker.worker_id] = worker
        usable = [worker for worker in workers if worker.is_usable]
        self.tasks = []
        for number in range(STEP_COUNT + BACKLOG_COUNT):
            is_filling = number >= STEP_COUNT
            step = step_of(
                number,
                task_count=6,
                processor_millis=1_000 + number % 7 * 80,
                image=IMAGES[number % len(IMAGES)],
                is_filling=is_filling,
                is_lasting=not is_filling,
            )
            self.shard.index_job(step.job)
            self.tasks += [] if is_filling else step.tasks
        for task in self.tasks[lost_count:]:
            worker = rng.choice(usable)
            run = Run(task, 1, worker.worker_id, 0)
            run.phase = RunPhase.RUNNING
            worker.charge(run)
            add_run(task, run)
        self.examined_count = 0
        self._count_calls(WorkerLoad, 'fits', monkeypatch)
        self._count_calls(Placement, 'rank_floor', monkeypatch)
        self._scheduler = Scheduler(
            self.shard, bounds=PlatformBounds(), timings=WorkerTimings()
        )

    def run_pass(self):
        """
        Return how often a pass has held a worker against a step.
        """
        self.examined_count = 0
        self.shard.clock.now_ms += 50
        self._scheduler.run_pass()
        return self.examined_count

    def _count_calls(self, owner, name, monkeypatch):
        original = getattr(owner, name)

        def counted(*arguments):
            self.examined_count += 1
            return original(*arguments)

        monkeypatch.setattr(owner, name, counted)


@pytest.mark.parametrize('worker_count', [176, 270])
class TestRecoveryPass:
    """
    All long-running tasks that may run again are placed in the next pass.
    """

    @pytest.mark.parametrize('lost_count', [60, 1_000])
    def test_all_are_placed_whatever_waits_besides(
        self, worker_count, lost_count, monkeypatch
    ):
        """
        Guards against a pass that takes much of the 3 s in which they must run
        again: on the smallest hosts, a worker is held against a step in 20 us.
        """
        recovery = _Recovery(worker_count, monkeypatch, lost_count=lost_count)
        examined_count = recovery.run_pass()
        assert all(task.runs for task in recovery.tasks)
        # Each usable worker for each step, by its room and by its rank; then
        # some for the log.
        lost_steps = lost_count / 6
        assert examined_count <= worker_count * (1.5 * lost_steps + 8)

    def test_backlog_is_not_examined_while_nothing_changes(
        self, worker_count, monkeypatch
    ):
        """
        Guards against passes that look again at all workers for each step that
        none of them can take.
        """
        recovery = _Recovery(worker_count, monkeypatch, lost_count=60)
        recovery.run_pass()
        assert recovery.run_pass() <= worker_count
