"""
The story of one request, job, task or worker, from the logs of all processes.
"""

import html
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

# Fields that only identify the line itself.
_OWN_FIELDS = frozenset(
    ('timestamp', 'task_uuid', 'task_level', 'message_type', 'wall_ms'),
)
# Changes of a worker that explain what became of its runs.
_WORKER_KINDS = frozenset(
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
# Changes that concern every job.
_COMMON_KINDS = frozenset(
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
class StoryLine:
    """
    One decision or change of state.
    """

    wall_ms: int
    process_id: str
    kind: str
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True, kw_only=True)
class Story:
    """
    The lines about a subject in order, and how many could not be read.
    """

    subject: str
    lines: tuple[StoryLine, ...]
    damaged_count: int


def tell_story(subject: str, text: Iterable[str]) -> Story:
    """
    Select the lines about a job, task, worker, queue or process.

    Args:
        subject: The id; that of a job includes its tasks and what happened
            meanwhile to the workers that ran them and to the owner.
        text: Lines of the logs of all processes, with or without a prefix.
    """
    known: list[StoryLine] = []
    damaged = 0
    for raw in text:
        start = raw.find('{')
        if start < 0:
            continue
        line = _parse(raw[start:])
        if line is None:
            damaged += 1
        else:
            known.append(line)
    known.sort(key=lambda line: line.wall_ms)
    return Story(
        subject=subject,
        lines=tuple(_select(subject, known)),
        damaged_count=damaged,
    )


def render_story_text(story: Story) -> str:
    """
    Return a line for each change, with the time since the first one.
    """
    if not story.lines:
        return f'nothing is logged about {story.subject}\n'
    first_ms = story.lines[0].wall_ms
    rows = [
        f'{(line.wall_ms - first_ms) / 1000:9.3f}  {line.process_id:<18}'
        f'  {line.kind:<20}  {_fields_text(line)}\n'
        for line in story.lines
    ]
    if story.damaged_count:
        rows.append(f'{story.damaged_count} lines could not be read\n')
    return ''.join(rows)


def render_story_json(story: Story) -> str:
    """
    Return the story as a document.
    """
    return msgspec.json.encode(story).decode()


def render_story_html(story: Story) -> str:
    """
    Return one self-contained page.
    """
    first_ms = story.lines[0].wall_ms if story.lines else 0
    rows = ''.join(_html_row(line, first_ms) for line in story.lines)
    title = html.escape(story.subject)
    return (
        f'<!doctype html><meta charset="utf-8"><title>{title}</title>'
        '<style>body{font-family:sans-serif}td{padding:2px 8px;'
        'vertical-align:top}</style>'
        f'<h1>{title}</h1><p>{story.damaged_count} lines could not be read.'
        f'</p><table>{rows}</table>\n'
    )


def _html_row(line: StoryLine, first_ms: int) -> str:
    cells = (
        f'{(line.wall_ms - first_ms) / 1000:.3f}',
        html.escape(line.process_id),
        html.escape(line.kind),
        html.escape(_fields_text(line)),
    )
    columns = ''.join(f'<td>{cell}</td>' for cell in cells)
    return f'<tr>{columns}</tr>'


def _parse(raw: str) -> StoryLine | None:
    try:
        document = msgspec.json.decode(raw)
    except msgspec.DecodeError:
        return None
    if not isinstance(document, dict) or 'message_type' not in document:
        return None
    fields = {
        name: text
        for name, text in document.items()
        if name not in _OWN_FIELDS and name != 'process_id'
    }
    return StoryLine(
        wall_ms=int(document.get('wall_ms', 0)),
        process_id=str(document.get('process_id', '')),
        kind=str(document['message_type']),
        fields=fields,
    )


def _select(subject: str, known: list[StoryLine]) -> Iterable[StoryLine]:
    direct = [line for line in known if _concerns(line, subject)]
    if not direct:
        return ()
    first_ms = direct[0].wall_ms
    last_ms = direct[-1].wall_ms
    workers = {line.fields.get('worker') for line in direct} - {None}
    chosen = {id(line) for line in direct}
    return [
        line
        for line in known
        if id(line) in chosen
        or (first_ms <= line.wall_ms <= last_ms and _explains(line, workers))
    ]


def _concerns(line: StoryLine, subject: str) -> bool:
    task = str(line.fields.get('task', ''))
    return (
        subject in (line.process_id, task)
        or subject in line.fields.values()
        or task.startswith(f'{subject}.')
    )


def _explains(line: StoryLine, workers: set[Any]) -> bool:
    if line.kind in _COMMON_KINDS:
        return True
    return line.kind in _WORKER_KINDS and line.fields.get('worker') in workers


def _fields_text(line: StoryLine) -> str:
    return ' '.join(f'{name}={text}' for name, text in line.fields.items())
