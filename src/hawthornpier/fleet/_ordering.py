"""
The order in which steps are placed on workers.

The rank follows the apparent tardiness cost (ATC) rule: the value of a job per
unit of its remaining work, discounted while the job has slack until its
objective.  Under overload, this completes many jobs in time instead of
starting all of them.
"""

import math

from hawthornpier.fleet._durations import DurationEstimator, JobOutlook
from hawthornpier.steps import Step

# A job has no value if its response time exceeds the objective by this factor.
# If it exceeds the objective by less, the job has this fraction of its value.
_WORTHLESS_FACTOR = 3.0
_LATE_VALUE = 0.15
# The value of a job with the mean work of its queue is 1.  This part of it is
# the same for all jobs of the queue, and the rest is proportional to the job's
# work; their sum is limited.
_BASE_VALUE = 0.3
_MAX_VALUE = 4.0
# A job with this much slack, as a fraction of its objective, has 1/e of the
# urgency of a job without slack.
_URGENCY_SCALE = 0.5

Rank = tuple[int, int, float]


def rank_step(step: Step, durations: DurationEstimator, now_ms: float) -> Rank:
    """
    Return the rank of a step; the step with the lowest is placed first.

    Long-running steps come first, those that have waited the longest for room
    before the others.  Jobs that can have no value any more come last.
    """
    if step.plan.is_lasting:
        return (0, 0, _unplaced_since_ms(step, now_ms))
    job = step.job
    outlook = durations.outlook(job)
    objective_ms = outlook.objective_ms
    waited_ms = now_ms - _waiting_since_ms(step)
    end_ms = waited_ms + outlook.remaining_path_ms
    value = _value(outlook)
    slack_ms = objective_ms - end_ms
    if slack_ms < 0:
        value *= _LATE_VALUE
        slack_ms = objective_ms * _WORTHLESS_FACTOR - end_ms
    tier = 1 if slack_ms >= 0 else 2
    urgency = math.exp(
        -max(slack_ms, 0) / max(objective_ms * _URGENCY_SCALE, 1)
    )
    remaining_work = max(outlook.remaining_work, 1)
    return (tier, job.plan.queue.priority, -value * urgency / remaining_work)


def _value(outlook: JobOutlook) -> float:
    mean = outlook.mean_work
    ratio = outlook.work / mean if mean else 1
    return min(_BASE_VALUE + (1 - _BASE_VALUE) * ratio, _MAX_VALUE)


def _unplaced_since_ms(step: Step, now_ms: float) -> float:
    since_ms = step.unplaced_since_ms
    return now_ms if since_ms is None else since_ms


def _waiting_since_ms(step: Step) -> float:
    if step.occurrence.due_ms and step.ready_ms is not None:
        return step.ready_ms
    return step.job.accepted_ms
