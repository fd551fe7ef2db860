"""
Tests that what makes a scheduling pass cheap changes none of its decisions.
"""

import collections
import copy
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from test_fleet_evacuation import _Clock
from test_fleet_placement import SomeInterference, step_of, usable_workers

from hawthornpier.events import DecisionLog
from hawthornpier.fleet._durations import DurationEstimator
from hawthornpier.fleet._eligibility import find_exclusion, lacks_label
from hawthornpier.fleet._failed_steps import FailedSteps
from hawthornpier.fleet._long_running_room import LongRunningRoom
from hawthornpier.fleet._observation_pace import ObservationPace
from hawthornpier.fleet._placement import Placement
from hawthornpier.fleet._run_monitor import RunMonitor
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._timings import WorkerTimings
from hawthornpier.steps import Run, RunPhase, mark_done

RANDOM = st.integers(0, 2**32).map(random.Random)
IMAGES = ('a', 'bb', 'ccc')


class _DriftingInterference(SomeInterference):
    """
    An interference model whose effects change.
    """

    def effect(self, long_running_image, best_effort_image):
        effect = super().effect(long_running_image, best_effort_image)
        return effect + self.change_count % 3 / 4


def random_step(number, rng, **options):
    return step_of(
        number,
        task_count=rng.randrange(1, 6),
        processor_millis=rng.choice((1_000, 2_000, 12_000)),
        memory_mb=rng.randrange(1, 4) * 1_000,
        estimate_ms=rng.choice((0, 700, 90_000)),
        image=rng.choice(IMAGES),
        required_label=rng.choice(('', '', 'gpu')),
        **options,
    )


