"""
Settings that select a variant of each scheduling mechanism.
"""

import enum
from dataclasses import dataclass


class Placement(enum.StrEnum):
    """
    How a worker is selected for a task or request.

    `SAMPLED` compares the cost of a few suitable workers; the others use the
    first suitable worker of a fixed or rotating order.
    """

    SAMPLED = 'sampled'
    FIRST_FIT = 'first_fit'
    ROUND_ROBIN = 'round_robin'


class QueueOrder(enum.StrEnum):
    """
    In which order the queued tasks of a workload are started.
    """

    ATTAINED_SERVICE = 'attained_service'
    FIFO = 'fifo'


class SizeEstimate(enum.StrEnum):
    """
    How the expected run time of a task is determined.
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
    Whether requests that would miss their deadline are shed.
    """

    DEADLINE = 'deadline'
    NO_SHEDDING = 'no_shedding'


class Headroom(enum.StrEnum):
    """
    Whether slots are reserved for the forecast demand of services.
    """

    PREDICTIVE = 'predictive'
    NONE = 'none'


class Mitigation(enum.StrEnum):
    """
    What is done to batch tasks that slow a service down.

    `LADDER` throttles a task first and evicts it only if that is not enough;
    `EVICT_ONLY` omits the throttling.
    """

    LADDER = 'ladder'
    EVICT_ONLY = 'evict_only'
    NONE = 'none'


class Health(enum.StrEnum):
    """
    Whether failing workers are quarantined and faulty jobs rejected.
    """

    QUARANTINE = 'quarantine'
    NONE = 'none'


@dataclass(frozen=True, slots=True, kw_only=True)
class PolicySettings:
    """
    The variant of each scheduling mechanism.

    The last value of each enum is the baseline that benchmarks compare with.
    """

    placement: Placement = Placement.SAMPLED
    queue_order: QueueOrder = QueueOrder.ATTAINED_SERVICE
    size_estimate: SizeEstimate = SizeEstimate.LEARNED
    interference: Interference = Interference.LEARNED
    shedding: Shedding = Shedding.DEADLINE
    headroom: Headroom = Headroom.PREDICTIVE
    mitigation: Mitigation = Mitigation.LADDER
    health: Health = Health.QUARANTINE
