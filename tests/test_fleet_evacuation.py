"""
Tests of the evacuation of workers for starved best-effort images.
"""

import dataclasses

from virtual_time import VirtualClock

from hawthornpier.events import DecisionLog
from hawthornpier.fleet import PlatformBounds, WorkerEntry, WorkerTimings
from hawthornpier.fleet._evacuation import Evacuation
from hawthornpier.fleet._moves import Moves
from hawthornpier.fleet._placement import Placement
from hawthornpier.fleet._scheduler import Scheduler
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.steps import (
    JobPlan,
    QueuePolicy,
    Run,
    RunOutcome,
    RunPhase,
    StepPlan,
    add_run,
)

LONG_RUNNING = StepPlan(
    task_count=1,
    processor_millis=8_000,
    image='serving',
    tail_target_ms=150,
    is_lasting=True,
)


class _Clock(VirtualClock):
    """
    A clock that stands still.
    """

    now_ms = 1_000.0

    def monotonic_ms(self):
        return self.now_ms


def _entry(worker_id, processor_millis):
    return WorkerEntry(
        worker_id=worker_id,
        service='desk',
        address=worker_id,
        failure_domain='z',
        processor_millis=processor_millis,
        memory_mb=64_000,
        accelerator_count=0,
        incarnation_ms=1,
    )


class _Fleet:
    """
    Three workers; two run a long-running task each that an image harms.

    The third has processors for just one of these tasks.
    """

    def __init__(self):
        self.clock = _Clock()
        self.shard = Shard('s', epoch=1, clock=self.clock, log=DecisionLog('n'))
        self.shard.interference.load([('serving', 'heavy', 1.0, 0.01)])
        self.long_running_job = self._job(LONG_RUNNING, 2)
        for number, millis in enumerate((8_000, 8_000, 2_000)):
            worker = WorkerState(_entry(f'w{number}', 4 * millis))
            worker.is_listed = True
            worker.is_recorded = True
            self.shard.workers[worker.worker_id] = worker
        for task, worker_id in zip(self.tasks, ('w0', 'w1'), strict=True):
            run = Run(task, 1, worker_id, 0)
            run.percent = 100
            run.phase = RunPhase.RUNNING
            add_run(task, run)
            self.shard.workers[worker_id].charge(run)
        self.best_effort_step = self.add_best_effort_step()
        self.moves = Moves(self.shard)
        self.evacuation = Evacuation(
            self.shard, Placement(self.shard.interference), self.moves
        )

    @property
    def tasks(self):
        return self.long_running_job.occurrences[0].steps[0].tasks

    @property
    def stopping(self):
        return [
            run
            for task in self.tasks
            for run in task.runs
            if run.phase is RunPhase.STOPPING
        ]

    def run_evacuation(self, waited_ms):
        self.best_effort_step.unplaced_since_ms = self.clock.now_ms - waited_ms
        self.evacuation.run_pass([self.best_effort_step])

    def other_worker(self, run):
        """
        Return the other worker of w0 and w1, where the task is moved to.
        """
        other_id = 'w1' if run.worker_id == 'w0' else 'w0'
        return self.shard.workers[other_id]

    def add_task(self, **options):
        plan = StepPlan(task_count=1, **options)
        return self._job(plan, 1).occurrences[0].steps[0].tasks[0]

    def add_best_effort_step(self):
        plan = StepPlan(
            task_count=1,
            processor_millis=4_000,
            image='heavy',
            is_filling=True,
        )
        return self._job(plan, 1).occurrences[0].steps[0]

    def _job(self, step, count):
        plan = JobPlan(
            job_id=f'{len(self.shard.jobs):016x}',
            payload='',
            steps=(dataclasses.replace(step, task_count=count),),
            queue=QueuePolicy(name='q', service='desk'),
        )
        return self.shard.add_job(plan)


