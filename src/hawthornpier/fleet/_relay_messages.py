"""
Messages between the owner of a shard and a relay.

A relay is another entry process that holds the connections to some of the
workers and sends them the owner's requests.  Both sides send batches over one
connection, so that the cost of a message is shared by many requests.
"""

import msgspec

from hawthornpier.fleet._ports import (
    OrderReply,
    Renewal,
    StartOrder,
    WorkerListing,
)


class StopOrder(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag='stop'
):
    """
    A request to stop one run.
    """

    task_key: str
    attempt: int
    fencing_token: int


class SpeedOrder(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag='speed'
):
    """
    A request to throttle one run to a percentage of its full speed.
    """

    task_key: str
    attempt: int
    percent: int
    fencing_token: int


Request = Renewal | StartOrder | StopOrder | SpeedOrder


class Contact(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    One incarnation of a worker, and the number that calls refer to it by.
    """

    number: int
    worker_id: str
    service: str
    address: str
    incarnation_ms: int


class Call(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    A request to the worker that *contact* refers to.
    """

    number: int
    contact: int
    request: Request


class CallBatch(msgspec.Struct, frozen=True, kw_only=True):
    """
    Requests from the owner to a relay.

    *sent_ms* is when the owner made the first of the calls, on its monotonic
    clock.  *contacts* introduces the workers that were not named on this
    connection before; *ended* lists the contacts that are not used any more.
    """

    sent_ms: float
    calls: tuple[Call, ...] = ()
    contacts: tuple[Contact, ...] = ()
    ended: tuple[int, ...] = ()


class Failure(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag='failure'
):
    """
    A request got no reply; *is_sent* tells whether it may have arrived.

    *has_disconnected* tells whether the worker's host ended or refused the
    connection.
    """

    is_sent: bool
    why: str
    has_disconnected: bool = False


class Answer(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    The result of the call with the same number.

    *worker_ms* is how long the relay waited for the worker.
    """

    number: int
    result: WorkerListing | OrderReply | Failure
    worker_ms: int = 0


class AnswerBatch(msgspec.Struct, frozen=True, kw_only=True):
    """
    Results from a relay; a batch without results shows that it is alive.
    """

    answers: tuple[Answer, ...] = ()
    is_leaving: bool = False
