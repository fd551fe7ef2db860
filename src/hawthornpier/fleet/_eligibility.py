"""
Whether a task may be started on a worker, and if not, why.
"""

import enum
from collections.abc import Callable

from hawthornpier.fleet._health import HealthStatus
from hawthornpier.fleet._ports import LISTED_ENDS_MAX
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.steps import Step

# No further run is started on a worker that keeps as many ended runs; the rest
# of a listing is for the ends of the runs that it has.
_UNACKNOWLEDGED_MAX = LISTED_ENDS_MAX // 2


class Exclusion(enum.StrEnum):
    """
    Why a task may not be started on a worker now.
    """

    UNUSABLE = 'unusable'
    REJECTING = 'has just rejected a start'
    # Orders are queued behind one that got no reply.
    UNANSWERED = 'has not replied to an order'
    ON_TRIAL = 'on trial'
    NO_ROOM = 'no room'
    NO_LABEL = 'no label'
    # Further ends would not be listed before the ones that it keeps can be
    # acknowledged.
    UNACKNOWLEDGED = 'too many unacknowledged ends'
    QUARANTINED = 'quarantined'
    ON_PROBATION = 'on probation'
    # A best-effort task would interfere too much with long-running ones.
    INTERFERENCE = 'interference'


def find_exclusion(
    worker: WorkerState, step: Step, now_ms: float
) -> Exclusion | None:
    """
    Return why no task of a step may be started on a worker, or None.

    Interference is not considered.

    Args:
        worker: The worker.
        step: The step.
        now_ms: The current time on the monotonic clock.
    """
    exclusion = find_worker_exclusion(worker, step, now_ms)
    if exclusion is not None:
        return exclusion
    for lack, applies_to_step in _STEP_CHECKS:
        if applies_to_step(worker, step):
            return lack
    return None


def find_worker_exclusion(
    worker: WorkerState, step: Step, now_ms: float
) -> Exclusion | None:
    """
    Return why no task may be started on a worker now, whatever it needs.

    It is the same for all steps that are long-running, and for all others.
    """
    for exclusion, applies in _WORKER_CHECKS:
        if applies(worker, step, now_ms):
            return exclusion
    return None


def lacks_label(worker: WorkerState, step: Step) -> bool:
    """
    Return whether a worker does not have the label that a step requires.
    """
    label = step.plan.required_label
    return bool(label) and label not in worker.entry.labels


def _health(worker: WorkerState, step: Step, now_ms: float) -> HealthStatus:
    return worker.health.health_status(now_ms, is_lasting=step.plan.is_lasting)


def _is_quarantined(worker: WorkerState, step: Step, now_ms: float) -> bool:
    return _health(worker, step, now_ms) is HealthStatus.QUARANTINED


def _is_on_probation(worker: WorkerState, step: Step, now_ms: float) -> bool:
    if _health(worker, step, now_ms) is not HealthStatus.PROBATION:
        return False
    return any(
        worker.health.is_on_trial_by(run, now_ms)
        for run in worker.runs.values()
    )


def _has_no_room(worker: WorkerState, step: Step) -> bool:
    return not worker.fits(step)


def _is_unanswered(worker: WorkerState, _step: Step, now_ms: float) -> bool:
    return now_ms < worker.unanswered_until_ms and not worker.orders.empty()


# What a worker lacks for the tasks of a step.
_STEP_CHECKS: tuple[
    tuple[Exclusion, Callable[[WorkerState, Step], bool]], ...
] = (
    (Exclusion.NO_ROOM, _has_no_room),
    (Exclusion.NO_LABEL, lacks_label),
)
# Why no task may be started on a worker, whatever the task needs.
_WORKER_CHECKS: tuple[
    tuple[Exclusion, Callable[[WorkerState, Step, float], bool]], ...
] = (
    (Exclusion.UNUSABLE, lambda worker, _step, _now_ms: not worker.is_usable),
    (
        Exclusion.REJECTING,
        lambda worker, _step, now_ms: now_ms < worker.refused_until_ms,
    ),
    (Exclusion.UNANSWERED, _is_unanswered),
    (
        Exclusion.ON_TRIAL,
        lambda worker, _step, _now_ms: worker.trial_run is not None,
    ),
    (
        Exclusion.UNACKNOWLEDGED,
        lambda worker, _step, _now_ms: (
            worker.listed_end_count >= _UNACKNOWLEDGED_MAX
        ),
    ),
    (Exclusion.QUARANTINED, _is_quarantined),
    (Exclusion.ON_PROBATION, _is_on_probation),
)
