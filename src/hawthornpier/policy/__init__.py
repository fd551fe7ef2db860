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
from hawthornpier.policy._interface import SchedulingPolicy

__all__ = [
    'Decision',
    'EvictTask',
    'PlaceRequest',
    'PlaceTask',
    'RejectTask',
    'RequestDemand',
    'RequestResult',
    'SchedulingPolicy',
    'ShedReason',
    'ShedRequest',
    'TaskDemand',
    'ThrottleTask',
    'WorkerInfo',
    'WorkloadLimits',
]
