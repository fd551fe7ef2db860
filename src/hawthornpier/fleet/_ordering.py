"""
The order in which steps get room.

The rank is that of apparent tardiness cost: what a job earns for each unit of
the work that is left, less for as long as it can still wait.  With more work
than room, this completes many jobs in time instead of starting all of them.
"""

import math

from hawthornpier.fleet._durations import DurationEstimator
from hawthornpier.steps import Job, Step

# A job that ends later than this multiple of its objective earns nothing, and
# one that ends after its objective earns this part.
_WORTHLESS_FACTOR = 3.0
_LATE_VALUE = 0.15
# A job's value: this part is the same for all jobs of a queue, the rest grows
# with its work against the queue's mean, up to a limit.
_BASE_VALUE = 0.3
_MAX_VALUE = 4.0
# Waiting is free for this part of the objective, roughly.
_URGENCY_SCALE = 0.5

Rank = tuple[int, int, float]


def rank_step(step: Step, durations: DurationEstimator, now_ms: float) -> Rank:
    """
    Return the rank of a step; the lowest goes first.

    Lasting tasks go first, and jobs that can earn nothing any more go last.
    """
    if step.plan.is_lasting:
        return (0, 0, 0)
    job = step.job
    objective_ms = durations.objective_ms(job)
    waited_ms = now_ms - _waiting_since_ms(step)
    end_ms = waited_ms + durations.critical_path_ms(job, is_remaining_only=True)
    value = _value(job, durations)
    slack_ms = objective_ms - end_ms
    if slack_ms < 0:
        value *= _LATE_VALUE
        slack_ms = objective_ms * _WORTHLESS_FACTOR - end_ms
    tier = 1 if slack_ms >= 0 else 2
    urgency = math.exp(
        -max(slack_ms, 0) / max(objective_ms * _URGENCY_SCALE, 1)
    )
    rest = max(durations.work(job, is_remaining_only=True), 1)
    return (tier, job.plan.queue.priority, -value * urgency / rest)


def _value(job: Job, durations: DurationEstimator) -> float:
    mean = durations.mean_work(job)
    ratio = durations.work(job) / mean if mean else 1
    return min(_BASE_VALUE + (1 - _BASE_VALUE) * ratio, _MAX_VALUE)


def _waiting_since_ms(step: Step) -> float:
    if step.occurrence.due_ms and step.ready_ms is not None:
        return step.ready_ms
    return step.job.accepted_ms
