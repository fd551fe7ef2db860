"""
Tests of what filling tasks may do to lasting ones on the same worker.
"""

import dataclasses
import math
from types import MappingProxyType

import pytest
from virtual_time import VirtualClock

from hawthornpier.events import DecisionLog
from hawthornpier.fleet import WorkerEntry
from hawthornpier.fleet._clearing import Clearing
from hawthornpier.fleet._disturbance import Disturbance
from hawthornpier.fleet._pacing import PaceActions, control_pace, margin
from hawthornpier.fleet._placement import Placement
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.steps import (
    Job,
    JobPlan,
    QueuePolicy,
    Run,
    RunPhase,
    StepPlan,
)

UNLOADED_MS = 25
TARGET_MS = 150
REPORT_MS = 500
HEAVY_EFFECT = 1.0
LIGHT_EFFECT = 0.05
EFFECTS = MappingProxyType({'heavy': HEAVY_EFFECT, 'light': LIGHT_EFFECT})
LASTING = StepPlan(
    task_count=1,
    processor_millis=8_000,
    image='serving',
    tail_target_ms=TARGET_MS,
    is_lasting=True,
)


class _Clock(VirtualClock):
    """
    A clock that the test moves by hand.
    """

    now_ms = 1_000.0

    def monotonic_ms(self):
        return self.now_ms


class _Scene:
    """
    One worker whose tails follow the model of the users' platform.
    """

    def __init__(self):
        self.clock = _Clock()
        self.disturbance = Disturbance(DecisionLog('n'), self.clock)
        self.worker = WorkerState(
            WorkerEntry(
                worker_id='w',
                service='desk',
                address='w',
                failure_domain='z',
                processor_millis=32_000,
                memory_mb=64_000,
                accelerator_count=0,
                life_ms=1,
            ),
        )
        self.own = 0.4
        self.stopped = []
        self.paces = {}
        self.serving = self.add(LASTING)
        self.serving.percent = 100
        self.actions = PaceActions(
            pace=self._pace,
            stop=lambda run, reason: self.stopped.append(run),
        )

    @property
    def tail_ms(self):
        pressure = self.own + sum(
            EFFECTS[run.task.step.plan.image] * self._share(run)
            for run in self.worker.filling_runs()
        )
        return int(UNLOADED_MS / (1 - min(pressure, 0.98)))

    def add(self, step, number=0):
        plan = JobPlan(
            job_id=f'{number:016x}',
            payload='',
            steps=(step,),
            queue=QueuePolicy(name='q', service='desk'),
        )
        task = Job(plan, 0).occurrences[0].steps[0].tasks[0]
        run = Run(task, 1, 'w', self.clock.now_ms)
        self.worker.charge(run)
        return run

    def fill(self, image, *, millis=8_000, number=1):
        step = StepPlan(
            task_count=1,
            processor_millis=millis,
            image=image,
            is_filling=True,
        )
        return self.add(step, number)

    def report(self):
        self.clock.now_ms += REPORT_MS
        for run in self.worker.filling_runs():
            run.cpu_or_tail = int(32_000 * self._share(run))
        self.serving.cpu_or_tail = self.tail_ms
        self.disturbance.learn(self.worker, self.clock.now_ms)

    def control(self):
        control_pace(
            self.worker,
            self.disturbance,
            self.actions,
            self.clock.now_ms,
        )

    def margin(self, image, *, millis=4_000):
        run = self.fill(image, millis=millis, number=9)
        self.worker.release(run)
        return margin(
            self.worker,
            run.task.step,
            self.disturbance,
            self.clock.now_ms,
        )

    def _share(self, run):
        return run.task.step.plan.processor_millis * run.pace_percent / 3.2e6

    def _pace(self, worker, run, percent):
        run.pace_percent = percent


def learned_scene():
    """
    Alternate two images for a minute while the own load swings.
    """
    scene = _Scene()
    for number in range(120):
        scene.own = 0.45 + 0.2 * math.sin(number / 6)
        image = 'heavy' if number % 8 < 4 else 'light'
        for run in scene.worker.filling_runs():
            scene.worker.release(run)
        scene.fill(image)
        scene.report()
    for run in scene.worker.filling_runs():
        scene.worker.release(run)
    scene.own = 0.4
    scene.report()
    return scene


class TestDisturbance:
    """
    Effects are learned from reports.
    """

    def test_effects_of_images_are_told_apart(self):
        """
        Guards against a harmless image that is kept away because it ran
        while the lasting task's own load rose, and against the reverse.
        """
        learned = learned_scene().disturbance
        heavy = learned.effect('serving', 'heavy')
        light = learned.effect('serving', 'light')
        assert heavy == pytest.approx(HEAVY_EFFECT, abs=0.3)
        assert light == pytest.approx(LIGHT_EFFECT, abs=0.15)

    def test_a_later_owner_takes_over_what_is_known(self):
        """
        Guards against a new owner that has to disturb to learn again.
        """
        learned = learned_scene().disturbance
        later = Disturbance(DecisionLog('n'), _Clock())
        later.load(learned.export())
        for image in EFFECTS:
            assert later.effect('serving', image) == pytest.approx(
                learned.effect('serving', image),
                abs=0.001,
            )

    def test_a_worker_of_unknown_size_teaches_nothing(self):
        """
        Guards against a division by zero for a worker that was taken over
        and is not in the registry.
        """
        scene = _Scene()
        scene.worker.entry = WorkerEntry(
            worker_id='w',
            service='desk',
            address='w',
            failure_domain='',
            processor_millis=0,
            memory_mb=0,
            accelerator_count=0,
            life_ms=1,
        )
        scene.fill('heavy')
        scene.report()
        scene.control()


