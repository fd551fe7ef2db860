"""
The report that the demo prints at its end.
"""

from collections.abc import Iterable, Sequence

from demo.deployment import LIMITED_RUNNING_COUNT

from hawthornpier.messages import TaskResult
from hawthornpier_standin.callers import CallResult, Summary, percentile
from hawthornpier_standin.history import Record, RecordKind

_MS_PER_S = 1_000


def service_lines(summaries: Iterable[Summary]) -> list[str]:
    """
    Return a table of outcomes and latencies by service and phase.

    The phase is ``usual`` or ``surge``.
    """
    lines = [
        f'{"service":<13}{"phase":<7}{"sent":>6}{"answered":>9}'
        f'{"not run":>8}{"unknown":>8}{"p50 ms":>8}{"p99 ms":>8}'
        f'{"p99.9 ms":>9}{"in time":>9}',
    ]
    for summary in summaries:
        counts = summary.counts
        latencies = summary.latencies
        lines.append(
            f'{summary.service:<13}{summary.phase:<7}{summary.sent_count:>6}'
            f'{counts.get(CallResult.ANSWERED, 0):>9}'
            f'{counts.get(CallResult.NOT_RUN, 0):>8}'
            f'{counts.get(CallResult.UNKNOWN, 0):>8}'
            f'{latencies.p50_ms:>8.0f}{latencies.p99_ms:>8.0f}'
            f'{latencies.p999_ms:>9.0f}{summary.in_time_share:>9.2%}',
        )
    return lines


def batch_lines(
    records: Sequence[Record],
    *,
    short_workload_tasks: Iterable[str],
    duration_s: float,
) -> list[str]:
    """
    Return the throughput, the evictions and the waiting times of short tasks.
    """
    ended = [each for each in records if each.kind is RecordKind.RUN_ENDED]
    done = [each for each in ended if each.detail == TaskResult.DONE]
    evicted = [each for each in ended if each.detail == TaskResult.EVICTED]
    delays_ms = sorted(_start_delays_ms(records, set(short_workload_tasks)))
    return [
        f'batch throughput         {len(done)} tasks completed,'
        f' {len(done) / duration_s:.1f} per second',
        f'evictions                {len(evicted)}',
        f'wait of short work       p50 {percentile(delays_ms, 0.5):.0f} ms,'
        f' p99 {percentile(delays_ms, 0.99):.0f} ms',
    ]


def max_concurrent_runs(
    records: Sequence[Record],
    task_ids: Iterable[str],
    *,
    from_ms: float,
    to_ms: float,
) -> int:
    """
    Return the highest number of concurrent runs at any start of a run.

    Only starts between *from_ms* and *to_ms* count. The caller compares the
    number with the running limit that the table had during that time.
    """
    limited_task_ids = set(task_ids)
    running_run_ids: set[str] = set()
    max_running = 0
    for record in sorted(records, key=lambda each: each.at_ms):
        if record.task_id not in limited_task_ids:
            continue
        if record.kind is RecordKind.RUN_STARTED:
            running_run_ids.add(record.run_id)
            if from_ms <= record.at_ms <= to_ms:
                max_running = max(max_running, len(running_run_ids))
        elif record.kind is RecordKind.RUN_ENDED:
            running_run_ids.discard(record.run_id)
    return max_running


def limit_line(max_running: int) -> str:
    """
    Return the line about the running limit that an operator's edit set.
    """
    return (
        f'table edit               carving plans limited to'
        f' {LIMITED_RUNNING_COUNT}; most concurrent runs at a start'
        f' under this limit: {max_running}'
    )


def _start_delays_ms(
    records: Sequence[Record],
    task_ids: set[str],
) -> list[float]:
    accepted_ms: dict[str, float] = {}
    started_ms: dict[str, float] = {}
    for record in records:
        if record.kind is RecordKind.JOB_ACCEPTED:
            accepted_ms.update(dict.fromkeys(record.task_ids, record.at_ms))
        elif record.kind is RecordKind.RUN_STARTED:
            earlier_ms = started_ms.get(record.task_id, record.at_ms)
            started_ms[record.task_id] = min(earlier_ms, record.at_ms)
    return [
        max(0, started_ms[task_id] - accepted_ms[task_id])
        for task_id in task_ids & accepted_ms.keys() & started_ms.keys()
    ]