class TestEvacuation:
    """
    Workers are evacuated for best-effort images that find no other worker.
    """

    def test_worker_is_evacuated_for_starved_image(self):
        """
        Guards against best-effort tasks that wait forever because each worker
        runs a long-running task that they harm, and has spare processors.
        """
        fleet = _Fleet()
        fleet.run_evacuation(2_000)
        assert len(fleet.stopping) == 1
        evacuated = fleet.shard.workers[fleet.stopping[0].worker_id]
        assert evacuated.evacuated_for_image == 'heavy'
        placement = Placement(fleet.shard.interference)
        chosen = placement.choose(
            fleet.tasks[0],
            fleet.shard.workers.values(),
            fleet.clock.now_ms,
        )
        assert chosen is not evacuated

    def test_no_worker_is_evacuated_after_short_wait(self):
        """
        Guards against moving long-running tasks after each short wait of a
        best-effort task.
        """
        fleet = _Fleet()
        fleet.run_evacuation(500)
        assert not fleet.stopping

    def test_task_of_step_that_is_not_ready_is_not_moved(self):
        """
        Guards against moves that make several tasks of a step unavailable at
        the same time.
        """
        fleet = _Fleet()
        for task in fleet.tasks:
            task.runs[0].percent = 40
        fleet.run_evacuation(2_000)
        assert not fleet.stopping

    def test_other_tasks_do_not_take_the_room_of_a_moved_task(self):
        """
        Guards against a long-running task that waits because other tasks took
        the room that it was stopped for, or that returns to where it was.
        """
        fleet = _Fleet()
        fleet.run_evacuation(2_000)
        moved = fleet.stopping[0]
        destination = fleet.other_worker(moved)
        # Fits beside one long-running task, but not beside two.
        other = fleet.add_task(processor_millis=20_000)
        placement = Placement(fleet.shard.interference)
        assert placement.choose(other, [destination], 0) is None
        fleet.shard.end_run(moved, RunOutcome.STOPPED)
        fleet.moves.run_pass()
        assert [run.worker_id for run in moved.task.runs] == [
            destination.worker_id
        ]
        assert destination.reserved_millis == 2 * LONG_RUNNING.processor_millis

    def test_room_is_released_if_a_move_takes_too_long(self):
        """
        Guards against room that stays reserved for a task whose worker does
        not respond.
        """
        fleet = _Fleet()
        fleet.run_evacuation(2_000)
        destination = fleet.other_worker(fleet.stopping[0])
        fleet.clock.now_ms += 5_000
        fleet.moves.run_pass()
        assert destination.reserved_millis == LONG_RUNNING.processor_millis

    def test_harmful_task_stays_off_reserved_room(self):
        """
        Guards against a best-effort task that is started where a long-running
        one that it harms is about to move.
        """
        fleet = _Fleet()
        destination = fleet.shard.workers['w2']
        fleet.moves.begin(fleet.tasks[0].runs[0], destination, 'test')
        step = fleet.best_effort_step
        step.ready_ms = fleet.clock.now_ms
        placement = Placement(fleet.shard.interference)
        chosen = placement.choose(
            step.tasks[0], [destination], fleet.clock.now_ms
        )
        assert chosen is None

    def test_one_task_of_a_step_is_moved_at_a_time(self):
        """
        Guards against two tasks of a step that are unavailable through moves.
        """
        fleet = _Fleet()
        run = fleet.tasks[1].runs[0]
        fleet.shard.workers['w1'].release(run)
        run.worker_id = 'w0'
        fleet.shard.workers['w0'].charge(run)
        for _ in range(2):
            fleet.run_evacuation(2_000)
            fleet.clock.now_ms += 600
        assert len(fleet.stopping) == 1

    def test_task_is_not_moved_after_its_queue(self):
        """
        Guards against a move to workers of a service that the configuration
        no longer assigns the queue to, before or after the run is stopped.
        """
        for is_stopped_before in (False, True):
            fleet = _Fleet()
            if is_stopped_before:
                fleet.run_evacuation(2_000)
            fleet.shard.queues = {'q': QueuePolicy(name='q', service='other')}
            fleet.run_evacuation(2_000)
            for run in fleet.stopping:
                fleet.shard.end_run(run, RunOutcome.STOPPED)
            fleet.moves.run_pass()
            runs = [run for task in fleet.tasks for run in task.runs]
            assert not any(run.phase is RunPhase.STARTING for run in runs)

    def test_task_that_is_eligible_nowhere_else_is_not_moved(self):
        """
        Guards against stopping a long-running task for which there is room
        only on quarantined workers.
        """
        fleet = _Fleet()
        for worker in fleet.shard.workers.values():
            worker.health.quarantine(fleet.clock.now_ms)
        fleet.run_evacuation(2_000)
        assert not fleet.stopping

    def test_harmful_task_waits_for_other_worker(self):
        """
        Guards against placing a task where it is throttled for the sake of
        long-running tasks, although a worker without them is soon available.
        """
        fleet = _Fleet()
        placement = Placement(fleet.shard.interference)
        del fleet.shard.workers['w2']
        for waited_ms, is_placed in ((1_000, False), (5_000, True)):
            fleet.best_effort_step.ready_ms = fleet.clock.now_ms - waited_ms
            chosen = placement.choose(
                fleet.best_effort_step.tasks[0],
                fleet.shard.workers.values(),
                fleet.clock.now_ms,
            )
            assert (chosen is not None) is is_placed

    def test_step_that_has_waited_is_not_skipped_for_a_new_one(self):
        """
        Guards against a best-effort task that never accepts a worker where it
        is harmful, because a new task of its image, placed first, does not.
        """
        fleet = _Fleet()
        del fleet.shard.workers['w2']
        old = fleet.best_effort_step
        fleet.clock.now_ms += 5_000
        old.ready_ms = 1_000
        permits = fleet.shard.permits
        for permit in (permits.writes, permits.registry):
            permit.confirm(permit.mark())
        fleet.add_best_effort_step()
        Scheduler(
            fleet.shard, bounds=PlatformBounds(), timings=WorkerTimings()
        ).run_pass()
        assert old.tasks[0].runs
