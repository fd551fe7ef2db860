"""
Merging, encoding and text rendering of time lines.
"""

import datetime
from collections.abc import Iterable, Sequence

import msgspec

from hawthornpier.errors import HawthornpierError
from hawthornpier.messages import ClockStamp, Event

_SUBJECTS = ('shard', 'worker_id', 'task_id', 'request_id', 'member')


class EventsDecodeError(HawthornpierError):
    """
    The bytes are not a JSON list of events.
    """


def stamp_key(stamp: ClockStamp) -> tuple[int, int, str]:
    """
    Return the key by which stamps are ordered.
    """
    return (stamp.wall_ms, stamp.counter, stamp.process_id)


def merge_timelines(timelines: Iterable[Iterable[Event]]) -> list[Event]:
    """
    Merge the events of several processes into one list ordered by stamp.

    A stamp is unique, so an event that appears in several lists is kept once.
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
    Decode a JSON list of events; raises `EventsDecodeError`.
    """
    try:
        return msgspec.json.decode(encoded, type=list[Event])
    except msgspec.MsgspecError as error:
        raise EventsDecodeError(f'not a list of events: {error}') from error


def describe_subjects(event: Event) -> str:
    """
    Return the named subjects of an event as ``name=text`` pairs.
    """
    pairs = ((name, getattr(event, name)) for name in _SUBJECTS)
    return ' '.join(f'{name}={text}' for name, text in pairs if text)


def render_text(events: Iterable[Event]) -> str:
    """
    Render one line for each event: time, process, kind, subjects, detail.
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
        describe_subjects(event),
        event.detail,
    )
    # Members supply details, so control characters could forge lines.
    line = ' '.join(word for word in fields if word)
    return ''.join(char if char.isprintable() else '?' for char in line)
