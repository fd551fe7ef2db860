"""
Results as JSON and as Markdown tables.
"""

import json
from collections.abc import Iterator, Sequence
from pathlib import Path

from tools.bench.runs import (
    BATCH_ALONE,
    SERVICE_ALONE,
    Results,
    find_scenario,
)
from tools.bench.targets import TargetRow, check_targets

_BEGIN = '<!-- begin generated results -->'
_END = '<!-- end generated results -->'

# Title, metric, format and factor of each column of the scenario tables.
_COLUMNS = (
    ('p50 ms', 'p50_ms', '.0f', 1),
    ('p99 ms', 'p99_ms', '.0f', 1),
    ('p99.9 ms', 'p99_9_ms', '.0f', 1),
    ('peak p99 ms', 'peak_p99_ms', '.0f', 1),
    ('in deadline %', 'in_deadline', '.1f', 100),
    ('in deadline at peak %', 'peak_in_deadline', '.1f', 100),
    ('shed', 'shed', '.0f', 1),
    ('goodput /s', 'goodput_per_s', '.0f', 1),
    ('batch work per core-hour', 'work_per_core_hour', '.0f', 1),
    ('evictions', 'evictions', '.0f', 1),
    ('work lost core-s', 'lost_core_s', '.0f', 1),
    ('short wait p99 ms', 'short_wait_p99_ms', '.0f', 1),
    ('failed tasks', 'failed_tasks', '.0f', 1),
)

# Scenario, title, metric, format and factor of each row of the members table.
_MEMBER_METRICS = (
    ('steady_day', 'p99 ms', 'p99_ms', '.0f', 1),
    ('steady_day', 'p99.9 ms', 'p99_9_ms', '.0f', 1),
    ('noisy_waves', 'p99.9 ms', 'p99_9_ms', '.0f', 1),
    ('stragglers', 'short wait p99 ms', 'short_wait_p99_ms', '.0f', 1),
    ('declared_sizes', 'short wait p99 ms', 'short_wait_p99_ms', '.0f', 1),
    ('dawn_surge', 'in deadline at peak %', 'peak_in_deadline', '.1f', 100),
    ('dawn_surge', 'peak p99 ms', 'peak_p99_ms', '.0f', 1),
    ('dawn_surge', 'evictions', 'evictions', '.0f', 1),
    ('hail', 'in deadline at peak %', 'peak_in_deadline', '.1f', 100),
    ('hail', 'goodput /s', 'goodput_per_s', '.0f', 1),
    ('hail', 'evictions', 'evictions', '.0f', 1),
    ('rack_loss', 'in deadline at peak %', 'peak_in_deadline', '.1f', 100),
    ('rack_loss', 'evictions', 'evictions', '.0f', 1),
)


def write_json(
    path: Path,
    results: Results,
    costs: dict[str, dict[str, float]],
) -> None:
    """
    Write the placement costs and the metrics of each run, one run a line.
    """
    lines = [json.dumps({'placement_us': costs})]
    for name, variants in results.items():
        for variant, runs in variants.items():
            lines.extend(_json_lines(name, variant, runs))
    text = ',\n'.join(lines)
    path.write_text(f'[\n{text}\n]\n', encoding='utf-8')


def _json_lines(
    name: str,
    variant: str,
    runs: Sequence[dict[str, float]],
) -> Iterator[str]:
    for seed, run_metrics in enumerate(runs, start=1):
        figures = {key: round(figure, 4) for key, figure in run_metrics.items()}
        record = {'scenario': name, 'variant': variant, 'seed': seed}
        yield json.dumps(record | figures)


def write_page(
    page: Path,
    results: Results,
    costs: dict[str, dict[str, float]],
) -> None:
    """
    Replace the part of *page* between the markers by current tables.
    """
    text = page.read_text(encoding='utf-8')
    head, _, rest = text.partition(_BEGIN)
    tail = rest.partition(_END)[2]
    tables = '\n\n'.join(
        (
            _targets_table(check_targets(results)),
            _members_table(results),
            _cost_table(costs),
            *(_scenario_table(name, results) for name in results),
        )
    )
    page.write_text(
        f'{head}{_BEGIN}\n\n{tables}\n\n{_END}{tail}',
        encoding='utf-8',
    )


def _targets_table(rows: Sequence[TargetRow]) -> str:
    lines = [
        '### Targets',
        '',
        'One figure for each seed; a target is met if every seed meets it.',
        '',
        '| target | scenario | seeds 1, 2, 3 | bound | met |',
        '| --- | --- | --- | --- | --- |',
    ]
    for row in rows:
        figures = ', '.join(f'{figure:.3f}' for figure in row.figures)
        sign = '≤' if row.is_upper else '≥'
        met = 'yes' if row.is_met else '**no**'
        lines.append(
            f'| {row.target} | {row.scenario} | {figures} '
            f'| {sign} {row.bound} | {met} |',
        )
    return '\n'.join(lines)


def _members_table(results: Results) -> str:
    variants = (SERVICE_ALONE, 'ours', 'evict_only', 'all_baselines')
    lines = [
        '### What counts most for each member',
        '',
        'Means of the seeds, and half of their range.',
        '',
        f'| member | measure | {" | ".join(variants)} |',
        f'| --- | --- |{" --- |" * len(variants)}',
    ]
    for name, title, metric, format_spec, factor in _MEMBER_METRICS:
        cells = ' | '.join(
            _cell(
                variant,
                [run[metric] * factor for run in results[name][variant]],
                format_spec,
            )
            for variant in variants
        )
        member = find_scenario(name).profile.member
        lines.append(f'| {member} | {name}: {title} | {cells} |')
    return '\n'.join(lines)


def _cost_table(costs: dict[str, dict[str, float]]) -> str:
    counts = next(iter(costs.values()))
    lines = [
        '### CPU time to queue, place and end one task',
        '',
        'In microseconds, by the number of workers of one shard, three '
        'quarters full.',
        '',
        f'| placement | {" | ".join(counts)} |',
        f'| --- |{" --- |" * len(counts)}',
    ]
    for name, cost in costs.items():
        figures = ' | '.join(f'{cost[count]:.0f}' for count in counts)
        lines.append(f'| {name} | {figures} |')
    return '\n'.join(lines)


def _scenario_table(name: str, results: Results) -> str:
    scenario = find_scenario(name)
    columns = [
        column for column in _COLUMNS if _has_figures(results[name], column[1])
    ]
    titles = ' | '.join(column[0] for column in columns)
    lines = [
        f'### {name} ({scenario.profile.member})',
        '',
        scenario.question,
        '',
        f'| variant | {titles} |',
        f'| --- |{" --- |" * len(columns)}',
    ]
    for variant, runs in results[name].items():
        cells = ' | '.join(
            _cell(variant, [run[key] * factor for run in runs], format_spec)
            for _, key, format_spec, factor in columns
        )
        lines.append(f'| {variant} | {cells} |')
    return '\n'.join(lines)


def _has_figures(
    variants: dict[str, list[dict[str, float]]],
    metric: str,
) -> bool:
    return any(run[metric] for runs in variants.values() for run in runs)


def _cell(variant: str, figures: list[float], format_spec: str) -> str:
    is_alone = variant in {SERVICE_ALONE, BATCH_ALONE}
    if is_alone and not any(figures):
        return '-'
    mean = sum(figures) / len(figures)
    spread = (max(figures) - min(figures)) / 2
    if not spread:
        return format(mean, format_spec)
    return f'{mean:{format_spec}} ±{spread:{format_spec}}'
