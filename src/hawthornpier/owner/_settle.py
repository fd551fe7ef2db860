"""
Finds out what became of a request whose reply was lost.
"""

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


async def settle(
    link: WorkerLink,
    *,
    request_id: str,
    incarnation: str,
    sent_ms: int,
    clock: Clock,
    timing: OwnerTiming,
) -> EndpointReply | None:
    """
    Ask the worker until it knows the end of the request.

    "Never seen" counts only once a message sent at *sent_ms* can no longer
    arrive: it could still be on its way when the worker answers.  It never
    counts from another *incarnation* of the worker, which has forgotten what
    ran before its restart.

    Returns:
        The reply, whose status is not `RUNNING`, or None if the worker was
        lost or has forgotten the request.
    """
    while link.state is not LinkState.LOST:
        reply = await _ask(link, request_id)
        age_ms = clock.monotonic_ms() - sent_ms
        if reply is not None and reply.status is not EndpointStatus.RUNNING:
            if not did_not_run(reply.status):
                return reply
            if reply.incarnation != incarnation:
                return None
            if age_ms > timing.delivery_delay_ms:
                return reply
        await clock.sleep_ms(timing.settle_interval_ms)
    return None


async def _ask(link: WorkerLink, request_id: str) -> EndpointReply | None:
    try:
        return await link.request_state(request_id)
    except WorkerError:
        return None
