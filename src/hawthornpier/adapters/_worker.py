"""
One worker of the platform over HTTP.
"""

from typing import TypeVar

from hawthornpier.adapters._calls import (
    JsonHttpClient,
    PortErrors,
    quote_segment,
)
from hawthornpier.adapters._connections import ConnectionPool
from hawthornpier.messages import (
    EndpointReply,
    EndpointRequest,
    Fence,
    FenceReply,
    LeaseRenewal,
    LeaseReply,
    StartBatch,
    StartBatchReply,
    TaskControl,
    TaskControlReply,
    WorkerReport,
)
from hawthornpier.ports import WorkerReplyLostError, WorkerUnreachableError

_Reply = TypeVar('_Reply')

_ERRORS = PortErrors(
    not_sent=WorkerUnreachableError,
    refused=WorkerUnreachableError,
    lost=WorkerReplyLostError,
)


class HttpWorker:
    """
    The `WorkerPort` over HTTP.

    Args:
        address: Host and port, or a URL without a path.
        deadline_ms: Longest time of a call; a request has its own.
        connection_limit: Largest number of open connections; at most 60 of
            the 64 that a worker accepts, so that a new owner can connect.
        ca_certs: File of the certificates to trust, for HTTPS.
    """

    def __init__(
        self,
        address: str,
        *,
        deadline_ms: float = 2_000,
        connection_limit: int = 60,
        ca_certs: str = '',
    ) -> None:
        self._client = JsonHttpClient(
            ConnectionPool(
                address,
                connection_limit=connection_limit,
                ca_certs=ca_certs,
            ),
            errors=_ERRORS,
            deadline_ms=deadline_ms,
        )

    def close(self) -> None:
        """
        Close the connections.
        """
        self._client.close()

    async def fence(self, fence: Fence) -> FenceReply:
        """
        Present an epoch and learn what the worker holds.
        """
        return await self._client.post('/v1/fence', fence, FenceReply)

    async def start(self, batch: StartBatch) -> StartBatchReply:
        """
        Start runs; the reply has one verdict for each.
        """
        reply = await self._client.post('/v1/starts', batch, StartBatchReply)
        if len(reply.verdicts) != len(batch.starts):
            raise WorkerReplyLostError('the verdicts do not match the starts')
        return reply

    async def renew(self, renewal: LeaseRenewal) -> LeaseReply:
        """
        Renew leases, acknowledge outcomes and fetch new outcomes.
        """
        return await self._client.post('/v1/leases', renewal, LeaseReply)

    async def control(self, control: TaskControl) -> TaskControlReply:
        """
        Checkpoint, evict, throttle, resume or stop one run.
        """
        run_id = quote_segment(control.run_id)
        return await self._client.post(
            f'/v1/tasks/{run_id}/{control.action}',
            control,
            TaskControlReply,
        )

    async def request(self, request: EndpointRequest) -> EndpointReply:
        """
        Send a caller's request to the service's endpoint on this worker.

        A reply to another request counts as lost. The length of the body is
        for the caller of this method to check.
        """
        reply = await self._client.post(
            '/v1/requests',
            request,
            EndpointReply,
            deadline_ms=request.deadline_ms,
        )
        return self._check_request_id(request.request_id, reply)

    async def get_request_status(self, request_id: str) -> EndpointReply:
        """
        Ask what became of a request.
        """
        reply = _require_reply(
            await self._client.get(
                f'/v1/requests/{quote_segment(request_id)}',
                EndpointReply,
            ),
        )
        return self._check_request_id(request_id, reply)

    async def report(self) -> WorkerReport:
        """
        Return the latest usage report.
        """
        return _require_reply(
            await self._client.get('/v1/report', WorkerReport)
        )

    def _check_request_id(
        self,
        request_id: str,
        reply: EndpointReply,
    ) -> EndpointReply:
        if reply.request_id != request_id:
            # The right reply may still come on the same connection.
            self._client.retire_connections()
            raise WorkerReplyLostError(
                f'the reply to {request_id} is one to {reply.request_id}',
            )
        return reply


def _require_reply(reply: _Reply | None) -> _Reply:
    if reply is None:
        raise WorkerReplyLostError('the worker does not know the path')
    return reply
