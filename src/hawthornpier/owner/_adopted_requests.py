"""
Accounting of requests that earlier owners sent and workers still serve.
"""

from hawthornpier.messages import OpenRequest
from hawthornpier.owner._context import ShardContext
from hawthornpier.owner._dispatch import Dispatcher
from hawthornpier.owner._final_status import SentRequest, poll_final_status
from hawthornpier.owner._link import WorkerLink
from hawthornpier.policy import RequestDemand, RequestResult


class AdoptedRequestTracker:
    """
    Keeps a slot reserved for each adopted request until the request ends.

    An adopted request was sent by an earlier owner of the shard and was
    reported by its worker after the fence of this owner.
    """

    def __init__(self, context: ShardContext, dispatcher: Dispatcher) -> None:
        self._context = context
        self._dispatcher = dispatcher
        self._request_ids: set[str] = set()

    def adopt(self, link: WorkerLink, request: OpenRequest) -> None:
        """
        Reserve a slot for *request* unless one is already reserved.
        """
        holds_slot = self._dispatcher.holds_slot(request.request_id)
        if holds_slot or request.request_id in self._request_ids:
            return
        self._request_ids.add(request.request_id)
        now_ms = self._context.now_ms()
        self._context.policy.adopt_request(
            RequestDemand(
                request_id=request.request_id,
                member='',
                service=request.service,
                demand=request.demand,
                deadline_ms=now_ms,
            ),
            link.worker_id,
            now_ms,
        )
        self._context.tasks.spawn(
            self._release_when_ended(link, request.request_id)
        )

    async def _release_when_ended(
        self, link: WorkerLink, request_id: str
    ) -> None:
        await poll_final_status(
            link,
            SentRequest(
                request_id=request_id,
                # The request's epoch is not reported, but it is lower than
                # the one that the worker has confirmed, which is all that
                # matters to the poll.
                epoch=link.confirmed_epoch - 1,
                incarnation=link.incarnation,
                sent_ms=self._context.now_ms(),
            ),
            clock=self._context.clock,
            timing=self._context.timing,
        )
        self._request_ids.discard(request_id)
        # The duration of the request is unknown, so its result is LOST, which
        # the policy counts as a failure of the endpoint.
        self._dispatcher.release(request_id, RequestResult.LOST, 0)
