"""
Disturbance of lasting tasks by filling ones on the same worker.

Workers report the tail of each lasting task about half a second late.  Most
pairs of images do not affect each other, and a few raise the tail many times
over, so what is learned is the probability that a pair is harmful.  Several
filling images beside an exceeded tail share the blame as in a noisy-or model.
"""

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from hawthornpier.events import DecisionLog
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.ports import Clock
from hawthornpier.steps import Run

Pair = tuple[str, str]

# Tails against their targets: from the first on the target is missed, below
# the second one everything is fine.
_OVER_RATIO = 1.0
_CALM_RATIO = 0.85
# Log odds that a pair is harmful, before anything is known of it.
_PRIOR = -2.0
_LOG_ODDS_MIN = -6.0
_LOG_ODDS_MAX = 4.0
# Log odds return to the prior by this much each second, because disturbance
# changes and blame may have been wrong; a barred pair gives no evidence.
_DRIFT_PER_S = 0.15
# A harmful image exceeds the target with this probability, and nothing beside
# the lasting tasks themselves with the next one.
_HARM_SHOWS = 0.95
_OWN_PEAK = 0.05
# A tail that is over its target by less than this factor is likely a peak of
# the lasting task's own load.
_CLEAR_RATIO = 1.6
_OWN_MILD_PEAK = 0.6
# A calm tail is this likely beside a harmful image, which may be idle.
_CALM_DESPITE_HARM = 0.2
# Reports follow each other faster than tails change, so each counts in part.
_REPORT_WEIGHT = 0.5
# An image with this probability may not join; one below the next one is not
# paused unless it is the only candidate.
BARRED = 0.3
_UNLIKELY = 0.06
# Reports reflect what ran this long ago.
_LAG_MS = 700.0
_MEMORY_MS = 1_800.0
# Tails change more slowly than lists arrive.
_JUDGE_INTERVAL_MS = 350.0
# Smaller parts of a worker's processors prove nothing.
_EVIDENCE_SHARE = 0.02
# A filling task that is likely harmful goes elsewhere after a pause of this
# length, and any other one after the next.
_HARMFUL_PAUSE_MS = 250.0
_PAUSE_MAX_MS = 2_500.0
# After this time all filling tasks pause, not only the likely causes.
_PAUSE_ALL_MS = 1_600.0
_RECOVERED_RATIO = 0.9


class PairPressure:
    """
    How likely filling images harm lasting ones.
    """

    def __init__(self, log: DecisionLog, clock: Clock) -> None:
        self._log = log
        self._clock = clock
        # Log odds and when they were updated.
        self._pairs: dict[Pair, tuple[float, float]] = {}

    def probability(self, lasting_image: str, filling_image: str) -> float:
        """
        Return the probability that a pair is harmful.
        """
        log_odds = self._log_odds((lasting_image, filling_image))
        return 1 / (1 + math.exp(-log_odds))

    def export(self) -> list[tuple[str, str, float]]:
        """
        Return what a later owner should know: images and log odds.
        """
        return [(*pair, round(self._log_odds(pair), 1)) for pair in self._pairs]

    def load(self, known: Iterable[tuple[str, str, float]]) -> None:
        """
        Take over what a previous owner has learned.
        """
        now_ms = self._clock.monotonic_ms()
        for lasting_image, filling_image, log_odds in known:
            self._pairs[lasting_image, filling_image] = (log_odds, now_ms)

    def worst(self, worker: WorkerState, image: str) -> float:
        """
        Return the highest probability of an image with what lasts there.
        """
        return max(
            (
                self.probability(run.task.step.plan.image, image)
                for run in worker.lasting_runs()
            ),
            default=0,
        )

    def allows(self, worker: WorkerState, image: str) -> bool:
        """
        Tell whether one more filling task of an image may join.
        """
        probability = self.worst(worker, image)
        if worker.paused_ms and probability >= _UNLIKELY:
            return False
        return probability < BARRED

    def learn(self, worker: WorkerState, now_ms: float) -> None:
        """
        Judge the pairs on a worker by its latest report.
        """
        if now_ms - worker.judged_ms < _JUDGE_INTERVAL_MS:
            return
        worker.judged_ms = now_ms
        present = _note_present(worker, now_ms)
        if not present:
            return
        for run in worker.lasting_runs():
            plan = run.task.step.plan
            if plan.tail_target_ms and run.percent >= 100:
                self._judge(
                    plan.image,
                    run.cpu_or_tail / plan.tail_target_ms,
                    present,
                    now_ms,
                )

    def _judge(
        self,
        lasting_image: str,
        ratio: float,
        present: Mapping[str, tuple[float, float]],
        now_ms: float,
    ) -> None:
        if ratio >= _CLEAR_RATIO:
            self._blame(lasting_image, present, _OWN_PEAK)
        elif ratio >= _OVER_RATIO:
            self._blame(lasting_image, present, _OWN_MILD_PEAK)
        elif ratio < _CALM_RATIO:
            self._acquit(lasting_image, present, now_ms)

    def _blame(
        self,
        lasting_image: str,
        present: Mapping[str, tuple[float, float]],
        own_peak: float,
    ) -> None:
        shown = {
            image: 1 - _HARM_SHOWS * self.probability(lasting_image, image)
            for image in present
        }
        quiet = 1 - own_peak
        for hidden in shown.values():
            quiet *= hidden
        for image, hidden in shown.items():
            without = 1 - quiet / hidden
            self._update(
                (lasting_image, image),
                (_HARM_SHOWS + (1 - _HARM_SHOWS) * without) / without,
            )

    def _acquit(
        self,
        lasting_image: str,
        present: Mapping[str, tuple[float, float]],
        now_ms: float,
    ) -> None:
        for image, (first_ms, last_ms) in present.items():
            if last_ms == now_ms and now_ms - first_ms >= _LAG_MS:
                self._update((lasting_image, image), _CALM_DESPITE_HARM)

    def _update(self, pair: Pair, likelihood_ratio: float) -> None:
        before = self.probability(*pair)
        log_odds = self._log_odds(pair)
        log_odds += _REPORT_WEIGHT * math.log(likelihood_ratio)
        log_odds = min(max(log_odds, _LOG_ODDS_MIN), _LOG_ODDS_MAX)
        self._pairs[pair] = (log_odds, self._clock.monotonic_ms())
        probability = self.probability(*pair)
        if (before < BARRED) != (probability < BARRED):
            self._log.record(
                'pair_judged',
                lasting=pair[0],
                filling=pair[1],
                probability=round(probability, 2),
                is_barred=probability >= BARRED,
            )

    def _log_odds(self, pair: Pair) -> float:
        known = self._pairs.get(pair)
        if known is None:
            return _PRIOR
        log_odds, updated_ms = known
        age_s = (self._clock.monotonic_ms() - updated_ms) / 1000
        if log_odds > _PRIOR:
            return max(_PRIOR, log_odds - _DRIFT_PER_S * age_s)
        return log_odds


