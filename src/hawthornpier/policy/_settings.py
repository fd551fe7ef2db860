"""
The choice made for each mechanism of the scheduler.
"""

import enum
from dataclasses import dataclass


class Placement(enum.StrEnum):
    """
    How a worker is chosen for a task or request.
    """

    SAMPLED = 'sampled'
    FIRST_FIT = 'first_fit'
    ROUND_ROBIN = 'round_robin'


class QueueOrder(enum.StrEnum):
    """
    In which order the queued tasks of a workload start.
    """

    ATTAINED_SERVICE = 'attained_service'
    FIFO = 'fifo'


class SizeEstimate(enum.StrEnum):
    """
    Where the expected run time of a task comes from.
    """

    LEARNED = 'learned'
    DECLARED_SIZES = 'declared_sizes'


class Interference(enum.StrEnum):
    """
    Whether placement accounts for interference between workloads.
    """

    LEARNED = 'learned'
    NO_INTERFERENCE = 'no_interference'


class Shedding(enum.StrEnum):
    """
    When a request is refused instead of queued.
    """

    DEADLINE = 'deadline'
    NO_SHEDDING = 'no_shedding'


class Headroom(enum.StrEnum):
    """
    Whether slots are kept free for services.
    """

    PREDICTIVE = 'predictive'
    NONE = 'none'


class Mitigation(enum.StrEnum):
    """
    What is done to batch tasks that slow a service down.

    `EVICT_ONLY` is the ladder without its first step.
    """

    LADDER = 'ladder'
    EVICT_ONLY = 'evict_only'
    NONE = 'none'


class Health(enum.StrEnum):
    """
    Whether workers that fail everything are taken out of use.
    """

    QUARANTINE = 'quarantine'
    NONE = 'none'


@dataclass(frozen=True, slots=True, kw_only=True)
class PolicySettings:
    """
    One choice for each mechanism; the last value of each is its baseline.
    """

    placement: Placement = Placement.SAMPLED
    queue_order: QueueOrder = QueueOrder.ATTAINED_SERVICE
    size_estimate: SizeEstimate = SizeEstimate.LEARNED
    interference: Interference = Interference.LEARNED
    shedding: Shedding = Shedding.DEADLINE
    headroom: Headroom = Headroom.PREDICTIVE
    mitigation: Mitigation = Mitigation.LADDER
    health: Health = Health.QUARANTINE
