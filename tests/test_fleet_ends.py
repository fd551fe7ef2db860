"""
Tests of how an owner learns of the ends of runs of earlier epochs.
"""

import dataclasses

import pytest
from fleet_rows import QUEUE
from fleet_world import VirtualClock

from hawthornpier.events import DecisionLog
from hawthornpier.fleet._shard import Shard
from hawthornpier.steps import (
    JobPhase,
    JobPlan,
    RunOutcome,
    StepPlan,
    encode_progress,
)

JOB_ID = '00000000000000aa'
PLAN = JobPlan(
    job_id=JOB_ID,
    payload='payload',
    steps=(StepPlan(task_count=2, processor_millis=1_000),),
    queue=dataclasses.replace(QUEUE, max_attempts=2),
)


def task_key(index, job_id=JOB_ID):
    return f'{job_id}.0.0.{index}'


def shard_with(plan=PLAN, *, epoch=2):
    shard = Shard(
        's0',
        epoch=epoch,
        clock=VirtualClock(),
        log=DecisionLog('n0'),
    )
    shard.add_job(plan, is_from_earlier_epoch=True)
    return shard


class TestHandedOverEnds:
    """
    The ends in a handover and those that workers list add up.
    """

    @pytest.mark.parametrize(
        ('handed_over', 'listed', 'phase'),
        [
            (
                (task_key(0), 1, RunOutcome.FAILED),
                (task_key(0), 2, RunOutcome.FAILED),
                JobPhase.FAILED,
            ),
            (
                (task_key(0), 1, RunOutcome.DONE),
                (task_key(1), 1, RunOutcome.DONE),
                JobPhase.COMPLETED,
            ),
        ],
    )
    async def test_the_job_ends(self, handed_over, listed, phase):
        """
        Guards against a task started beyond its attempts, and a job that hangs.

        The new owner has a worker's listing before the handover, and the
        previous owner could not store the other end.
        """
        shard, previous = shard_with(), shard_with(epoch=1)
        for owner, (key, *end) in ((previous, handed_over), (shard, listed)):
            owner.record_outcome(owner.find_task(key), *end, '')
        shard.apply_handover_progress(
            JOB_ID, encode_progress(previous.jobs[JOB_ID])
        )
        assert shard.jobs[JOB_ID].end_phase is phase
