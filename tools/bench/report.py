"""
Results as Markdown tables and plots.
"""

from collections.abc import Sequence
from pathlib import Path

from tools.bench.runs import (
    BATCH_ALONE,
    SERVICE_ALONE,
    Results,
    find_scenario,
)
from tools.bench.targets import TargetRow, check

_BEGIN = '<!-- begin generated results -->'
_END = '<!-- end generated results -->'

_COLUMNS = (
    ('p50 ms', 'p50_ms', '.0f', 1),
    ('p99 ms', 'p99_ms', '.0f', 1),
    ('p99.9 ms', 'p99_9_ms', '.0f', 1),
    ('in deadline %', 'in_deadline', '.1f', 100),
    ('shed', 'shed', '.0f', 1),
    ('goodput /s', 'goodput_per_s', '.0f', 1),
    ('batch work per core-hour', 'work_per_core_hour', '.0f', 1),
    ('evictions', 'evictions', '.0f', 1),
    ('work lost core-s', 'lost_core_s', '.0f', 1),
    ('short wait p99 ms', 'short_wait_p99_ms', '.0f', 1),
    ('failed tasks', 'failed_tasks', '.0f', 1),
)


def write_page(
    page: Path,
    results: Results,
    costs: dict[str, dict[str, float]],
) -> None:
    """
    Replace the generated part of the page.
    """
    text = page.read_text(encoding='utf-8')
    head, _, rest = text.partition(_BEGIN)
    tail = rest.partition(_END)[2]
    tables = '\n\n'.join(
        (
            _targets_table(check(results)),
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
    titles = ' | '.join(title for title, *_ in _COLUMNS)
    lines = [
        f'### {name} ({scenario.profile.member})',
        '',
        scenario.question,
        '',
        f'| variant | {titles} |',
        f'| --- |{" --- |" * len(_COLUMNS)}',
    ]
    for variant, runs in results[name].items():
        cells = ' | '.join(
            _cell(variant, [run[key] * factor for run in runs], layout)
            for _, key, layout, factor in _COLUMNS
        )
        lines.append(f'| {variant} | {cells} |')
    return '\n'.join(lines)


def _cell(variant: str, figures: list[float], layout: str) -> str:
    is_alone = variant in {SERVICE_ALONE, BATCH_ALONE}
    if is_alone and not any(figures):
        return '–'
    mean = sum(figures) / len(figures)
    spread = (max(figures) - min(figures)) / 2
    if not spread:
        return format(mean, layout)
    return f'{mean:{layout}} ±{spread:{layout}}'
