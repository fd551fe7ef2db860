"""
Selection of events from a time line.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from hawthornpier.messages import Event, EventKind


@dataclass(frozen=True, slots=True, kw_only=True)
class EventFilter:
    """
    Conditions that all have to hold; an empty one always holds.
    """

    kinds: frozenset[EventKind] = frozenset()
    shard: str = ''
    worker_id: str = ''
    task_id: str = ''
    request_id: str = ''
    member: str = ''

    def matches(self, event: Event) -> bool:
        """
        Tell whether *event* fulfils every condition.
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
        return all(not wanted or wanted == found for wanted, found in pairs)

    def select(self, events: Iterable[Event]) -> list[Event]:
        """
        Return the matching events in their order.
        """
        return [event for event in events if self.matches(event)]
