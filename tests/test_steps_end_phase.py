"""
Tests of the final state of a job as the runs of its tasks end.
"""

from hypothesis import given, settings
from hypothesis import strategies as st

from hawthornpier.steps import (
    CrashEvidence,
    Job,
    JobPhase,
    JobPlan,
    QueuePolicy,
    RunOutcome,
    StepPlan,
    apply_outcome,
    count_crash,
    encode_progress,
    has_crashed_too_often,
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
