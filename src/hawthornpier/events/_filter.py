"""
Filters for the events of a timeline.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from hawthornpier.messages import Event, EventKind


@dataclass(frozen=True, slots=True, kw_only=True)
class EventFilter:
    """
    Conditions that an event has to meet; an empty one matches every event.
    """

    kinds: frozenset[EventKind] = frozenset()
    shard: str = ''
    worker_id: str = ''
    task_id: str = ''
    request_id: str = ''
    member: str = ''

    def matches(self, event: Event) -> bool:
        """
        Return whether *event* meets every condition.
        """
        if self.kinds and event.kind not in self.kinds:
            return False
        pairs = (
            (self.shard, event.shard),
            (self.worker_id, event.worker_id),
            (self.task_id, event.task_id),
            (self.request_id, event.request_id),
            (self.member, event.member),
        )
        return all(
            not expected or expected == found for expected, found in pairs
        )

    def select(self, events: Iterable[Event]) -> list[Event]:
        """
        Return the matching events in their original order.
        """
        return [event for event in events if self.matches(event)]
