"""
Requests of an earlier owner that workers still serve.
"""

from hawthornpier.messages import OpenRequest
from hawthornpier.owner._context import ShardContext
from hawthornpier.owner._dispatch import Dispatcher
from hawthornpier.owner._link import WorkerLink
from hawthornpier.owner._settle import SentRequest, poll_final_status
from hawthornpier.policy import RequestDemand, RequestResult


class AdoptedRequestTracker:
    """
    Charges each request until its worker has ended it.
    """

    def __init__(self, context: ShardContext, dispatcher: Dispatcher) -> None:
        self._context = context
        self._dispatcher = dispatcher
        self._request_ids: set[str] = set()

    def adopt(self, link: WorkerLink, request: OpenRequest) -> None:
        """
        Charge a request, unless this owner placed or adopted it itself.
        """
        is_charged = self._dispatcher.is_charged(request.request_id)
        if is_charged or request.request_id in self._request_ids:
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
                # The worker has confirmed a later epoch than the request's.
                epoch=link.confirmed_epoch - 1,
                incarnation=link.incarnation,
                sent_ms=self._context.now_ms(),
            ),
            clock=self._context.clock,
            timing=self._context.timing,
        )
        self._request_ids.discard(request_id)
        # How long it has run is not known, so it counts as lost.
        self._dispatcher.release(request_id, RequestResult.LOST, 0)
