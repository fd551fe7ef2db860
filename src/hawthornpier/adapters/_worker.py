"""
The HTTP client for one worker of the platform.
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
        deadline_ms: Time limit of a call; a caller's request has its own.
        connection_limit: Maximum number of open connections.  A worker accepts
            64; the default of 60 leaves some for a new owner of the shard.
        ca_certs: File with the trusted CA certificates, for HTTPS.
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
        Make the worker reject lower epochs; return its runs and requests.
        """
        return await self._client.post('/v1/fence', fence, FenceReply)

    async def start(self, batch: StartBatch) -> StartBatchReply:
        """
        Start runs; the reply has one verdict for each run.

        A reply with the wrong number of verdicts counts as a lost reply.
        """
        reply = await self._client.post('/v1/starts', batch, StartBatchReply)
        if len(reply.verdicts) != len(batch.starts):
            raise WorkerReplyLostError(
                'the reply has the wrong number of verdicts'
            )
        return reply

    async def renew(self, renewal: LeaseRenewal) -> LeaseReply:
        """
        Renew leases, acknowledge recorded outcomes and fetch new ones.
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

        A reply with another request id counts as a lost reply.  The calling
        code must check the length of the reply's body.
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
        Return the status of a request that was sent to this worker.
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
        Return the latest report on usage and latencies.
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
            # The expected reply may still arrive on the same connection, where
            # a later call would read it.
            self._client.retire_connections()
            raise WorkerReplyLostError(
                f'expected the reply to request {request_id}, '
                f'got the reply to {reply.request_id}',
            )
        return reply


def _require_reply(reply: _Reply | None) -> _Reply:
    if reply is None:
        raise WorkerReplyLostError('the worker responded with status 404')
    return reply
