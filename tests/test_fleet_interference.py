"""
Tests of interference between best-effort and long-running tasks.
"""

import math
from types import MappingProxyType

import pytest
from virtual_time import VirtualClock

from hawthornpier.events import DecisionLog
from hawthornpier.fleet import WorkerEntry
from hawthornpier.fleet._interference import InterferenceModel
from hawthornpier.fleet._throttling import (
    ThrottleActions,
    control_throttling,
    pressure_margin,
)
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.steps import (
    Job,
    JobPlan,
    QueuePolicy,
    Run,
    StepPlan,
)

UNLOADED_MS = 25
TARGET_MS = 150
REPORT_MS = 500
HEAVY_EFFECT = 1.0
LIGHT_EFFECT = 0.05
EFFECTS = MappingProxyType({'heavy': HEAVY_EFFECT, 'light': LIGHT_EFFECT})
LONG_RUNNING = StepPlan(
    task_count=1,
    processor_millis=8_000,
    image='serving',
    tail_target_ms=TARGET_MS,
    is_lasting=True,
)


class _Clock(VirtualClock):
    """
    A monotonic clock that tests set.
    """

    now_ms = 1_000.0

    def monotonic_ms(self):
        return self.now_ms


class _SimulatedWorker:
    """
    A worker whose tail latencies follow the model of the users' platform.

    *own* is the pressure from the long-running task's own load.
    """

    def __init__(self):
        self.clock = _Clock()
        self.interference = InterferenceModel(DecisionLog('n'), self.clock)
        self.worker = WorkerState(
            WorkerEntry(
                worker_id='w',
                service='desk',
                address='w',
                failure_domain='z',
                processor_millis=32_000,
                memory_mb=64_000,
                accelerator_count=0,
                incarnation_ms=1,
            ),
        )
        self.own = 0.4
        self.stopped = []
        self.speeds = {}
        self.serving = self.add(LONG_RUNNING)
        self.serving.percent = 100
        self.actions = ThrottleActions(
            throttle=self._throttle,
            stop=lambda run, reason: self.stopped.append(run),
        )

    @property
    def tail_ms(self):
        pressure = self.own + sum(
            EFFECTS[run.task.step.plan.image] * self._share(run)
            for run in self.worker.best_effort_runs()
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

    def add_best_effort(self, image, *, millis=8_000, number=1):
        step = StepPlan(
            task_count=1,
            processor_millis=millis,
            image=image,
            is_filling=True,
        )
        return self.add(step, number)

    def report(self):
        self.clock.now_ms += REPORT_MS
        for run in self.worker.best_effort_runs():
            run.cpu_or_tail = int(32_000 * self._share(run))
        self.serving.cpu_or_tail = self.tail_ms
        self.interference.learn(self.worker, self.clock.now_ms)

    def control(self):
        control_throttling(
            self.worker,
            self.interference,
            self.actions,
            self.clock.now_ms,
        )

    def pressure_margin(self, image, *, millis=4_000):
        run = self.add_best_effort(image, millis=millis, number=9)
        self.worker.release(run)
        return pressure_margin(
            self.worker,
            run.task.step,
            self.interference,
            self.clock.now_ms,
        )

    def _share(self, run):
        return run.task.step.plan.processor_millis * run.speed_percent / 3.2e6

    def _throttle(self, worker, run, percent):
        run.speed_percent = percent


def trained_worker():
    """
    Return a worker whose interference model has been trained for a minute.

    Two best-effort images alternate while the long-running task's own load
    oscillates.
    """
    simulated = _SimulatedWorker()
    for number in range(120):
        simulated.own = 0.45 + 0.2 * math.sin(number / 6)
        image = 'heavy' if number % 8 < 4 else 'light'
        for run in simulated.worker.best_effort_runs():
            simulated.worker.release(run)
        simulated.add_best_effort(image)
        simulated.report()
    for run in simulated.worker.best_effort_runs():
        simulated.worker.release(run)
    simulated.own = 0.4
    simulated.report()
    return simulated


class TestInterferenceModel:
    """
    Effects are estimated from the reports of workers.
    """

    def test_effects_of_images_are_distinguished(self):
        """
        Guards against an image that is considered harmful because it ran while
        the long-running task's own load rose, and against the reverse.
        """
        learned = trained_worker().interference
        heavy = learned.effect('serving', 'heavy')
        light = learned.effect('serving', 'light')
        assert heavy == pytest.approx(HEAVY_EFFECT, abs=0.3)
        assert light == pytest.approx(LIGHT_EFFECT, abs=0.15)

    def test_next_owner_loads_estimates(self):
        """
        Guards against a new owner that learns the effects anew and thereby
        harms long-running tasks again.
        """
        learned = trained_worker().interference
        later = InterferenceModel(DecisionLog('n'), _Clock())
        later.load(learned.export())
        for image in EFFECTS:
            assert later.effect('serving', image) == pytest.approx(
                learned.effect('serving', image),
                abs=0.001,
            )

    def test_reports_of_worker_of_unknown_capacity_are_accepted(self):
        """
        Guards against a division by zero for a worker of unknown capacity.

        A new owner knows such a worker only from the previous owner's list of
        workers, because it is not in the registry.
        """
        simulated = _SimulatedWorker()
        simulated.worker.entry = WorkerEntry(
            worker_id='w',
            service='desk',
            address='w',
            failure_domain='',
            processor_millis=0,
            memory_mb=0,
            accelerator_count=0,
            incarnation_ms=1,
        )
        simulated.add_best_effort('heavy')
        simulated.report()
        simulated.control()


class TestThrottling:
    """
    Best-effort tasks are throttled as far as long-running ones require.
    """

    def test_only_harmful_image_is_throttled(self):
        """
        Guards against tail latencies over their target, and against pausing
        harmless tasks for the interference of others.
        """
        simulated = trained_worker()
        heavy = simulated.add_best_effort('heavy', millis=16_000, number=1)
        light = simulated.add_best_effort('light', millis=4_000, number=2)
        for _ in range(4):
            simulated.report()
            simulated.control()
        assert simulated.tail_ms < TARGET_MS
        assert 0 < heavy.speed_percent < 100
        assert light.speed_percent == 100

    def test_throttled_task_speeds_up_when_load_falls(self):
        """
        Guards against a throttled task that stays slow forever.
        """
        simulated = trained_worker()
        simulated.own = 0.65
        heavy = simulated.add_best_effort('heavy', millis=12_000)
        for _ in range(4):
            simulated.report()
            simulated.control()
        slow = heavy.speed_percent
        simulated.own = 0.25
        for _ in range(4):
            simulated.report()
            simulated.control()
        assert slow < 100
        assert heavy.speed_percent == 100

    def test_best_effort_tasks_are_evicted_when_tail_stays_over_target(self):
        """
        Guards against best-effort tasks that keep running beside a
        long-running one whose tail latency has been over its target for so
        long that the platform counts it as harm.
        """
        simulated = trained_worker()
        simulated.own = 0.9
        light = simulated.add_best_effort('light', millis=4_000)
        for _ in range(7):
            simulated.report()
            simulated.control()
        assert light.speed_percent == 0
        assert light in simulated.stopped

    def test_task_is_admitted_only_with_margin(self):
        """
        Guards against placing tasks where they would have to be paused.
        """
        simulated = trained_worker()
        simulated.own = 0.7
        simulated.report()
        assert (
            simulated.pressure_margin('heavy')
            < 0
            < simulated.pressure_margin('light')
        )

    def test_margin_includes_tasks_without_report(self):
        """
        Guards against placing many tasks between two reports, each of which
        alone would be admissible.
        """
        simulated = trained_worker()
        assert simulated.pressure_margin('heavy', millis=8_000) > 0
        simulated.add_best_effort('heavy', millis=8_000, number=3)
        assert simulated.pressure_margin('heavy', millis=8_000) < 0
