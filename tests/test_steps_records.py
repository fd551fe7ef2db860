"""
Tests of the encoding of submitted jobs for the store.
"""

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from hawthornpier.steps import (
    AdviceTimings,
    JobPlan,
    QueuePolicy,
    StepPlan,
    decode_plan,
    encode_plan,
)

_NUMBERS = st.floats(min_value=0, max_value=10**6)
PLANS = st.builds(
    JobPlan,
    steps=st.lists(st.from_type(StepPlan), max_size=3).map(tuple),
    queue=st.builds(
        QueuePolicy,
        slack_factor=_NUMBERS,
        advice=st.none()
        | st.builds(
            AdviceTimings,
            decide_ms=_NUMBERS,
            per_worker_ms=_NUMBERS,
            valid_ms=_NUMBERS,
        ),
    ),
)


class TestPlans:
    """
    A stored job is read as it was submitted.
    """

    @given(PLANS)
    def test_nothing_is_lost(self, plan):
        """
        Guards against a requirement of a job that the next owner ignores.
        """
        assert decode_plan(encode_plan(plan)) == plan

    @given(PLANS)
    def test_rows_of_earlier_versions(self, plan):
        """
        Guards against jobs that are lost in an update of the processes.
        """
        assert decode_plan(msgspec.json.encode(plan)) == plan

    def test_defaults_take_no_room(self):
        """
        Guards against a new owner that loads for seconds on a slow link.
        """
        plan = JobPlan(
            job_id='0000000000000001',
            payload='spec',
            steps=(StepPlan(task_count=6, processor_millis=3_500),) * 2,
            queue=QueuePolicy(name='orders', service='desk'),
        )
        content = encode_plan(plan)
        assert len(content) < len(msgspec.json.encode(plan)) / 3
        assert b'is_gang' not in content

    def test_long_plans_are_compressed(self):
        """
        Guards against jobs of many steps that outgrow a row of the store.
        """
        plan = JobPlan(
            job_id='0000000000000001',
            payload='spec',
            steps=(StepPlan(task_count=6, processor_millis=3_500),) * 1_000,
            queue=QueuePolicy(name='orders', service='desk'),
        )
        content = encode_plan(plan)
        assert len(content) < len(plan.steps)
        assert decode_plan(content) == plan
