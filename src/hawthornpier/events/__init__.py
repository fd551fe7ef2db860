"""
The time line: stamped events, their storage, merging and rendering.
"""

from hawthornpier.events._clock import DEFAULT_MAX_AHEAD_MS, HybridClock
from hawthornpier.events._decisions import DecisionLog, LineWriter
from hawthornpier.events._filter import EventFilter
from hawthornpier.events._picture import render_html
from hawthornpier.events._recorder import (
    DEFAULT_RING_EVENT_COUNT,
    EventRecorder,
)
from hawthornpier.events._story import (
    Story,
    StoryLine,
    render_story_html,
    render_story_json,
    render_story_text,
    tell_story,
)
from hawthornpier.events._timeline import (
    EventsDecodeError,
    decode_events,
    encode_events,
    merge_timelines,
    render_text,
)

__all__ = [
    'DEFAULT_MAX_AHEAD_MS',
    'DEFAULT_RING_EVENT_COUNT',
    'DecisionLog',
    'EventFilter',
    'EventRecorder',
    'EventsDecodeError',
    'HybridClock',
    'LineWriter',
    'Story',
    'StoryLine',
    'decode_events',
    'encode_events',
    'merge_timelines',
    'render_html',
    'render_story_html',
    'render_story_json',
    'render_story_text',
    'render_text',
    'tell_story',
]
