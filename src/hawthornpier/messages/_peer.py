"""
Messages between entry processes.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class ClockStamp:
    """
    A timestamp of a hybrid logical clock.

    Timestamps are ordered by *wall_ms*, then *counter*, then *process_id*.
    """

    wall_ms: int
    counter: int
    process_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ShardLoad:
    """
    The load of a shard as measured by its owner.

    *services* names the services that the shard offers; an empty tuple means
    that it is not limited to certain services.
    """

    shard: str
    epoch: int
    free_slot_count: int
    slot_count: int
    queued_request_count: int
    queued_task_count: int
    services: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """
    The state that an entry process sends to its peers periodically.

    *table_age_ms* is the time since the process last confirmed that its copy
    of the table is current, or -1 if it never did.  *is_store_out* reports
    that the process cannot reach the platform's table service.  *loads* covers
    the shards that the process owns.
    """

    process_id: str
    incarnation: str
    address: str
    region: str
    failure_domain: str
    table_version: int
    table_age_ms: int
    is_store_out: bool
    is_leaving: bool
    stamp: ClockStamp
    loads: tuple[ShardLoad, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class HeartbeatReply:
    """
    The reply to a heartbeat, with the state of its receiver.
    """

    heartbeat: Heartbeat


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardedRequest:
    """
    A caller's request that an entry process forwards to a shard's owner.

    *remaining_ms* is the time left until the deadline of the request.  It is a
    duration since the clocks of the two processes may differ.
    """

    request_id: str
    shard: str
    member: str
    service: str
    body: str
    remaining_ms: int
    idempotency_key: str = ''
