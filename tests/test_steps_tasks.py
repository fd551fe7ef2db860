"""
Tests of the state of tasks and jobs as runs start and end.
"""

from hypothesis import given, settings
from hypothesis import strategies as st

from hawthornpier.steps import (
    CrashEvidence,
    Job,
    JobPhase,
    JobPlan,
    QueuePolicy,
    Run,
    RunOutcome,
    StepPlan,
    add_run,
    apply_outcome,
    count_crash,
    encode_progress,
    has_crashed_too_often,
    mark_done,
    remove_run,
    restore_progress,
    update_end_phase,
)

MAX_ATTEMPTS = 3
PLAN = JobPlan(
    job_id='0' * 16,
    payload='',
    steps=(
        StepPlan(task_count=3),
        StepPlan(task_count=2, is_gang=True),
        StepPlan(task_count=2, is_lasting=True),
    ),
    queue=QueuePolicy(name='orders', service='desk', max_attempts=MAX_ATTEMPTS),
)
END = st.tuples(
    st.integers(0, 6),
    st.one_of(st.sampled_from(RunOutcome), st.sampled_from(CrashEvidence)),
)


def is_exhausted(task):
    has_failed = task.failed_count >= MAX_ATTEMPTS
    is_limited = not task.step.plan.is_lasting
    return not task.is_done and (
        has_crashed_too_often(task) or (is_limited and has_failed)
    )


class TestEndPhase:
    """
    A job fails as soon as one of its tasks may not be started any more.
    """

    @settings(deadline=None)
    @given(st.lists(END, max_size=30), st.integers(0, 20))
    def test_failures_and_crashes_of_any_task_count(self, ends, restart_index):
        """
        Guards against a job that runs on although a task has no attempt left.
        """
        job = Job(PLAN, 0)
        for attempt, (index, kind) in enumerate(ends, start=1):
            if attempt == restart_index:
                job = self._restarted(job)
            task = tuple(job.tasks())[index]
            if isinstance(kind, CrashEvidence):
                count_crash(task, attempt, kind)
            else:
                apply_outcome(task, attempt, kind, '')
            if attempt < restart_index:
                continue
            has_ended = update_end_phase(job, 0)
            assert has_ended == any(map(is_exhausted, job.tasks()))
            if has_ended:
                assert job.end_phase is JobPhase.FAILED
                return

    def _restarted(self, job):
        restored = Job(PLAN, 0)
        restore_progress(restored, encode_progress(job))
        return restored

    def test_stored_failures_count(self):
        """
        Guards against a new owner that runs on a job without attempts left.
        """
        job = Job(PLAN, 0)
        for attempt in range(MAX_ATTEMPTS):
            apply_outcome(next(job.tasks()), attempt, RunOutcome.FAILED, '')
        assert update_end_phase(self._restarted(job), 0)


class TestBusyCount:
    """
    A step knows how many of its tasks are complete or have a run.
    """

    @settings(deadline=None)
    @given(st.lists(st.tuples(st.integers(0, 6), st.integers(0, 3))))
    def test_runs_and_ends_are_counted(self, changes):
        """
        Guards against a waiting task that the scheduling pass skips.
        """
        tasks = tuple(Job(PLAN, 0).tasks())
        for index, change in changes:
            task = tasks[index]
            if change == 0:
                mark_done(task)
            elif change == 1 and task.runs:
                remove_run(task, task.runs[0])
            else:
                add_run(task, Run(task, len(task.runs), 'w', 0))
            waiting = task.step.waiting()
            assert task.step.busy_count == len(task.step.tasks) - len(waiting)