def _note_present(
    worker: WorkerState,
    now_ms: float,
) -> dict[str, tuple[float, float]]:
    """
    Return since and until when each filling image has used processors.

    Images that have just left are included, because tails lag.
    """
    used: dict[str, int] = {}
    for run in worker.filling_runs():
        image = run.task.step.plan.image
        used[image] = used.get(image, 0) + run.cpu_or_tail
    least = worker.entry.processor_millis * _EVIDENCE_SHARE
    present = worker.present_images
    for image, millis in used.items():
        if millis >= least:
            first_ms, last_ms = present.get(image, (now_ms, now_ms))
            if now_ms - last_ms > _LAG_MS:
                first_ms = now_ms
            present[image] = (first_ms, now_ms)
    for image, (_, last_ms) in list(present.items()):
        if now_ms - last_ms > _MEMORY_MS:
            present.pop(image)
    return present


@dataclass(frozen=True, slots=True, kw_only=True)
class PaceActions:
    """
    How the controller acts on runs.
    """

    pace: Callable[[WorkerState, Run, int], None]
    stop: Callable[[Run, str], None]


def worst_ratio(worker: WorkerState) -> float:
    """
    Return the largest tail of the worker against its target.
    """
    return max(
        (
            run.cpu_or_tail / run.task.step.plan.tail_target_ms
            for run in worker.lasting_runs()
            if run.task.step.plan.tail_target_ms
        ),
        default=0,
    )


def control_pace(
    worker: WorkerState,
    pressure: PairPressure,
    actions: PaceActions,
    now_ms: float,
) -> None:
    """
    Pause filling tasks before a lasting one stays over its target.
    """
    runs = worker.filling_runs()
    if not runs:
        worker.paused_ms = 0
        return
    ratio = worst_ratio(worker)
    if ratio >= _OVER_RATIO:
        worker.paused_ms = worker.paused_ms or now_ms
        _pause(worker, _suspects(worker, pressure, runs, now_ms), actions)
    elif ratio < _RECOVERED_RATIO:
        worker.paused_ms = 0
        _resume(worker, runs, pressure, actions)
    if worker.paused_ms:
        _send_away(worker, runs, pressure, actions, now_ms)


def _pause(
    worker: WorkerState,
    runs: list[Run],
    actions: PaceActions,
) -> None:
    for run in runs:
        if run.pace_percent:
            actions.pace(worker, run, 0)


def _send_away(
    worker: WorkerState,
    runs: list[Run],
    pressure: PairPressure,
    actions: PaceActions,
    now_ms: float,
) -> None:
    paused_ms = now_ms - worker.paused_ms
    for run in runs:
        if run.pace_percent or paused_ms < _HARMFUL_PAUSE_MS:
            continue
        probability = pressure.worst(worker, run.task.step.plan.image)
        if probability >= BARRED or paused_ms > _PAUSE_MAX_MS:
            actions.stop(run, 'disturbs lasting tasks')


def _resume(
    worker: WorkerState,
    runs: list[Run],
    pressure: PairPressure,
    actions: PaceActions,
) -> None:
    for run in runs:
        if run.pace_percent == 100:
            continue
        if pressure.worst(worker, run.task.step.plan.image) >= BARRED:
            actions.stop(run, 'disturbs lasting tasks')
        else:
            actions.pace(worker, run, 100)


def _suspects(
    worker: WorkerState,
    pressure: PairPressure,
    runs: list[Run],
    now_ms: float,
) -> list[Run]:
    """
    Return what may be the cause: all, once the likely ones have paused.
    """
    if now_ms - worker.paused_ms > _PAUSE_ALL_MS:
        return runs
    return [
        run
        for run in runs
        if pressure.worst(worker, run.task.step.plan.image) >= _UNLIKELY
    ]