class TestPace:
    """
    Filling tasks work as fast as lasting ones bear.
    """

    def test_a_harmful_image_is_slowed_and_a_harmless_one_is_not(self):
        """
        Guards against tails over their target, and against harmless tasks
        that pause for what others do.
        """
        scene = learned_scene()
        heavy = scene.fill('heavy', millis=16_000, number=1)
        light = scene.fill('light', millis=4_000, number=2)
        for _ in range(4):
            scene.report()
            scene.control()
        assert scene.tail_ms < TARGET_MS
        assert 0 < heavy.pace_percent < 100
        assert light.pace_percent == 100

    def test_a_slowed_task_gets_faster_when_load_falls(self):
        """
        Guards against a pace that is never raised again.
        """
        scene = learned_scene()
        scene.own = 0.65
        heavy = scene.fill('heavy', millis=12_000)
        for _ in range(4):
            scene.report()
            scene.control()
        slow = heavy.pace_percent
        scene.own = 0.25
        for _ in range(4):
            scene.report()
            scene.control()
        assert slow < 100
        assert heavy.pace_percent == 100

    def test_a_tail_that_stays_over_its_target_is_left_alone(self):
        """
        Guards against filling tasks that work on beside a lasting task that
        is over its target for as long as the platform counts as harm.
        """
        scene = learned_scene()
        scene.own = 0.9
        light = scene.fill('light', millis=4_000)
        for _ in range(7):
            scene.report()
            scene.control()
        assert light.pace_percent == 0
        assert light in scene.stopped

    def test_a_joining_task_needs_a_margin(self):
        """
        Guards against tasks that join where they would have to pause.
        """
        scene = learned_scene()
        scene.own = 0.7
        scene.report()
        assert scene.margin('heavy') < 0 < scene.margin('light')

    def test_tasks_that_no_report_shows_yet_count(self):
        """
        Guards against many tasks that join between two reports, each of
        which alone would have room.
        """
        scene = learned_scene()
        assert scene.margin('heavy', millis=8_000) > 0
        scene.fill('heavy', millis=8_000, number=3)
        assert scene.margin('heavy', millis=8_000) < 0


class _Fleet:
    """
    Two workers with room, each with a lasting task that an image harms.
    """

    def __init__(self):
        self.clock = _Clock()
        self.shard = Shard('s', epoch=1, clock=self.clock, log=DecisionLog('n'))
        self.shard.disturbance.load([('serving', 'heavy', 1.0, 0.01)])
        self.lasting = self._job(LASTING, 2)
        for number, millis in enumerate((8_000, 8_000, 2_000)):
            entry = dataclasses.replace(
                _Scene().worker.entry,
                worker_id=f'w{number}',
                processor_millis=4 * millis,
            )
            worker = WorkerState(entry)
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
    def moving(self):
        return [
            run
            for task in self.tasks
            for run in task.runs
            if run.phase is RunPhase.STOPPING
        ]

    def clear(self, waited_ms):
        self.filling.ready_ms = self.clock.now_ms - waited_ms
        Clearing(self.shard).run_pass([self.filling])

    def _job(self, step, count):
        plan = JobPlan(
            job_id=f'{len(self.shard.jobs):016x}',
            payload='',
            steps=(dataclasses.replace(step, task_count=count),),
            queue=QueuePolicy(name='q', service='desk'),
        )
        return self.shard.add_job(plan)


class TestClearing:
    """
    Workers are cleared for images that harm what lasts on all of them.
    """

    def test_a_starved_image_gets_a_worker(self):
        """
        Guards against filling tasks that wait for good because lasting ones
        that they harm have remained on all workers, each with room to spare.
        """
        fleet = _Fleet()
        fleet.clear(2_000)
        assert len(fleet.moving) == 1
        cleared = fleet.shard.workers[fleet.moving[0].worker_id]
        assert cleared.cleared_image == 'heavy'
        placement = Placement(fleet.shard.disturbance)
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
        fleet.clear(500)
        assert not fleet.moving

    def test_a_step_with_a_task_away_is_not_moved(self):
        """
        Guards against moves that take away more of a step than one task.
        """
        fleet = _Fleet()
        for task in fleet.tasks:
            task.runs[0].percent = 40
        fleet.clear(2_000)
        assert not fleet.moving

    def test_a_harmful_task_waits_for_a_harmless_place(self):
        """
        Guards against tasks that are slowed beside what they harm although
        another worker would be free of that in a moment.
        """
        fleet = _Fleet()
        placement = Placement(fleet.shard.disturbance)
        del fleet.shard.workers['w2']
        for waited_ms, is_placed in ((1_000, False), (5_000, True)):
            fleet.filling.ready_ms = fleet.clock.now_ms - waited_ms
            chosen = placement.choose(
                fleet.filling.tasks[0],
                fleet.shard.workers.values(),
                fleet.clock.now_ms,
            )
            assert (chosen is not None) is is_placed
