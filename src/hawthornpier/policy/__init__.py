"""
Scheduling policy of one shard, without I/O.
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
from hawthornpier.policy._retry_budget import FailureClass, RetryBudget
from hawthornpier.policy._routing import (
    RoutingSettings,
    ShardRouter,
    ShardSite,
)
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
    'FailureClass',
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
    'RetryBudget',
    'RoutingSettings',
    'Scheduler',
    'SchedulingPolicy',
    'ShardRouter',
    'ShardSite',
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
