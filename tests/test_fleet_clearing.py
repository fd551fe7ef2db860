"""
Tests of workers that are cleared, and of waiting for harmless ones.
"""

import dataclasses

from virtual_time import VirtualClock

from hawthornpier.events import DecisionLog
from hawthornpier.fleet import WorkerEntry
from hawthornpier.fleet._clearing import Evacuation
from hawthornpier.fleet._placement import Placement
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.steps import JobPlan, QueuePolicy, Run, RunPhase, StepPlan

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
    Two workers with room, each with a lasting task that an image harms.
    """

    def __init__(self):
        self.clock = _Clock()
        self.shard = Shard('s', epoch=1, clock=self.clock, log=DecisionLog('n'))
        self.shard.interference.load([('serving', 'heavy', 1.0, 0.01)])
        self.lasting = self._job(LONG_RUNNING, 2)
        for number, millis in enumerate((8_000, 8_000, 2_000)):
            worker = WorkerState(_entry(f'w{number}', 4 * millis))
            worker.is_listed = True
            worker.is_recorded = True
            self.shard.workers[worker.worker_id] = worker
        for task, worker_id in zip(self.tasks, ('w0', 'w1'), strict=True):
            run = Run(task, 1, worker_id, 0)
            run.percent = 100
            run.phase = RunPhase.RUNNING
            task.runs.append(run)
            self.shard.workers[worker_id].charge(run)
        filling = StepPlan(
            task_count=1,
            processor_millis=4_000,
            image='heavy',
            is_filling=True,
        )
        self.filling = self._job(filling, 1).occurrences[0].steps[0]

    @property
    def tasks(self):
        return self.lasting.occurrences[0].steps[0].tasks

    @property
    def stopping(self):
        return [
            run
            for task in self.tasks
            for run in task.runs
            if run.phase is RunPhase.STOPPING
        ]

    def run_evacuation(self, waited_ms):
        self.filling.ready_ms = self.clock.now_ms - waited_ms
        Evacuation(self.shard).run_pass([self.filling])

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
    Workers are cleared for images that harm what lasts on all of them.
    """

    def test_a_starved_image_gets_a_worker(self):
        """
        Guards against filling tasks that wait for good because lasting ones
        that they harm have remained on all workers, each with room to spare.
        """
        fleet = _Fleet()
        fleet.run_evacuation(2_000)
        assert len(fleet.stopping) == 1
        cleared = fleet.shard.workers[fleet.stopping[0].worker_id]
        assert cleared.evacuated_for_image == 'heavy'
        placement = Placement(fleet.shard.interference)
        chosen = placement.choose(
            fleet.tasks[0],
            fleet.shard.workers.values(),
            fleet.clock.now_ms,
        )
        assert chosen is not cleared

    def test_an_image_that_has_not_waited_clears_nothing(self):
        """
        Guards against lasting tasks that move for every short wait.
        """
        fleet = _Fleet()
        fleet.run_evacuation(500)
        assert not fleet.stopping

    def test_a_step_with_a_task_away_is_not_moved(self):
        """
        Guards against moves that take away more of a step than one task.
        """
        fleet = _Fleet()
        for task in fleet.tasks:
            task.runs[0].percent = 40
        fleet.run_evacuation(2_000)
        assert not fleet.stopping

    def test_a_harmful_task_waits_for_a_harmless_place(self):
        """
        Guards against tasks that are slowed beside what they harm although
        another worker would be free of that in a moment.
        """
        fleet = _Fleet()
        placement = Placement(fleet.shard.interference)
        del fleet.shard.workers['w2']
        for waited_ms, is_placed in ((1_000, False), (5_000, True)):
            fleet.filling.ready_ms = fleet.clock.now_ms - waited_ms
            chosen = placement.choose(
                fleet.filling.tasks[0],
                fleet.shard.workers.values(),
                fleet.clock.now_ms,
            )
            assert (chosen is not None) is is_placed
