"""
Timelines of timestamped events, and structured logs of decisions.
"""

from hawthornpier.events._clock import DEFAULT_MAX_AHEAD_MS, HybridClock
from hawthornpier.events._decisions import DecisionLog, LineWriter
from hawthornpier.events._filter import EventFilter
from hawthornpier.events._recorder import (
    DEFAULT_RING_EVENT_COUNT,
    EventRecorder,
)
from hawthornpier.events._subject_log import (
    SubjectLog,
    SubjectLogLine,
    collect_subject_log,
    render_subject_log_html,
    render_subject_log_json,
    render_subject_log_text,
)
from hawthornpier.events._timeline import (
    EventsDecodeError,
    decode_events,
    encode_events,
    merge_timelines,
    render_text,
)
from hawthornpier.events._timeline_html import render_html

__all__ = [
    'DEFAULT_MAX_AHEAD_MS',
    'DEFAULT_RING_EVENT_COUNT',
    'DecisionLog',
    'EventFilter',
    'EventRecorder',
    'EventsDecodeError',
    'HybridClock',
    'LineWriter',
    'SubjectLog',
    'SubjectLogLine',
    'collect_subject_log',
    'decode_events',
    'encode_events',
    'merge_timelines',
    'render_html',
    'render_subject_log_html',
    'render_subject_log_json',
    'render_subject_log_text',
    'render_text',
]
