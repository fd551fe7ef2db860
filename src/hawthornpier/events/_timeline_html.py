"""
Rendering of a timeline as an HTML page with one lane per process.
"""

import html
from collections.abc import Iterable, Sequence

from hawthornpier.events._timeline import (
    format_event_ids,
    merge_timelines,
    render_text,
)
from hawthornpier.messages import Event

_WIDTH = 1200
_LANE_HEIGHT = 44
_LABEL_WIDTH = 170
_MARGIN = 24

# Colours by prefix of the event kind, so that new kinds have a colour too.
_COLOURS = (
    ('process_', '#444444'),
    ('peer_', '#8c6bb1'),
    ('lease_', '#c51b7d'),
    ('shard_', '#d95f0e'),
    ('store_', '#b30000'),
    ('table_', '#1b7837'),
    ('worker_', '#08519c'),
    ('job_', '#5aae61'),
    ('task_', '#2b8cbe'),
    ('request_', '#969696'),
    ('intent_', '#e7298a'),
)
_DEFAULT_COLOUR = '#000000'

# Forbids scripts and external resources, so that a bug in the escaping of text
# cannot cause the execution of a script.
_CONTENT_SECURITY_POLICY = "default-src 'none'; style-src 'unsafe-inline'"

_PAGE = """<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta http-equiv="Content-Security-Policy" content="{policy}">
<title>{title}</title>
<style>
body {{ font: 13px sans-serif; margin: 1em; }}
pre {{ font: 12px monospace; }}
text {{ font: 12px sans-serif; }}
</style>
</head>
<body>
<h1>{title}</h1>
<p>{summary}</p>
<svg width="{width}" height="{height}" role="img">
{lanes}
{marks}
</svg>
<pre>{lines}</pre>
</body>
</html>
"""


def render_html(
    events: Iterable[Event],
    *,
    title: str = 'Timeline',
) -> str:
    """
    Render events as a page without scripts or external resources.

    Each process has a lane.  Each event is a mark with a tooltip that shows
    its details.  The text of the timeline follows the diagram.
    """
    merged = merge_timelines([events])
    processes = sorted({event.stamp.process_id for event in merged})
    return _PAGE.format(
        policy=html.escape(_CONTENT_SECURITY_POLICY),
        title=html.escape(title),
        summary=html.escape(_summary(merged, processes)),
        width=_WIDTH,
        height=_LANE_HEIGHT * len(processes) + _MARGIN,
        lanes='\n'.join(
            _lane(index, process_id)
            for index, process_id in enumerate(processes)
        ),
        marks='\n'.join(_marks(merged, processes)),
        lines=html.escape(render_text(merged)),
    )


def _summary(events: Sequence[Event], processes: Sequence[str]) -> str:
    if not events:
        return 'no events'
    span_ms = events[-1].stamp.wall_ms - events[0].stamp.wall_ms
    return (
        f'{len(events)} events from {len(processes)} processes'
        f' within {span_ms} ms'
    )


def _lane_y(index: int) -> int:
    return _LANE_HEIGHT * index + _MARGIN


def _lane(index: int, process_id: str) -> str:
    lane_y = _lane_y(index)
    return (
        f'<line x1="{_LABEL_WIDTH}" y1="{lane_y}" x2="{_WIDTH}"'
        f' y2="{lane_y}" stroke="#cccccc"/>'
        f'<text x="0" y="{lane_y}">{html.escape(process_id)}</text>'
    )


def _marks(events: Sequence[Event], processes: Sequence[str]) -> list[str]:
    if not events:
        return []
    first_ms = events[0].stamp.wall_ms
    span_ms = max(1, events[-1].stamp.wall_ms - first_ms)
    scale = (_WIDTH - _LABEL_WIDTH - _MARGIN) / span_ms
    lane_indexes = {name: index for index, name in enumerate(processes)}
    return [
        _mark(
            event,
            _LABEL_WIDTH + (event.stamp.wall_ms - first_ms) * scale,
            _lane_y(lane_indexes[event.stamp.process_id]),
        )
        for event in events
    ]


def _mark(event: Event, mark_x: float, mark_y: int) -> str:
    tooltip = f'{event.kind} {format_event_ids(event)} {event.detail}'
    return (
        f'<circle cx="{mark_x:.1f}" cy="{mark_y}" r="4"'
        f' fill="{_colour(event)}">'
        f'<title>{html.escape(tooltip)}</title></circle>'
    )


def _colour(event: Event) -> str:
    return next(
        (
            colour
            for prefix, colour in _COLOURS
            if event.kind.startswith(prefix)
        ),
        _DEFAULT_COLOUR,
    )
