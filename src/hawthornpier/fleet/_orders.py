"""
Orders that the owner of a shard queues for a worker.
"""

import enum
from dataclasses import dataclass

from hawthornpier.steps import Run


class OrderKind(enum.StrEnum):
    """
    The kinds of orders that the owner sends to a worker.
    """

    START = 'start'
    STOP = 'stop'
    THROTTLE = 'pace'


@dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """
    An order that is queued for a worker.

    The owner may order a stop for a run that it has no record of; *run* is
    then None.  *percent* is the speed to which a run is throttled.
    """

    kind: OrderKind
    task_key: str
    attempt: int
    run: Run | None = None
    percent: int = 100
