"""
Throttling and admission of best-effort tasks beside long-running ones.

Best-effort tasks on a worker are throttled just so far that the pressure on
each long-running task there stays below the one at which its tail latency
reaches the target.  The images with the largest effect are throttled first.
`InterferenceModel` defines pressure and effect.
"""

from collections.abc import Callable
from dataclasses import dataclass

from hawthornpier.fleet._interference import (
    InterferenceModel,
    best_effort_shares,
    max_tail_ratio,
)
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.steps import Run, Step

# Fractions of the pressure at the target: best-effort tasks are throttled above
# the first one.  None is admitted above the second one, which is lower because
# the load changes while they run.
_THROTTLE_FRACTION = 0.96
_ADMISSION_FRACTION = 0.92
# Estimated effects are multiplied by this, because the actual ones vary around
# them within seconds.
_SAFETY_FACTOR = 1.4
# Images with a smaller effect are not throttled, since that would hardly help.
_NEGLIGIBLE_EFFECT = 0.03
# A long-running task whose own load exceeds the limit by this factor misses its
# target with or without best-effort tasks.  Only harmful images are throttled
# for it.
_OVERLOADED_FACTOR = 1.04
# An image with at least this effect is harmful to the long-running image.
HARMFUL_EFFECT = 0.45
# A task that would be slower is paused instead, because it would occupy
# resources for hardly any progress.
_MIN_SPEED_PERCENT = 10
# Smaller changes are not worth an order, unless to a pause or to full speed.
_MIN_SPEED_CHANGE_PERCENT = 10
# Once a tail latency on a worker has been over its target for the first of
# these times, all best-effort tasks there are paused, whatever their estimated
# effects; after the second one, they are evicted.
_PAUSE_ALL_AFTER_MS = 1_600.0
_EVICT_ALL_AFTER_MS = 2_600.0
# A task that has been paused for this long is evicted.  The limit is longer for
# a task without checkpoints, which would lose its progress.
_MAX_PAUSE_MS = 1_000.0
_MAX_UNSAVED_PAUSE_MS = 2_500.0
# A worker's reports reflect the usage of a task this long after its start.
_REPORT_LAG_MS = 1_000.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ThrottleActions:
    """
    The orders by which best-effort runs are controlled.

    *throttle* limits a run to a percentage of its full speed; *stop* stops it
    for a reason, which is logged.
    """

    throttle: Callable[[WorkerState, Run, int], None]
    stop: Callable[[Run, str], None]


@dataclass(frozen=True, slots=True, kw_only=True)
class _PressureBound:
    """
    The bound on the pressure on one long-running run.

    *own* is the part of the pressure that is due to its own load.
    """

    image: str
    own: float
    max_pressure: float
    is_overloaded: bool


def pressure_margin(
    worker: WorkerState,
    step: Step,
    interference: InterferenceModel,
    now_ms: float,
) -> float:
    """
    Return how much pressure a worker tolerates beyond one more task of a step.

    It is the minimum over the long-running tasks on the worker.  Best-effort
    tasks that were started too recently to be in its reports are counted.

    Args:
        worker: The worker that the task may be placed on.
        step: The best-effort step of the task.
        interference: The estimated interference between images.
        now_ms: The current time on the monotonic clock.

    Returns:
        The margin.  The task must not be placed on the worker if it is
        negative, which it is while a tail latency there exceeds its target.
    """
    if worker.over_target_since_ms:
        return -1
    shares = _unreported_shares(worker, now_ms)
    image = step.plan.image
    share = worker.processor_share(step.plan.processor_millis)
    shares[image] = shares.get(image, 0) + share
    return min(
        (
            tolerated - _added_pressure_bound(interference, other, shares)
            for other, tolerated in _tolerances(worker, interference).items()
        ),
        default=1,
    )


def _tolerances(
    worker: WorkerState, interference: InterferenceModel
) -> dict[str, float]:
    """
    Return how much more pressure a worker tolerates, by long-running image.

    It is kept until the worker reports anew or its load changes, which answers
    a backlog of best-effort steps that are all held against the same workers.
    """
    key = interference.change_count
    kept = worker.kept_tolerances
    if kept is not None and kept[0] == key:
        return kept[1]
    tolerances: dict[str, float] = {}
    for run in worker.long_running_runs():
        plan = run.task.step.plan
        if plan.tail_target_ms:
            limit = interference.limit(plan) * _ADMISSION_FRACTION
            tolerated = limit - interference.pressure(run)
            tolerances[plan.image] = min(
                tolerated, tolerances.get(plan.image, tolerated)
            )
    worker.kept_tolerances = (key, tolerances)
    return tolerances


