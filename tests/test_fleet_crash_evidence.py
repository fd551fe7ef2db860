"""
Tests of the decisions about tasks that crash workers.
"""

import pytest
from fleet_world import QUEUE

from hawthornpier.fleet._crash_evidence import attribute_crash
from hawthornpier.steps import (
    CrashEvidence,
    Job,
    JobPlan,
    Run,
    StepPlan,
    Task,
    clear_suspicion,
    count_crash,
    encode_progress,
    has_crashed_too_often,
    is_crash_suspect,
    restore_progress,
    trial_interval_ms,
)

SOLE, SHARED, WEAK = (
    CrashEvidence.SOLE,
    CrashEvidence.SHARED,
    CrashEvidence.WEAK,
)
UNCERTAIN, UNCONFIRMED = (CrashEvidence.UNCERTAIN, CrashEvidence.UNCONFIRMED)
ONE_TASK = StepPlan(task_count=1, processor_millis=1_000)


def job_of(*steps):
    plan = JobPlan(job_id='a' * 16, payload='', steps=steps, queue=QUEUE)
    return Job(plan, 0)


def run_on(task, *, sent_ms):
    run = Run(task, 1, 'w', sent_ms)
    run.sent_ms = sent_ms
    run.is_delivered = sent_ms > 0
    return run


class TestAttribution:
    """
    The crash of a worker counts against the tasks that had just started.
    """

    def attribute(self, *sent_ms, step=None, was_in_touch=True):
        plan = step or StepPlan(task_count=len(sent_ms))
        tasks = job_of(plan).tasks()
        runs = [
            run_on(task, sent_ms=each)
            for task, each in zip(tasks, sent_ms, strict=True)
        ]
        evidence = attribute_crash(runs, 40_000, was_in_touch=was_in_touch)
        return [evidence.get(run.key) for run in runs]

    def test_only_the_run_that_has_just_started_is_blamed(self):
        """
        Guards against tasks that are given up for the crash of another one.
        """
        assert self.attribute(39_990, 35_000) == [SOLE, WEAK]

    def test_runs_that_started_together_share_the_blame(self):
        """
        Guards against a task that is blamed for a crash by its neighbour.
        """
        assert self.attribute(39_990, 39_800) == [SHARED, SHARED]

    def test_after_silence_no_run_is_certain(self):
        """
        Guards against a task that is given up for a crash after its end.
        """
        evidence = self.attribute(39_990, 35_000, 0, was_in_touch=False)
        assert evidence == [UNCONFIRMED, UNCERTAIN, None]

    def test_unsent_and_long_runs_are_not_blamed(self):
        """
        Guards against tasks that are given up after crashes of many workers.
        """
        assert self.attribute(0, 1_000) == [None, None]

    @pytest.mark.parametrize(
        ('has_lost_connection', 'expected'),
        [(False, UNCERTAIN), (True, UNCONFIRMED)],
    )
    def test_a_start_that_got_no_reply_is_uncertain(
        self, has_lost_connection, expected
    ):
        """
        Guards against tasks that are given up for what a silent worker does.
        """
        run = run_on(next(job_of(ONE_TASK).tasks()), sent_ms=39_990)
        run.is_delivered = False
        run.has_lost_connection = has_lost_connection
        evidence = attribute_crash([run], 39_980, was_in_touch=True)
        assert evidence == {run.key: expected}

    def test_a_start_that_may_have_arrived_shares_the_blame(self):
        """
        Guards against a task that is blamed alone beside such a start.
        """
        first, second = job_of(StepPlan(task_count=2)).tasks()
        runs = [run_on(first, sent_ms=39_990), run_on(second, sent_ms=39_995)]
        runs[1].is_delivered = False
        runs[1].has_lost_connection = True
        evidence = attribute_crash(runs, 39_995, was_in_touch=True)
        assert evidence[runs[0].key] == SHARED

    def test_a_gang_is_one_suspect(self):
        """
        Guards against a gang whose crashes never suffice to give it up.
        """
        step = StepPlan(task_count=2, is_gang=True)
        assert self.attribute(39_990, 39_995, step=step) == [SOLE, SOLE]


