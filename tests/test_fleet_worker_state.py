"""
Tests of the resources and runs that the owner records for a worker.
"""

import random

from hypothesis import given, settings
from hypothesis import strategies as st
from test_fleet_placement import step_of, usable_workers

from hawthornpier.steps import Run

KINDS = (
    {'is_lasting': True},
    {'is_filling': True},
    {},
)
STEPS = tuple(
    step_of(number, task_count=4, image=f'i{number % 2}', **kind)
    for number, kind in enumerate(KINDS * 2)
)
TASKS = tuple(task for step in STEPS for task in step.tasks)


class TestRunsByKind:
    """
    The runs of each kind, and the images of the long-running ones, are known.
    """

    @settings(deadline=None)
    @given(
        st.lists(st.integers(0, len(TASKS) - 1), max_size=60),
        st.lists(st.integers(0, len(STEPS) - 1), max_size=9),
    )
    def test_kinds_follow_the_runs(self, changed, reserved):
        """
        Guards against a worker whose interference is judged by ended runs.
        """
        worker = usable_workers(1, random.Random(1))[0]
        for index in changed:
            run = Run(TASKS[index], 1, worker.worker_id, 0)
            change = worker.release if run.key in worker.runs else worker.charge
            change(run)
        for number in reserved:
            worker.reserve(STEPS[number])
        for number in reserved[::2]:
            worker.cancel_reservation(STEPS[number])
        runs = list(worker.runs.values())
        lasting = [run for run in runs if run.task.step.plan.is_lasting]
        assert worker.long_running_runs() == lasting
        assert worker.best_effort_runs() == [
            run for run in runs if run.task.step.plan.is_filling
        ]
        left = sorted(reserved)
        for number in reserved[::2]:
            left.remove(number)
        steps = [run.task.step for run in lasting] + [STEPS[at] for at in left]
        assert worker.long_running_images() == {
            step.plan.image for step in steps if step.plan.is_lasting
        }
