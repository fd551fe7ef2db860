"""
Interference of best-effort tasks with long-running ones on the same worker.

The tail latency of a long-running task grows with the *pressure* on it, as in
a queue: if it is *b* without load, it is ``b / (1 - pressure)`` under load.
Pressure is the sum of the task's own load, which changes within seconds, and
of a contribution of each best-effort image.  The contribution is the fraction
of the worker's processors that the image uses, multiplied by an *effect* that
depends on the pair of images.  A Kalman filter estimates the effect of each
pair from the changes between two reports that are about a second apart.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from hawthornpier.events import DecisionLog
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.ports import Clock
from hawthornpier.steps import Run, StepPlan

Pair = tuple[str, str]
# Two images, and the mean and variance of the effect of one on the other.
EffectRow = tuple[str, str, float, float]

# The assumed tail latency without load, as a fraction of the target, until a
# lower one is reported.
_UNLOADED_FRACTION = 1 / 6
# Reported tail latencies below this fraction of the target are considered
# erroneous and not used as the one without load.
_MIN_UNLOADED_FRACTION = 1 / 30
# Mean and variance of the effect of a pair before any observation: most pairs
# hardly interfere, and the others have an effect of about 1.
_PRIOR_EFFECT = 0.35
_PRIOR_VARIANCE = 0.2
_MAX_EFFECT = 3.0
# Variance that an estimate gains per second, because effects drift.
_DRIFT_VARIANCE_PER_S = 0.0004
# Observation noise: the variance from the change of a task's own load within a
# second and from the inaccuracy of reports.
_NOISE_VARIANCE = 0.012
# Bounds on the time between two reports that are compared.
_MIN_SPAN_MS = 800.0
_MAX_SPAN_MS = 1_400.0
# Smaller changes of the processors in use, as a fraction of the worker's, are
# not used as observations.
_MIN_SHARE_CHANGE = 0.02
# A change of an estimated effect by this much is logged.
_LOGGED_CHANGE = 0.25


@dataclass(slots=True)
class _EffectEstimate:
    """
    The estimated effect for one pair of images.
    """

    mean: float = _PRIOR_EFFECT
    variance: float = _PRIOR_VARIANCE
    updated_ms: float = 0
    logged_mean: float = _PRIOR_EFFECT


@dataclass(frozen=True, slots=True, kw_only=True)
class _Report:
    """
    The usage that a worker reported at one time.

    *tails_ms* maps the task key and attempt of each long-running run to its
    tail latency, *shares* each best-effort image to the fraction of the
    worker's processors that it uses.
    """

    at_ms: float
    tails_ms: dict[tuple[str, int], int]
    shares: dict[str, float]


class InterferenceModel:
    """
    Estimates the pressure of best-effort images on long-running ones.

    The module's docstring describes the model.

    Args:
        log: The decision log, for changed estimates.
        clock: The clock of this process.
    """

    def __init__(self, log: DecisionLog, clock: Clock) -> None:
        self._log = log
        self._clock = clock
        self._effects: dict[Pair, _EffectEstimate] = {}
        # The number of times that effects have changed.
        self.change_count = 0
        self._unloaded_ms: dict[str, float] = {}
        self._reports: dict[str, deque[_Report]] = {}

    def effect(self, long_running_image: str, best_effort_image: str) -> float:
        """
        Return the estimated effect of one image on another.

        This is the pressure that the best-effort image adds if it uses all
        processors of a worker.
        """
        estimate = self._effects.get((long_running_image, best_effort_image))
        return _PRIOR_EFFECT if estimate is None else estimate.mean

    def export(self) -> list[EffectRow]:
        """
        Return the estimated effects, to be stored for the next owner.

        Each item has the long-running image, the best-effort image, and the
        mean and variance of the estimate.
        """
        return [
            (*pair, round(estimate.mean, 3), round(estimate.variance, 4))
            for pair, estimate in self._effects.items()
        ]

    def load(self, estimates: Iterable[EffectRow]) -> None:
        """
        Load the estimates that the previous owner exported.
        """
        self.change_count += 1
        now_ms = self._clock.monotonic_ms()
        for long_running_image, best_effort_image, mean, variance in estimates:
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
        Return the pressure on a long-running run, below 1.

        It is derived from the tail latency in the latest report.
        """
        return self._pressure(run.task.step.plan, run.cpu_or_tail)

    def limit(self, plan: StepPlan) -> float:
        """
        Return the pressure at which a task reaches its tail latency target.
        """
        return self._pressure(plan, plan.tail_target_ms)

    def learn(self, worker: WorkerState, now_ms: float) -> None:
        """
        Update the estimates with the latest report of a worker.
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
        Drop the reports of a worker that no longer exists.
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
            self.change_count += 1

    def _learn_from_change(
        self,
        run: Run,
        earlier: _Report,
        report: _Report,
        changes: dict[str, float],
    ) -> None:
        """
        Update estimates from the changes between two reports of a run.
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
        self.change_count += 1
        for image, estimate in effects.items():
            self._log_change((plan.image, image), estimate)

    def _current_estimate(self, pair: Pair) -> _EffectEstimate:
        """
        Return the estimate for a pair, with its variance increased by its age.
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
                'interference_estimated',
                lasting=pair[0],
                filling=pair[1],
                effect=round(estimate.mean, 2),
                variance=round(estimate.variance, 3),
            )


def best_effort_shares(worker: WorkerState) -> dict[str, float]:
    """
    Return the fraction of a worker's processors used by each best-effort image.
    """
    shares: dict[str, float] = {}
    for run in worker.best_effort_runs():
        image = run.task.step.plan.image
        share = worker.processor_share(run.cpu_or_tail)
        shares[image] = shares.get(image, 0) + share
    return shares


def tail_ratio(run: Run) -> float:
    """
    Return the tail latency of a run divided by its target, or 0 without one.
    """
    target_ms = run.task.step.plan.tail_target_ms
    return run.cpu_or_tail / target_ms if target_ms else 0


def max_tail_ratio(worker: WorkerState) -> float:
    """
    Return the largest ratio of tail latency to target on a worker.
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
    Update estimates in place by one observation, as a Kalman filter does.

    Args:
        effects: The estimate for each best-effort image.
        changes: The change of the processors that each of them uses, as a
            fraction of the worker's.
        rise: The observed change of the pressure.
    """
    residual = rise
    residual_variance = _NOISE_VARIANCE
    for image, change in changes.items():
        residual -= effects[image].mean * change
        residual_variance += effects[image].variance * change * change
    for image, change in changes.items():
        estimate = effects[image]
        gain = estimate.variance * change / residual_variance
        estimate.mean = min(
            max(estimate.mean + gain * residual, 0), _MAX_EFFECT
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
    Return whether two reports have the same measurements.

    That is so if the worker has not measured its usage between two responses.
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