class TestLimit:
    """
    A task is given up once the evidence suffices, and never too late.
    """

    @pytest.mark.parametrize(
        ('weights', 'is_given_up'),
        [
            ((SOLE,), False),
            ((SHARED, SHARED), False),
            ((WEAK,) * 4, False),
            ((SHARED, SOLE), True),
            ((SHARED,) * 3, True),
            ((WEAK,) * 5, True),
            ((SOLE, WEAK), False),
            ((SOLE, UNCONFIRMED, UNCONFIRMED), False),
            ((SOLE, UNCERTAIN, UNCERTAIN, UNCERTAIN), False),
            ((UNCONFIRMED,) * 5, True),
            ((UNCERTAIN,) * 5, True),
        ],
    )
    def test_weights(self, weights, is_given_up):
        """
        Guards against a task that is given up on too little evidence.
        """
        task = Task(job_of(ONE_TASK).occurrences[0].steps[0], 0)
        task.crashes = dict(enumerate(weights))
        assert has_crashed_too_often(task) is is_given_up
        assert is_crash_suspect(task)

    @pytest.mark.parametrize(
        ('weights', 'interval_ms'),
        [
            ((WEAK,) * 9, 0),
            ((SHARED,) * 9, 0),
            ((SHARED, SOLE), 1_000),
            ((SOLE,) * 3, 4_000),
            ((SOLE,) * 9, 5_000),
        ],
    )
    def test_long_running_task_is_tried_less_often_instead(
        self, weights, interval_ms
    ):
        """
        Guards against a long-running job that fails because workers crash.
        """
        step = StepPlan(task_count=1, is_lasting=True)
        task = next(job_of(step).tasks())
        for attempt, weight in enumerate(weights):
            count_crash(task, attempt, weight)
        assert not has_crashed_too_often(task)
        assert trial_interval_ms(task) == interval_ms
        clear_suspicion(task)
        assert trial_interval_ms(task) == 0

    def test_crashes_of_a_long_running_task_are_not_collected(self):
        """
        Guards against stored progress that grows with each crash of a worker.
        """
        task = next(job_of(StepPlan(task_count=1, is_lasting=True)).tasks())
        for attempt in range(100):
            count_crash(task, attempt, WEAK)
        assert sorted(task.crashes) == [95, 96, 97, 98, 99]

    def test_any_five_crashes_suffice(self):
        """
        Guards against a sixth start of a task that crashes its workers.
        """
        task = Task(job_of(ONE_TASK).occurrences[0].steps[0], 0)
        task.crashes = dict.fromkeys(range(5), SOLE)
        clear_suspicion(task)
        assert has_crashed_too_often(task)

    def test_a_survived_trial_makes_no_crash_certain(self):
        """
        Guards against uncertain evidence that counts as certain later on.
        """
        task = Task(job_of(ONE_TASK).occurrences[0].steps[0], 0)
        task.crashes = {1: UNCONFIRMED, 2: UNCONFIRMED, 3: SOLE}
        clear_suspicion(task)
        task.crashes[4] = SOLE
        assert task.crashes == {1: UNCERTAIN, 2: UNCERTAIN, 3: WEAK, 4: SOLE}

    def test_crashes_are_part_of_the_stored_progress(self):
        """
        Guards against an owner that loses the count of its predecessor.
        """
        job = job_of(ONE_TASK)
        next(job.tasks()).crashes = {3: SHARED, 1_004: SOLE}
        restored = job_of(ONE_TASK)
        restore_progress(restored, encode_progress(job))
        assert next(restored.tasks()).crashes == {3: SHARED, 1_004: SOLE}
