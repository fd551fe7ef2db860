"""
The bounded buffer of a process's own events.
"""

import collections

import eliot

from hawthornpier.events._clock import HybridClock
from hawthornpier.events._filter import EventFilter
from hawthornpier.messages import Event, EventKind

# An event takes under 1 KB of memory, so the ring stays below 4 MB of the
# 64 MB that a process may use.
DEFAULT_RING_EVENT_COUNT = 4096


# Events of single requests are counted by metrics; a log line for each would
# cost more than serving it.
_UNLOGGED_KINDS = frozenset(
    (
        EventKind.REQUEST_RECEIVED,
        EventKind.REQUEST_SENT,
        EventKind.REQUEST_SHED,
        EventKind.REQUEST_ENDED,
        EventKind.INTENT_RECORDED,
        EventKind.INTENT_RESOLVED,
    )
)


class EventRecorder:
    """
    Implements the `EventSink` port: a ring of events, and log lines.

    Args:
        hybrid_clock: stamps the events.
        max_event_count: the size of the ring; the oldest event gives way.
    """

    def __init__(
        self,
        hybrid_clock: HybridClock,
        *,
        max_event_count: int = DEFAULT_RING_EVENT_COUNT,
    ) -> None:
        self._hybrid_clock = hybrid_clock
        self._ring: collections.deque[Event] = collections.deque(
            maxlen=max_event_count,
        )
        self._recorded_count = 0

    @property
    def dropped_count(self) -> int:
        """
        How many events gave way to newer ones.
        """
        return self._recorded_count - len(self._ring)

    def record(
        self,
        kind: EventKind,
        *,
        shard: str = '',
        worker_id: str = '',
        task_id: str = '',
        request_id: str = '',
        member: str = '',
        detail: str = '',
    ) -> None:
        """
        Record one event, stamped with the process's hybrid logical clock.
        """
        event = Event(
            stamp=self._hybrid_clock.tick(),
            kind=kind,
            shard=shard,
            worker_id=worker_id,
            task_id=task_id,
            request_id=request_id,
            member=member,
            detail=detail,
        )
        self._ring.append(event)
        self._recorded_count += 1
        if kind not in _UNLOGGED_KINDS:
            _log(event)

    def events(self, event_filter: EventFilter | None = None) -> list[Event]:
        """
        Return the kept events that match, oldest first.
        """
        return (event_filter or EventFilter()).select(self._ring)


def _log(event: Event) -> None:
    subjects = {
        'shard': event.shard,
        'worker_id': event.worker_id,
        'task_id': event.task_id,
        'request_id': event.request_id,
        'member': event.member,
        'detail': event.detail,
    }
    eliot.log_message(
        message_type=f'hawthornpier:{event.kind}',
        process_id=event.stamp.process_id,
        wall_ms=event.stamp.wall_ms,
        counter=event.stamp.counter,
        **{name: text for name, text in subjects.items() if text},
    )
