"""
Scheduling decisions for one shard, without I/O.
"""

from hawthornpier.policy._decisions import (
    Decision,
    EvictTask,
    PlaceRequest,
    PlaceTask,
    RejectTask,
    RequestDemand,
    RequestResult,
    ShedReason,
    ShedRequest,
    TaskDemand,
    ThrottleTask,
    WorkerInfo,
    WorkloadLimits,
)
from hawthornpier.policy._errors import (
    DuplicateChargeError,
    InvalidDemandError,
    OvercommitError,
    PolicyError,
    UnknownWorkerError,
)
from hawthornpier.policy._interface import SchedulingPolicy
from hawthornpier.policy._scheduler import Scheduler
from hawthornpier.policy._settings import (
    Headroom,
    Health,
    Interference,
    Mitigation,
    Placement,
    PolicySettings,
    QueueOrder,
    Shedding,
    SizeEstimate,
)

__all__ = [
    'Decision',
    'DuplicateChargeError',
    'EvictTask',
    'Headroom',
    'Health',
    'Interference',
    'InvalidDemandError',
    'Mitigation',
    'OvercommitError',
    'PlaceRequest',
    'PlaceTask',
    'Placement',
    'PolicyError',
    'PolicySettings',
    'QueueOrder',
    'RejectTask',
    'RequestDemand',
    'RequestResult',
    'Scheduler',
    'SchedulingPolicy',
    'ShedReason',
    'ShedRequest',
    'Shedding',
    'SizeEstimate',
    'TaskDemand',
    'ThrottleTask',
    'UnknownWorkerError',
    'WorkerInfo',
    'WorkloadLimits',
]
