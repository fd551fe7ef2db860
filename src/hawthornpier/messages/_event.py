"""
The events that processes record on their timelines.
"""

import enum
from dataclasses import dataclass

from hawthornpier.messages._peer import ClockStamp


class EventKind(enum.StrEnum):
    """
    The kinds of state changes on the timeline.
    """

    PROCESS_STARTED = 'process_started'
    PROCESS_STOPPING = 'process_stopping'
    PART_FAILED = 'part_failed'
    PEER_JOINED = 'peer_joined'
    PEER_SUSPECTED = 'peer_suspected'
    LEASE_GAINED = 'lease_gained'
    LEASE_LOST = 'lease_lost'
    SHARD_GAINED = 'shard_gained'
    SHARD_LOST = 'shard_lost'
    SHARD_RECOVERED = 'shard_recovered'
    ROW_UNREADABLE = 'row_unreadable'
    STORE_OUT = 'store_out'
    STORE_BACK = 'store_back'
    TABLE_VERSION = 'table_version'
    TABLE_UNCONFIRMED = 'table_unconfirmed'
    WORKER_JOINED = 'worker_joined'
    WORKER_LEAVING = 'worker_leaving'
    WORKER_LOST = 'worker_lost'
    WORKER_QUARANTINED = 'worker_quarantined'
    JOB_ACCEPTED = 'job_accepted'
    JOB_CANCELLED = 'job_cancelled'
    TASK_STARTED = 'task_started'
    TASK_ADOPTED = 'task_adopted'
    TASK_THROTTLED = 'task_throttled'
    TASK_EVICTED = 'task_evicted'
    TASK_ENDED = 'task_ended'
    REQUEST_RECEIVED = 'request_received'
    REQUEST_SENT = 'request_sent'
    REQUEST_SHED = 'request_shed'
    REQUEST_ENDED = 'request_ended'
    INTENT_RECORDED = 'intent_recorded'
    INTENT_RESOLVED = 'intent_resolved'


@dataclass(frozen=True, slots=True, kw_only=True)
class Event:
    """
    One state change in one process.

    The ids name the objects that the event concerns; those that do not apply
    are empty.
    """

    stamp: ClockStamp
    kind: EventKind
    shard: str = ''
    worker_id: str = ''
    task_id: str = ''
    request_id: str = ''
    member: str = ''
    detail: str = ''
