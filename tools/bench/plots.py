"""
Plots of the results of the benchmark.
"""

from pathlib import Path

import matplotlib as mpl
from matplotlib import pyplot as plt

from tools.bench.runs import SERVICE_ALONE, Results
from tools.bench.variants import VARIANTS

# One marker for each variant.
_MARKERS = 'o^v<>sPXDd*p'

_LATENCY_SCENARIOS = ('steady_day', 'dawn_surge', 'hail')


def draw_all(directory: Path, results: Results) -> None:
    """
    Write all plots to *directory* as SVG files.
    """
    mpl.rcParams['svg.hashsalt'] = 'bench'
    _draw_tradeoff(directory / 'bench-tradeoff.svg', results)
    _draw_evictions(directory / 'bench-evictions.svg', results)


def _mean(runs: list[dict[str, float]], metric: str) -> float:
    return sum(run[metric] for run in runs) / len(runs)


def _draw_tradeoff(path: Path, results: Results) -> None:
    figure, axes = plt.subplots(
        1,
        len(_LATENCY_SCENARIOS),
        figsize=(11, 3.6),
        layout='constrained',
    )
    for axis, name in zip(axes, _LATENCY_SCENARIOS, strict=True):
        for variant, marker in zip(VARIANTS, _MARKERS, strict=True):
            runs = results[name][variant]
            axis.plot(
                _mean(runs, 'work_per_core_hour'),
                _mean(runs, 'p99_ms'),
                marker,
                label=variant,
                alpha=0.7,
            )
        alone = _mean(results[name][SERVICE_ALONE], 'p99_ms')
        axis.axhline(1.2 * alone, linewidth=0.8, linestyle='--')
        axis.set_title(name, fontsize=9)
        axis.set_xlabel('batch work per core-hour (core-s)', fontsize=8)
        axis.set_yscale('log')
    axes[0].set_ylabel('service p99 (ms); line: 1.2 x alone', fontsize=8)
    figure.legend(
        *axes[0].get_legend_handles_labels(),
        loc='outside right center',
        fontsize=7,
    )
    _save(figure, path)


def _draw_evictions(path: Path, results: Results) -> None:
    figure, axis = plt.subplots(figsize=(8, 3.2), layout='constrained')
    names = list(results)
    for shift, variant in ((-0.2, 'ours'), (0.2, 'evict_only')):
        axis.bar(
            [position + shift for position in range(len(names))],
            [_mean(results[name][variant], 'evictions') for name in names],
            width=0.4,
            label=variant,
        )
    axis.set_xticks(range(len(names)), names, rotation=30, fontsize=7)
    axis.set_ylabel('evictions', fontsize=8)
    axis.legend(fontsize=7)
    _save(figure, path)


def _save(figure: plt.Figure, path: Path) -> None:
    figure.savefig(path, metadata={'Date': None})
    plt.close(figure)
