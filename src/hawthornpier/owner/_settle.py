"""
Finds out what became of a request whose reply was lost.
"""

import enum
from dataclasses import dataclass

from hawthornpier.messages import EndpointReply, EndpointStatus
from hawthornpier.owner._link import LinkState, WorkerLink
from hawthornpier.owner._timing import OwnerTiming
from hawthornpier.ports import Clock, WorkerError

_NOT_RUN = frozenset(
    (
        EndpointStatus.NEVER_SEEN,
        EndpointStatus.REFUSED_CAPACITY,
        EndpointStatus.REFUSED_EPOCH,
        EndpointStatus.LEAVING,
    )
)


def did_not_run(status: EndpointStatus) -> bool:
    """
    Tell whether the worker states that the request did not run.
    """
    return status in _NOT_RUN


@dataclass(frozen=True, slots=True, kw_only=True)
class SentRequest:
    """
    A request as it was sent to a worker.

    *epoch* and *incarnation* are those of the link at that time.
    """

    request_id: str
    epoch: int
    incarnation: str
    sent_ms: int


async def settle(
    link: WorkerLink,
    sent: SentRequest,
    *,
    clock: Clock,
    timing: OwnerTiming,
) -> EndpointReply | None:
    """
    Ask the worker until it knows the end of the request.

    "Never seen" counts only once the worker has confirmed a later epoch than
    the request carries, since it could still arrive otherwise, and once a
    message can no longer be on its way, for workers without guards.  It never
    counts from another incarnation of the worker, which has forgotten what
    ran before its restart.

    Returns:
        The reply, whose status is not `RUNNING`, or None if the worker was
        lost or has forgotten the request.
    """
    while link.state is not LinkState.LOST:
        asked_epoch = link.confirmed_epoch
        reply = await _ask(link, sent.request_id)
        verdict = _judge(reply, sent, asked_epoch)
        age_ms = clock.monotonic_ms() - sent.sent_ms
        if verdict is _Verdict.NOT_RUN and age_ms <= timing.delivery_delay_ms:
            verdict = _Verdict.OPEN
        if verdict in _FINAL:
            return None if verdict is _Verdict.FORGOTTEN else reply
        if verdict is _Verdict.UNFENCED:
            link.refence()
        await clock.sleep_ms(timing.settle_interval_ms)
    return None


class _Verdict(enum.Enum):
    """
    What a worker's statement about a request is worth.
    """

    OPEN = enum.auto()
    RAN = enum.auto()
    NOT_RUN = enum.auto()
    UNFENCED = enum.auto()
    FORGOTTEN = enum.auto()


_FINAL = frozenset((_Verdict.RAN, _Verdict.NOT_RUN, _Verdict.FORGOTTEN))


def _judge(
    reply: EndpointReply | None,
    sent: SentRequest,
    asked_epoch: int,
) -> _Verdict:
    if reply is None or reply.status is EndpointStatus.RUNNING:
        return _Verdict.OPEN
    if not did_not_run(reply.status):
        return _Verdict.RAN
    if reply.incarnation != sent.incarnation:
        return _Verdict.FORGOTTEN
    if asked_epoch <= sent.epoch:
        return _Verdict.UNFENCED
    return _Verdict.NOT_RUN


async def _ask(link: WorkerLink, request_id: str) -> EndpointReply | None:
    try:
        return await link.get_request_status(request_id)
    except WorkerError:
        return None
