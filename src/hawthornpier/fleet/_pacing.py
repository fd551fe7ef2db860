"""
The pace of filling tasks beside lasting ones, and where they may join.

Each filling image on a worker works as fast as the lasting tasks there bear:
the pressure on each of them stays below the one at which it reaches its
target.  What an image has to give up is taken from the most harmful ones.
"""

from collections.abc import Callable
from dataclasses import dataclass

from hawthornpier.fleet._disturbance import (
    InterferenceModel,
    best_effort_shares,
    max_tail_ratio,
)
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.steps import Run, Step

# Parts of the pressure at the target.  Filling tasks slow down above the
# first one, and none join above the second one: load changes while they run.
_THROTTLE_FRACTION = 0.96
_ADMISSION_FRACTION = 0.92
# Effects vary within seconds around what is learned of them.
_SAFETY_FACTOR = 1.4
# Smaller effects are not worth a slower task.
_NEGLIGIBLE_EFFECT = 0.03
# A task whose own load exceeds the limit by this factor suffers with or
# without filling tasks; only images with this effect still make room for it.
_OVERLOADED_FACTOR = 1.04
HARMFUL_EFFECT = 0.45
# Percent; a slower task would hold its place for next to nothing.
_MIN_SPEED_PERCENT = 10
# Percent; smaller changes are not worth an order.
_MIN_SPEED_CHANGE_PERCENT = 10
# A tail that stays over its target for the first time has all filling tasks
# pause, whatever is known of them; for the second one, they go elsewhere.
_PAUSE_ALL_AFTER_MS = 1_600.0
_EVICT_ALL_AFTER_MS = 2_600.0
# A task that may not work here goes elsewhere after this time; one that would
# lose its work waits longer.
_MAX_PAUSE_MS = 1_000.0
_MAX_UNSAVED_PAUSE_MS = 2_500.0
# Reports reflect a task this long after its start.
_REPORT_LAG_MS = 1_000.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ThrottleActions:
    """
    How the controller acts on runs.
    """

    pace: Callable[[WorkerState, Run, int], None]
    stop: Callable[[Run, str], None]


@dataclass(frozen=True, slots=True, kw_only=True)
class _PressureBound:
    """
    One lasting run: its own pressure and the most that it should bear.
    """

    image: str
    own: float
    most: float
    is_overloaded: bool


def pressure_margin(
    worker: WorkerState,
    step: Step,
    interference: InterferenceModel,
    now_ms: float,
) -> float:
    """
    Return the pressure that is left beside one more task of a filling step.

    A negative margin means that the task may not join.  Tasks that started
    so recently that no report reflects them count as well.
    """
    if worker.over_target_since_ms:
        return -1
    joining = _unreported_shares(worker, now_ms)
    image = step.plan.image
    share = worker.processor_share(step.plan.processor_millis)
    joining[image] = joining.get(image, 0) + share
    return min(
        (
            interference.limit(run.task.step.plan) * _ADMISSION_FRACTION
            - interference.pressure(run)
            - _added_pressure_bound(
                interference,
                run.task.step.plan.image,
                joining,
            )
            for run in worker.long_running_runs()
            if run.task.step.plan.tail_target_ms
        ),
        default=1,
    )


def control_throttling(
    worker: WorkerState,
    interference: InterferenceModel,
    actions: ThrottleActions,
    now_ms: float,
) -> None:
    """
    Set the pace of the filling tasks on a worker by its latest report.
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
            actions.stop(run, 'disturbs lasting tasks')


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
    is_end = percent in {0, 100} and run.speed_percent != percent
    if is_end or abs(run.speed_percent - percent) >= _MIN_SPEED_CHANGE_PERCENT:
        actions.pace(worker, run, percent)


def _has_exceeded_pause(run: Run, now_ms: float) -> bool:
    if not run.paused_ms:
        return False
    is_saved = run.task.step.plan.has_checkpoints
    limit_ms = _MAX_PAUSE_MS if is_saved else _MAX_UNSAVED_PAUSE_MS
    return now_ms - run.paused_ms > limit_ms


def _target_speeds(
    worker: WorkerState,
    runs: list[Run],
    interference: InterferenceModel,
) -> dict[str, int]:
    """
    Return the percentage at which each filling image may work.
    """
    full: dict[str, float] = {}
    for run in runs:
        plan = run.task.step.plan
        share = worker.processor_share(plan.processor_millis)
        full[plan.image] = full.get(plan.image, 0) + share
    speeds = dict.fromkeys(full, 1.0)
    for load in _pressure_bounds(worker, interference):
        _reduce_speeds(load, full, speeds, interference)
    return {image: _speed_percent(pace) for image, pace in speeds.items()}


def _pressure_bounds(
    worker: WorkerState, interference: InterferenceModel
) -> list[_PressureBound]:
    shares = best_effort_shares(worker)
    loads = []
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
        loads.append(
            _PressureBound(
                image=plan.image,
                own=max(own, 0),
                most=limit * _THROTTLE_FRACTION,
                is_overloaded=own > limit * _OVERLOADED_FACTOR,
            ),
        )
    return loads


def _reduce_speeds(
    load: _PressureBound,
    full: dict[str, float],
    speeds: dict[str, float],
    interference: InterferenceModel,
) -> None:
    """
    Slow down the images that disturb one lasting task most, as far as needed.
    """
    effects = {
        image: _SAFETY_FACTOR * interference.effect(load.image, image)
        for image in full
    }
    added = {
        image: effects[image] * full[image] * speeds[image] for image in full
    }
    excess = load.own + sum(added.values()) - load.most
    least = HARMFUL_EFFECT if load.is_overloaded else _NEGLIGIBLE_EFFECT
    for image in sorted(full, key=effects.__getitem__, reverse=True):
        if excess <= 0 or effects[image] < least:
            return
        if added[image] > 0:
            cut = min(added[image], excess)
            speeds[image] *= 1 - cut / added[image]
            excess -= cut


def _speed_percent(pace: float) -> int:
    percent = int(pace * 100)
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
