"""
Messages between entry processes.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class ClockStamp:
    """
    A hybrid logical clock reading, ordered by its fields in turn.
    """

    wall_ms: int
    counter: int
    process_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ShardLoad:
    """
    How loaded a shard is, as its owner sees it.
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
    The periodic message of one entry process to another.
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
    The receiver's own state, in the same form.
    """

    heartbeat: Heartbeat


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardedRequest:
    """
    A caller's request, forwarded by the entry process to a shard's owner.
    """

    request_id: str
    shard: str
    member: str
    service: str
    body: str
    remaining_ms: int
    idempotency_key: str = ''
