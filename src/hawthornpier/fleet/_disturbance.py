"""
Disturbance of lasting tasks by filling ones on the same worker.

The tail of a lasting task grows with its *pressure* as in a queue: a task with
the tail *b* without load has the tail ``b / (1 - pressure)``.  Pressure is the
sum of the task's own load, which changes within seconds, and of what each
filling image adds: its part of the worker's processors times an effect that
depends on the pair of images.  The effects are learned, by a Kalman filter for
each pair, from what changes in the second between two reports.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from hawthornpier.events import DecisionLog
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.ports import Clock
from hawthornpier.steps import Run, StepPlan

Pair = tuple[str, str]

# The tail without load as a part of the target, until a lower one is seen.
_UNLOADED_FRACTION = 1 / 6
# The least part that is believed; a lower report is taken for an error.
_MIN_UNLOADED_FRACTION = 1 / 30
# Effects before anything is known of a pair, as mean and variance: most pairs
# hardly affect each other, and the others have an effect of about 1.
_PRIOR_EFFECT = 0.35
_PRIOR_VARIANCE = 0.2
_MAX_EFFECT = 3.0
# Effects drift, by this variance each second.
_DRIFT_VARIANCE_PER_S = 0.0004
# Variance of the change of a task's own load within a second, and of reports.
_NOISE_VARIANCE = 0.012
# Two reports that are compared are this far apart.
_MIN_SPAN_MS = 800.0
_MAX_SPAN_MS = 1_400.0
# Smaller changes of the processors in use, as a part of all, prove nothing.
_MIN_SHARE_CHANGE = 0.02
# A change of an effect by this much is worth a line in the log.
_LOGGED_CHANGE = 0.25


@dataclass(slots=True)
class _EffectEstimate:
    """
    The estimate for one pair of images.
    """

    mean: float = _PRIOR_EFFECT
    variance: float = _PRIOR_VARIANCE
    updated_ms: float = 0
    logged_mean: float = _PRIOR_EFFECT


@dataclass(frozen=True, slots=True, kw_only=True)
class _Report:
    """
    What a worker reported at one time.
    """

    at_ms: float
    tails_ms: dict[tuple[str, int], int]
    shares: dict[str, float]


class InterferenceModel:
    """
    How much pressure filling images put on lasting ones.

    Args:
        log: Where changed estimates are recorded.
        clock: The clock of this process.
    """

    def __init__(self, log: DecisionLog, clock: Clock) -> None:
        self._log = log
        self._clock = clock
        self._effects: dict[Pair, _EffectEstimate] = {}
        self._unloaded_ms: dict[str, float] = {}
        self._reports: dict[str, deque[_Report]] = {}

    def effect(self, long_running_image: str, best_effort_image: str) -> float:
        """
        Return the pressure of a filling image that uses the whole worker.
        """
        estimate = self._effects.get((long_running_image, best_effort_image))
        return _PRIOR_EFFECT if estimate is None else estimate.mean

    def export(self) -> list[tuple[str, str, float, float]]:
        """
        Return what a later owner should know: images, mean and variance.
        """
        return [
            (*pair, round(estimate.mean, 3), round(estimate.variance, 4))
            for pair, estimate in self._effects.items()
        ]

    def load(self, estimate: Iterable[tuple[str, str, float, float]]) -> None:
        """
        Take over what a previous owner has learned.
        """
        now_ms = self._clock.monotonic_ms()
        for long_running_image, best_effort_image, mean, variance in estimate:
            self._effects[long_running_image, best_effort_image] = (
                _EffectEstimate(
                    mean=mean,
                    variance=variance,
                    updated_ms=now_ms,
                    logged_mean=mean,
                )
            )

    def pressure(self, run: Run) -> float:
        """
        Return the pressure on a lasting run by its latest report, below 1.
        """
        return self._pressure(run.task.step.plan, run.cpu_or_tail)

    def limit(self, plan: StepPlan) -> float:
        """
        Return the pressure at which a lasting task reaches its target.
        """
        return self._pressure(plan, plan.tail_target_ms)

    def learn(self, worker: WorkerState, now_ms: float) -> None:
        """
        Take in the latest report of a worker.
        """
        report = _make_report(worker, now_ms)
        history = self._reports.setdefault(worker.worker_id, deque())
        if history and _is_unchanged(history[-1], report):
            return
        history.append(report)
        while history[0].at_ms < now_ms - _MAX_SPAN_MS:
            history.popleft()
        for run in worker.long_running_runs():
            self._record_unloaded(run)
        earlier = history[0]
        if now_ms - earlier.at_ms < _MIN_SPAN_MS:
            return
        changes = _share_changes(earlier.shares, report.shares)
        if changes:
            for run in worker.long_running_runs():
                self._learn_from_change(run, earlier, report, changes)

    def forget_worker(self, worker_id: str) -> None:
        """
        Drop the reports of a worker that has gone.
        """
        self._reports.pop(worker_id, None)

    def _pressure(self, plan: StepPlan, tail_ms: float) -> float:
        target_ms = plan.tail_target_ms
        unloaded_ms = self._unloaded_ms.get(
            plan.image,
            target_ms * _UNLOADED_FRACTION,
        )
        return 1 - unloaded_ms / max(tail_ms, unloaded_ms, 1)

    def _record_unloaded(self, run: Run) -> None:
        plan = run.task.step.plan
        if not plan.tail_target_ms or not run.cpu_or_tail:
            return
        least_ms = plan.tail_target_ms * _MIN_UNLOADED_FRACTION
        known_ms = self._unloaded_ms.get(
            plan.image,
            plan.tail_target_ms * _UNLOADED_FRACTION,
        )
        if least_ms <= run.cpu_or_tail < known_ms:
            self._unloaded_ms[plan.image] = run.cpu_or_tail

    def _learn_from_change(
        self,
        run: Run,
        earlier: _Report,
        report: _Report,
        changes: dict[str, float],
    ) -> None:
        """
        Explain the change of one task's tail by the changed filling images.
        """
        key = (run.task.key, run.attempt)
        before_ms = earlier.tails_ms.get(key)
        after_ms = report.tails_ms.get(key)
        if not before_ms or not after_ms:
            return
        plan = run.task.step.plan
        rise = self._pressure(plan, after_ms) - self._pressure(plan, before_ms)
        effects = {
            image: self._current_estimate((plan.image, image))
            for image in changes
        }
        _update_estimates(effects, changes, rise)
        for image, estimate in effects.items():
            self._log_change((plan.image, image), estimate)

    def _current_estimate(self, pair: Pair) -> _EffectEstimate:
        """
        Return the estimate for a pair, less certain with its age.
        """
        now_ms = self._clock.monotonic_ms()
        estimate = self._effects.setdefault(
            pair, _EffectEstimate(updated_ms=now_ms)
        )
        age_s = (now_ms - estimate.updated_ms) / 1000
        estimate.variance = min(
            estimate.variance + age_s * _DRIFT_VARIANCE_PER_S,
            _PRIOR_VARIANCE,
        )
        estimate.updated_ms = now_ms
        return estimate

    def _log_change(self, pair: Pair, estimate: _EffectEstimate) -> None:
        if abs(estimate.mean - estimate.logged_mean) >= _LOGGED_CHANGE:
            estimate.logged_mean = estimate.mean
            self._log.record(
                'pair_judged',
                lasting=pair[0],
                filling=pair[1],
                effect=round(estimate.mean, 2),
                variance=round(estimate.variance, 3),
            )


def best_effort_shares(worker: WorkerState) -> dict[str, float]:
    """
    Return the part of a worker's processors that each filling image uses.
    """
    shares: dict[str, float] = {}
    for run in worker.best_effort_runs():
        image = run.task.step.plan.image
        share = worker.processor_share(run.cpu_or_tail)
        shares[image] = shares.get(image, 0) + share
    return shares


def tail_ratio(run: Run) -> float:
    """
    Return the tail of a lasting run against its target, 0 without one.
    """
    target_ms = run.task.step.plan.tail_target_ms
    return run.cpu_or_tail / target_ms if target_ms else 0


def max_tail_ratio(worker: WorkerState) -> float:
    """
    Return the largest tail of the worker against its target.
    """
    return max(
        (tail_ratio(run) for run in worker.long_running_runs()), default=0
    )


def _update_estimates(
    effects: dict[str, _EffectEstimate],
    changes: dict[str, float],
    rise: float,
) -> None:
    """
    Correct the effects by how much the pressure rose beside some changes.
    """
    surprise = rise
    uncertainty = _NOISE_VARIANCE
    for image, change in changes.items():
        surprise -= effects[image].mean * change
        uncertainty += effects[image].variance * change * change
    for image, change in changes.items():
        estimate = effects[image]
        gain = estimate.variance * change / uncertainty
        estimate.mean = min(
            max(estimate.mean + gain * surprise, 0), _MAX_EFFECT
        )
        estimate.variance *= 1 - gain * change


def _make_report(worker: WorkerState, now_ms: float) -> _Report:
    return _Report(
        at_ms=now_ms,
        tails_ms={
            (run.task.key, run.attempt): run.cpu_or_tail
            for run in worker.long_running_runs()
            if run.percent >= 100 and run.task.step.plan.tail_target_ms
        },
        shares=best_effort_shares(worker),
    )


def _is_unchanged(older: _Report, newer: _Report) -> bool:
    """
    Tell whether a worker has not measured again between two answers.
    """
    return older.tails_ms == newer.tails_ms and older.shares == newer.shares


def _share_changes(
    before: dict[str, float],
    after: dict[str, float],
) -> dict[str, float]:
    changes = {
        image: after.get(image, 0) - before.get(image, 0)
        for image in before.keys() | after.keys()
    }
    if max(map(abs, changes.values()), default=0) < _MIN_SHARE_CHANGE:
        return {}
    return changes