def control_throttling(
    worker: WorkerState,
    interference: InterferenceModel,
    actions: ThrottleActions,
    now_ms: float,
) -> None:
    """
    Throttle, pause or evict best-effort tasks after a report of a worker.

    Args:
        worker: The worker.
        interference: The estimated interference between images.
        actions: The orders to be used.
        now_ms: The current time on the monotonic clock.
    """
    if max_tail_ratio(worker) < 1:
        worker.over_target_since_ms = 0
    elif not worker.over_target_since_ms:
        worker.over_target_since_ms = now_ms
    runs = [run for run in worker.best_effort_runs() if not run.stop_reason]
    if not runs:
        return
    over_ms = (
        now_ms - worker.over_target_since_ms
        if worker.over_target_since_ms
        else 0
    )
    speeds = _target_speeds(worker, runs, interference)
    for run in runs:
        percent = speeds[run.task.step.plan.image]
        if over_ms > _PAUSE_ALL_AFTER_MS:
            percent = 0
        _set_speed(worker, run, percent, actions, now_ms)
        if over_ms > _EVICT_ALL_AFTER_MS or _has_exceeded_pause(run, now_ms):
            actions.stop(run, 'interferes with long-running tasks')


def _set_speed(
    worker: WorkerState,
    run: Run,
    percent: int,
    actions: ThrottleActions,
    now_ms: float,
) -> None:
    if percent:
        run.paused_ms = 0
    elif not run.paused_ms:
        run.paused_ms = now_ms
    is_pause_or_full = percent in {0, 100} and run.speed_percent != percent
    if (
        is_pause_or_full
        or abs(run.speed_percent - percent) >= _MIN_SPEED_CHANGE_PERCENT
    ):
        actions.throttle(worker, run, percent)


def _has_exceeded_pause(run: Run, now_ms: float) -> bool:
    if not run.paused_ms:
        return False
    has_checkpoints = run.task.step.plan.has_checkpoints
    limit_ms = _MAX_PAUSE_MS if has_checkpoints else _MAX_UNSAVED_PAUSE_MS
    return now_ms - run.paused_ms > limit_ms


def _target_speeds(
    worker: WorkerState,
    runs: list[Run],
    interference: InterferenceModel,
) -> dict[str, int]:
    """
    Return the percentage of full speed for each best-effort image.
    """
    full: dict[str, float] = {}
    for run in runs:
        plan = run.task.step.plan
        share = worker.processor_share(plan.processor_millis)
        full[plan.image] = full.get(plan.image, 0) + share
    speeds = dict.fromkeys(full, 1.0)
    for bound in _pressure_bounds(worker, interference):
        _reduce_speeds(bound, full, speeds, interference)
    return {image: _speed_percent(speed) for image, speed in speeds.items()}


def _pressure_bounds(
    worker: WorkerState, interference: InterferenceModel
) -> list[_PressureBound]:
    shares = best_effort_shares(worker)
    bounds = []
    for run in worker.long_running_runs():
        plan = run.task.step.plan
        if not plan.tail_target_ms or run.percent < 100:
            continue
        limit = interference.limit(plan)
        own = interference.pressure(run) - _added_pressure(
            interference,
            plan.image,
            shares,
        )
        bounds.append(
            _PressureBound(
                image=plan.image,
                own=max(own, 0),
                max_pressure=limit * _THROTTLE_FRACTION,
                is_overloaded=own > limit * _OVERLOADED_FACTOR,
            ),
        )
    return bounds


def _reduce_speeds(
    bound: _PressureBound,
    full: dict[str, float],
    speeds: dict[str, float],
    interference: InterferenceModel,
) -> None:
    """
    Reduce *speeds* until the pressure on one long-running run is in bounds.

    The images with the largest effect on it are slowed down first.
    """
    effects = {
        image: _SAFETY_FACTOR * interference.effect(bound.image, image)
        for image in full
    }
    added = {
        image: effects[image] * full[image] * speeds[image] for image in full
    }
    excess = bound.own + sum(added.values()) - bound.max_pressure
    min_effect = HARMFUL_EFFECT if bound.is_overloaded else _NEGLIGIBLE_EFFECT
    for image in sorted(full, key=effects.__getitem__, reverse=True):
        if excess <= 0 or effects[image] < min_effect:
            return
        if added[image] > 0:
            reduction = min(added[image], excess)
            speeds[image] *= 1 - reduction / added[image]
            excess -= reduction


def _speed_percent(speed: float) -> int:
    percent = int(speed * 100)
    return percent if percent >= _MIN_SPEED_PERCENT else 0


def _added_pressure(
    interference: InterferenceModel,
    long_running_image: str,
    shares: dict[str, float],
) -> float:
    return sum(
        interference.effect(long_running_image, image) * share
        for image, share in shares.items()
    )


def _added_pressure_bound(
    interference: InterferenceModel,
    long_running_image: str,
    shares: dict[str, float],
) -> float:
    return _SAFETY_FACTOR * _added_pressure(
        interference, long_running_image, shares
    )


def _unreported_shares(worker: WorkerState, now_ms: float) -> dict[str, float]:
    shares: dict[str, float] = {}
    for run in worker.best_effort_runs():
        if now_ms - run.started_ms < _REPORT_LAG_MS and not run.cpu_or_tail:
            plan = run.task.step.plan
            share = worker.processor_share(plan.processor_millis)
            shares[plan.image] = shares.get(plan.image, 0) + share
    return shares
