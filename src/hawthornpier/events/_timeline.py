"""
Merging, encoding and text rendering of timelines.
"""

import datetime
from collections.abc import Iterable, Sequence

import msgspec

from hawthornpier.decoding import decode_json
from hawthornpier.errors import HawthornpierError
from hawthornpier.messages import ClockStamp, Event

_ID_FIELDS = ('shard', 'worker_id', 'task_id', 'request_id', 'member')


class EventsDecodeError(HawthornpierError):
    """
    Encoded events could not be decoded.
    """


def stamp_key(stamp: ClockStamp) -> tuple[int, int, str]:
    """
    Return the sort key of a timestamp.
    """
    return (stamp.wall_ms, stamp.counter, stamp.process_id)


def merge_timelines(timelines: Iterable[Iterable[Event]]) -> list[Event]:
    """
    Merge the events of several processes into a list ordered by timestamp.

    Timestamps are unique, so an event in several timelines is kept only once.
    """
    by_stamp = {
        stamp_key(event.stamp): event
        for timeline in timelines
        for event in timeline
    }
    return [by_stamp[key] for key in sorted(by_stamp)]


def encode_events(events: Sequence[Event]) -> bytes:
    """
    Encode events as a JSON list.
    """
    return msgspec.json.encode(events)


def decode_events(encoded: bytes) -> list[Event]:
    """
    Decode a JSON list of events.

    Raises:
        EventsDecodeError: The bytes are not a JSON list of events.
    """
    return decode_json(
        encoded,
        list[Event],
        EventsDecodeError,
        subject='list of events',
    )


def format_event_ids(event: Event) -> str:
    """
    Return the non-empty ids in an event as ``name=id`` pairs.
    """
    pairs = ((name, getattr(event, name)) for name in _ID_FIELDS)
    return ' '.join(f'{name}={text}' for name, text in pairs if text)


def render_text(events: Iterable[Event]) -> str:
    """
    Render one line for each event: time, process, kind, ids and detail.
    """
    return ''.join(f'{_render_line(event)}\n' for event in events)


def _render_line(event: Event) -> str:
    stamp = event.stamp
    when = datetime.datetime.fromtimestamp(stamp.wall_ms / 1000, datetime.UTC)
    fields = (
        f'{when:%Y-%m-%dT%H:%M:%S}.{stamp.wall_ms % 1000:03d}Z',
        f'+{stamp.counter}',
        stamp.process_id,
        event.kind,
        format_event_ids(event),
        event.detail,
    )
    # Members choose some of the text; its control characters could otherwise
    # forge lines.
    line = ' '.join(field for field in fields if field)
    return ''.join(char if char.isprintable() else '?' for char in line)
