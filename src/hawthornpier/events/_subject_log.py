"""
Selection of the log lines that explain what happened to one subject.

A subject is a job, task, worker, queue or process, or another id in the logs.
The lines come from the decision logs of all processes.
"""

import html
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

# Fields of the log format that are not part of the logged decision.
_ENVELOPE_FIELDS = frozenset(
    ('timestamp', 'task_uuid', 'task_level', 'message_type', 'wall_ms'),
)
# State changes of a worker that affect the runs on it.
_WORKER_CHANGE_KINDS = frozenset(
    (
        'worker_lost',
        'worker_lapsed',
        'worker_reborn',
        'worker_gone',
        'worker_draining',
        'worker_quarantined',
        'worker_listed',
    ),
)
# State changes that affect every job.  `task_failed` is the end of a background
# task of a process, not of a job's task.
_GLOBAL_KINDS = frozenset(
    (
        'shard_claimed',
        'shard_loaded',
        'shard_lost',
        'handover_received',
        'handover_unknown',
        'task_failed',
        'store_lost',
        'store_regained',
        'process_started',
        'process_stopping',
        'release_failed',
        'load_failed',
        'lines_omitted',
    ),
)


@dataclass(frozen=True, slots=True, kw_only=True)
class SubjectLogLine:
    """
    One logged decision or state change.
    """

    wall_ms: int
    process_id: str
    kind: str
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True, kw_only=True)
class SubjectLog:
    """
    The log lines about a subject, ordered by time.

    *damaged_count* is the number of lines, about any subject, that could not
    be decoded.
    """

    subject: str
    lines: tuple[SubjectLogLine, ...]
    damaged_count: int


def collect_subject_log(subject: str, log_lines: Iterable[str]) -> SubjectLog:
    """
    Select the log lines about a subject.

    The result includes state changes between the first and the last of these
    lines that affect every job, or a worker that these lines name.

    Args:
        subject: The id of the subject; the id of a job includes its tasks.
        log_lines: Lines of the logs of all processes; text before the JSON
            document of a line is ignored.
    """
    parsed_lines: list[SubjectLogLine] = []
    undecodable_count = 0
    for log_line in log_lines:
        start = log_line.find('{')
        if start < 0:
            continue
        line = _parse_line(log_line[start:])
        if line is None:
            undecodable_count += 1
        else:
            parsed_lines.append(line)
    parsed_lines.sort(key=lambda line: line.wall_ms)
    return SubjectLog(
        subject=subject,
        lines=tuple(_select_lines(subject, parsed_lines)),
        damaged_count=undecodable_count,
    )


def render_subject_log_text(subject_log: SubjectLog) -> str:
    """
    Render a line of text for each log line, with seconds since the first.
    """
    if not subject_log.lines:
        return f'no log lines about {subject_log.subject}\n'
    first_ms = subject_log.lines[0].wall_ms
    rows = [
        f'{(line.wall_ms - first_ms) / 1000:9.3f}  {line.process_id:<18}'
        f'  {line.kind:<20}  {_format_fields(line)}\n'
        for line in subject_log.lines
    ]
    if subject_log.damaged_count:
        rows.append(
            f'{subject_log.damaged_count} log lines could not be decoded\n'
        )
    return ''.join(rows)


def render_subject_log_json(subject_log: SubjectLog) -> str:
    """
    Render the lines as a JSON document.
    """
    return msgspec.json.encode(subject_log).decode()


def render_subject_log_html(subject_log: SubjectLog) -> str:
    """
    Render the lines as a self-contained HTML page.
    """
    first_ms = subject_log.lines[0].wall_ms if subject_log.lines else 0
    rows = ''.join(_html_row(line, first_ms) for line in subject_log.lines)
    title = html.escape(subject_log.subject)
    return (
        f'<!doctype html><meta charset="utf-8"><title>{title}</title>'
        '<style>body{font-family:sans-serif}td{padding:2px 8px;'
        'vertical-align:top}</style>'
        f'<h1>{title}</h1>'
        f'<p>{subject_log.damaged_count} log lines could not be decoded.'
        f'</p><table>{rows}</table>\n'
    )


def _html_row(line: SubjectLogLine, first_ms: int) -> str:
    cells = (
        f'{(line.wall_ms - first_ms) / 1000:.3f}',
        html.escape(line.process_id),
        html.escape(line.kind),
        html.escape(_format_fields(line)),
    )
    columns = ''.join(f'<td>{cell}</td>' for cell in cells)
    return f'<tr>{columns}</tr>'


def _parse_line(raw: str) -> SubjectLogLine | None:
    try:
        document = msgspec.json.decode(raw)
    except msgspec.DecodeError:
        return None
    if not isinstance(document, dict) or 'message_type' not in document:
        return None
    fields = {
        name: text
        for name, text in document.items()
        if name not in _ENVELOPE_FIELDS and name != 'process_id'
    }
    return SubjectLogLine(
        wall_ms=int(document.get('wall_ms', 0)),
        process_id=str(document.get('process_id', '')),
        kind=str(document['message_type']),
        fields=fields,
    )


def _select_lines(
    subject: str, parsed_lines: list[SubjectLogLine]
) -> Iterable[SubjectLogLine]:
    matching_lines = [
        line for line in parsed_lines if _mentions_subject(line, subject)
    ]
    if not matching_lines:
        return ()
    first_ms = matching_lines[0].wall_ms
    last_ms = matching_lines[-1].wall_ms
    workers = {line.fields.get('worker') for line in matching_lines} - {None}
    matching_line_ids = {id(line) for line in matching_lines}
    return [
        line
        for line in parsed_lines
        if id(line) in matching_line_ids
        or (first_ms <= line.wall_ms <= last_ms and _is_context(line, workers))
    ]


def _mentions_subject(line: SubjectLogLine, subject: str) -> bool:
    task = str(line.fields.get('task', ''))
    return (
        subject in (line.process_id, task)
        or subject in line.fields.values()
        or task.startswith(f'{subject}.')
    )


def _is_context(line: SubjectLogLine, workers: set[Any]) -> bool:
    if line.kind in _GLOBAL_KINDS:
        return True
    return (
        line.kind in _WORKER_CHANGE_KINDS
        and line.fields.get('worker') in workers
    )


def _format_fields(line: SubjectLogLine) -> str:
    return ' '.join(f'{name}={text}' for name, text in line.fields.items())
