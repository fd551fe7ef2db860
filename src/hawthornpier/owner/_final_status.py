"""
Polling of a worker for the final status of a request.
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
    Return whether *status* says that the worker did not run the request.
    """
    return status in _NOT_RUN


@dataclass(frozen=True, slots=True, kw_only=True)
class SentRequest:
    """
    A request that was sent to a worker.

    *epoch* and *incarnation* are those of the link when it was sent.
    """

    request_id: str
    epoch: int
    incarnation: str
    sent_ms: int


async def poll_final_status(
    link: WorkerLink,
    sent: SentRequest,
    *,
    clock: Clock,
    timing: OwnerTiming,
) -> EndpointReply | None:
    """
    Poll the worker until it reports the final status of the request.

    A reply that the request did not run, such as `NEVER_SEEN`, is final only
    if the request cannot arrive later.  Two conditions ensure that: the worker
    has confirmed a higher epoch than the request carries, and the maximum
    message delay has passed since the request was sent, which covers workers
    that do not check epochs.  Such a reply from another incarnation of the
    worker proves nothing, since a restart erases the record of requests.

    Returns:
        The final reply, or None if the worker was lost or restarted, so that
        the final status cannot be determined.
    """
    while link.state is not LinkState.LOST:
        confirmed_epoch_before = link.confirmed_epoch
        reply = await _get_status(link, sent.request_id)
        finding = _interpret_reply(reply, sent, confirmed_epoch_before)
        age_ms = clock.monotonic_ms() - sent.sent_ms
        if finding is _Finding.NOT_RUN and age_ms <= timing.delivery_delay_ms:
            finding = _Finding.UNDECIDED
        if finding in _FINAL_FINDINGS:
            return None if finding is _Finding.FORGOTTEN else reply
        if finding is _Finding.NOT_FENCED:
            link.refence()
        await clock.sleep_ms(timing.status_poll_interval_ms)
    return None


class _Finding(enum.Enum):
    """
    What a worker's reply proves about a request.

    `NOT_FENCED`: the worker has not run the request but would still accept it.
    `FORGOTTEN`: the worker has restarted since the request was sent.
    """

    UNDECIDED = enum.auto()
    RAN = enum.auto()
    NOT_RUN = enum.auto()
    NOT_FENCED = enum.auto()
    FORGOTTEN = enum.auto()


_FINAL_FINDINGS = frozenset(
    (_Finding.RAN, _Finding.NOT_RUN, _Finding.FORGOTTEN)
)


def _interpret_reply(
    reply: EndpointReply | None,
    sent: SentRequest,
    confirmed_epoch_before: int,
) -> _Finding:
    if reply is None or reply.status is EndpointStatus.RUNNING:
        return _Finding.UNDECIDED
    if not did_not_run(reply.status):
        return _Finding.RAN
    if reply.incarnation != sent.incarnation:
        return _Finding.FORGOTTEN
    if confirmed_epoch_before <= sent.epoch:
        return _Finding.NOT_FENCED
    return _Finding.NOT_RUN


async def _get_status(
    link: WorkerLink, request_id: str
) -> EndpointReply | None:
    try:
        return await link.get_request_status(request_id)
    except WorkerError:
        return None