class TestSameDecisions:
    """
    What is kept, grouped or looked up late is as if it were always worked out.
    """

    @settings(deadline=None, max_examples=30)
    @given(RANDOM)
    def test_ranks(self, rng):
        """
        Guards against a rank from before the load, the evacuation of the worker
        or the estimated interference has changed.
        """
        interference = _DriftingInterference()
        placement = Placement(interference)
        workers = usable_workers(4, rng)
        for number in range(30):
            is_filling = rng.choice((True, False))
            step = random_step(
                number, rng, is_filling=is_filling, is_lasting=not is_filling
            )
            for worker in workers:
                kept = placement._long_running_rank(worker, step)
                assert kept == placement._load_rank(worker, step.plan.image)
            changed = rng.choice(workers)
            run = Run(step.tasks[0], 1, changed.worker_id, 0)
            rng.choice((changed.charge, interference_change(interference)))(run)
            if changed.runs and rng.choice((True, False)):
                changed.release(rng.choice(list(changed.runs.values())))
            evacuated = rng.choice(workers)
            evacuated.evacuated_for_image = rng.choice(('', *IMAGES))

    @settings(deadline=None, max_examples=30)
    @given(RANDOM)
    def test_refusals(self, rng):
        """
        Guards against a best-effort task that is kept off a worker because of
        what the worker has refused before, or started in spite of pressure.
        """
        interference = _DriftingInterference()
        placement = Placement(interference)
        workers = usable_workers(4, rng)
        for number in range(30):
            is_filling = rng.choice((True, True, False))
            step = random_step(
                number,
                rng,
                is_filling=is_filling,
                is_lasting=not is_filling,
                tail_target_ms=rng.choice((0, 60, 90)),
            )
            step.ready_ms = rng.choice((0, 5_000))
            for worker in workers:
                fresh = Placement(interference)
                worker_copy = copy.copy(worker)
                worker_copy.kept_effects = {}
                worker_copy.kept_tolerances = None
                rank = placement.rank(worker, step.tasks[0], 5_000)
                assert rank == fresh.rank(worker_copy, step.tasks[0], 5_000)
            changed = rng.choice(workers)
            run = Run(step.tasks[0], 1, changed.worker_id, 4_500)
            run.cpu_or_tail = rng.randrange(60)
            changed.charge(run)
            changed.changed_ms += 1

    @settings(deadline=None, max_examples=30)
    @given(RANDOM)
    def test_failed_steps(self, rng):
        """
        Guards against a step that is passed over for one of another kind.
        """
        failed, added = FailedSteps(9_000), []
        for number in range(30):
            kind = rng.choice(('is_filling', 'is_lasting', 'is_gang'))
            step = random_step(number, rng, **{kind: rng.choice((True, False))})
            step.ready_ms = rng.choice((1_000, 8_000))
            expected = any(map(step_needs_more(step), added))
            assert failed.rule_out(step, 'desk') == expected
            assert not failed.rule_out(step, 'shop')
            failed.add(step, 'desk')
            added.append(step)

    @settings(deadline=None, max_examples=30)
    @given(RANDOM)
    def test_outlook(self, rng):
        """
        Guards against an order by what was expected before tasks had ended.
        """
        estimator = DurationEstimator()
        steps = [random_step(number, rng) for number in range(6)]
        for step in steps:
            estimator.register_job(step.job)
        for _ in range(20):
            ended = rng.choice(steps)
            estimator.learn(ended, rng.randrange(10, 5_000))
            mark_done(rng.choice(ended.tasks))
            kept = [estimator.outlook(step.job) for step in steps]
            for step in steps:
                estimator.forget_job(step.job.plan.job_id)
            assert kept == [estimator.outlook(step.job) for step in steps]
            mark_done(rng.choice(rng.choice(steps).tasks))

    @settings(deadline=None, max_examples=30)
    @given(RANDOM)
    def test_stalled_runs(self, rng):
        """
        Guards against a run without progress that is passed over.
        """
        shard = Shard('s', epoch=1, clock=_Clock(), log=DecisionLog('n'))
        worker = usable_workers(1, rng)[0]
        shard.workers[worker.worker_id] = worker
        expected = set()
        for number in range(40):
            step = random_step(
                number, rng, is_lasting=rng.choice((True, False))
            )
            run = Run(step.tasks[0], 1, worker.worker_id, 0)
            run.phase = rng.choice((RunPhase.RUNNING, RunPhase.STARTING))
            run.percent = rng.choice((0, 40, 100))
            run.speed_percent = rng.choice((-1, 0, 50, 100))
            run.listed_ms = rng.randrange(9_000)
            worker.charge(run)
            limit_ms = max(1_900, step.plan.estimate_ms * 0.03)
            if step.plan.is_lasting:
                limit_ms = 1_900 if run.listed_ms > 4_000 else 90_000
            is_slow = run.listed_ms * run.speed_percent / 100 > limit_ms
            if run.phase is RunPhase.RUNNING and run.percent < 100 and is_slow:
                expected.add(run)
        RunMonitor(shard, WorkerTimings()).run_pass()
        runs = worker.runs.values()
        assert {run for run in runs if run.stop_reason} == expected

    @settings(deadline=None, max_examples=30)
    @given(RANDOM)
    def test_room_for_long_running_tasks(self, rng):
        """
        Guards against a wait beside room that is logged as one without.
        """
        workers = usable_workers(20, rng)
        for worker in workers:
            worker.reserved_millis = rng.randrange(13_000, 32_000)
            worker.refused_until_ms = rng.choice((0, 9))
        room = LongRunningRoom(workers, 1)
        for number in range(20):
            step = random_step(number, rng, is_lasting=True)
            expected = collections.Counter(
                find_exclusion(worker, step, 1)
                for worker in workers
                if worker.fits(step) and not lacks_label(worker, step)
            )
            assert collections.Counter(room.exclusions(step)) == expected
            assert room.has_room(step) == bool(expected)
            assert room.has_eligible_room(step) == bool(expected[None])


def interference_change(interference):
    def change(_run):
        interference.change_count += 1

    return change


def step_needs_more(step):
    """
    Return a function that tells whether another failed step rules one out.
    """

    def needs_more(failed):
        one, other = step.plan, failed.plan
        if other.is_gang or other.required_label:
            return False
        if (one.is_filling, one.is_lasting) != (
            other.is_filling,
            other.is_lasting,
        ):
            return False
        if one.is_filling and (
            one.image != other.image or step.ready_ms != failed.ready_ms
        ):
            return False
        return (
            one.processor_millis >= other.processor_millis
            and one.memory_mb >= other.memory_mb
        )

    return needs_more


class TestObservationPace:
    """
    What only serves the log takes a bounded share of the process's time.
    """

    @pytest.mark.parametrize(
        ('look_ms', 'due_ms'), [(0, 500), (40, 2_040), (20_000, 25_000)]
    )
    def test_long_looks_are_rarer(self, look_ms, due_ms):
        """
        Guards against a slow owner that spends its time on its log.
        """
        pace = ObservationPace(500)
        pace.record(0, look_ms)
        assert not pace.is_due(due_ms - 1)
        assert pace.is_due(due_ms)
