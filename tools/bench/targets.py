"""
Comparison of measured figures with the targets.
"""

import itertools
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from tools.bench.runs import BATCH_ALONE, SERVICE_ALONE, Results

_STEADY = ('steady_day', 'steady_picking')
_PEAKS = ('dawn_surge', 'hail', 'rack_loss')

RunMetrics = dict[str, float]


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetRow:
    """
    One target in one scenario; *figures* has one entry for each seed.
    """

    target: str
    scenario: str
    figures: tuple[float, ...]
    bound: float
    is_upper: bool

    @property
    def is_met(self) -> bool:
        """
        Whether the figures of all seeds meet the target.
        """
        if self.is_upper:
            return max(self.figures) <= self.bound
        return min(self.figures) >= self.bound


def check_targets(results: Results) -> list[TargetRow]:
    """
    Compare the variant ``ours`` with all targets.
    """
    rows = [
        *_ratio_rows(results, 'p99_ms', SERVICE_ALONE, 1.2, is_upper=True),
        *_ratio_rows(
            results,
            'work_per_core_hour',
            BATCH_ALONE,
            0.85,
            is_upper=False,
        ),
    ]
    rows.extend(
        TargetRow(
            target='share of admitted requests within the deadline at the peak',
            scenario=name,
            figures=_per_seed(results[name]['ours'], _peak_in_deadline),
            bound=0.99,
            is_upper=False,
        )
        for name in _PEAKS
    )
    rows.append(_overcommit_row(results))
    rows.append(
        TargetRow(
            target='p99 wait of short work over its service time',
            scenario='stragglers',
            figures=_per_seed(results['stragglers']['ours'], _short_wait_ratio),
            bound=2,
            is_upper=True,
        ),
    )
    rows.append(_eviction_row('all scenarios', results, tuple(results)))
    rows.extend(_eviction_row(name, results, (name,)) for name in results)
    return rows


def _ratio_rows(
    results: Results,
    metric: str,
    reference: str,
    bound: float,
    *,
    is_upper: bool,
) -> list[TargetRow]:
    return [
        TargetRow(
            target=f'{metric} over {reference}',
            scenario=name,
            figures=tuple(
                ours[metric] / alone[metric]
                for ours, alone in zip(
                    results[name]['ours'],
                    results[name][reference],
                    strict=True,
                )
            ),
            bound=bound,
            is_upper=is_upper,
        )
        for name in _STEADY
    ]


def _per_seed(
    runs: Iterable[RunMetrics],
    compute: Callable[[RunMetrics], float],
) -> tuple[float, ...]:
    return tuple(compute(run) for run in runs)


def _peak_in_deadline(run: RunMetrics) -> float:
    return run['peak_in_deadline']


def _short_wait_ratio(run: RunMetrics) -> float:
    return run['short_wait_p99_ms'] / run['short_service_ms']


def _overcommit_row(results: Results) -> TargetRow:
    runs = itertools.chain.from_iterable(
        itertools.chain.from_iterable(variants.values())
        for variants in results.values()
    )
    total = sum(run['overcommits'] for run in runs)
    return TargetRow(
        target='overcommitted placements in all runs of all variants',
        scenario='all scenarios',
        figures=(total,),
        bound=0,
        is_upper=True,
    )


def _eviction_row(
    scenario: str,
    results: Results,
    names: tuple[str, ...],
) -> TargetRow:
    ours = _eviction_sums(results, names, 'ours')
    baseline = _eviction_sums(results, names, 'evict_only')
    figures = [
        count / max(baseline_count, 1)
        for count, baseline_count in zip(ours, baseline, strict=True)
    ]
    return TargetRow(
        target='evictions over those without throttling',
        scenario=scenario,
        figures=tuple(figures),
        bound=0.5,
        is_upper=True,
    )


def _eviction_sums(
    results: Results,
    names: tuple[str, ...],
    variant: str,
) -> list[float]:
    by_seed = zip(*(results[name][variant] for name in names), strict=True)
    return [sum(run['evictions'] for run in runs) for runs in by_seed]
