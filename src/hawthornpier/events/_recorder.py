"""
The recorder of a process's own events.
"""

import collections

import eliot

from hawthornpier.events._clock import HybridClock
from hawthornpier.events._filter import EventFilter
from hawthornpier.messages import Event, EventKind

# An event takes less than 1 KB, so the ring buffer takes less than 4 MB of the
# 64 MB that a process may use.
DEFAULT_RING_EVENT_COUNT = 4096


# Events of single requests are not logged: a log line for each would cost more
# than serving the request.  Metrics count requests instead.
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
    An `EventSink` that keeps events in a ring buffer and logs them.

    Args:
        hybrid_clock: The source of the timestamps.
        max_event_count: The size of the ring buffer; a new event replaces the
            oldest one if the buffer is full.
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
        The number of events that newer ones replaced in the ring buffer.
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
        Record an event with a timestamp of the hybrid logical clock.

        The ids name the objects that the event concerns.
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
        Return the matching events in the ring buffer, oldest first.
        """
        return (event_filter or EventFilter()).select(self._ring)


def _log(event: Event) -> None:
    fields = {
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
        **{name: text for name, text in fields.items() if text},
    )
