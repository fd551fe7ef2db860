"""
The HTTP client for another entry process.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from hawthornpier.adapters._calls import JsonHttpClient, PortErrors
from hawthornpier.adapters._codec import decode_outcome, encode_message
from hawthornpier.adapters._connections import ConnectionPool
from hawthornpier.adapters._errors import MessageError
from hawthornpier.adapters._signing import SigningKey, sign_headers
from hawthornpier.messages import (
    ForwardedRequest,
    Heartbeat,
    HeartbeatReply,
    JobSpec,
    JobView,
    Outcome,
)
from hawthornpier.ports import (
    Clock,
    PeerRefusedError,
    PeerReplyLostError,
    PeerUnreachableError,
)

_ERRORS = PortErrors(
    not_sent=PeerUnreachableError,
    refused=PeerRefusedError,
    lost=PeerReplyLostError,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class JobSubmission:
    """
    The body of a job submission between processes.
    """

    job_id: str
    spec: JobSpec


@dataclass(frozen=True, slots=True, kw_only=True)
class JobReference:
    """
    The body of a request to show or cancel a job.
    """

    job_id: str


class HttpPeer:
    """
    The `PeerPort` over HTTP, with signed messages.

    A peer rejects a call with a status from 400 to 499, or with 503, and only
    if it has applied nothing.

    Args:
        address: Host and port, or a URL without a path.
        key: The key to sign messages with.
        clock: Source of the timestamps in the signatures.
        deadline_ms: Time limit of a call; a forwarded request has its own.
        connection_limit: Maximum number of open connections.
        ca_certs: File with the trusted CA certificates, for HTTPS.
    """

    def __init__(
        self,
        address: str,
        *,
        key: SigningKey,
        clock: Clock,
        deadline_ms: float = 2_000,
        connection_limit: int = 32,
        ca_certs: str = '',
    ) -> None:
        self._key = key
        self._clock = clock
        self._client = JsonHttpClient(
            ConnectionPool(
                address,
                connection_limit=connection_limit,
                ca_certs=ca_certs,
            ),
            errors=_ERRORS,
            deadline_ms=deadline_ms,
            headers=self._sign,
        )

    def close(self) -> None:
        """
        Close the connections.
        """
        self._client.close()

    async def heartbeat(self, heartbeat: Heartbeat) -> HeartbeatReply:
        """
        Send the state of this process and return the state of the peer.
        """
        return await self._client.post(
            '/peer/v1/heartbeat',
            heartbeat,
            HeartbeatReply,
        )

    async def forward(self, request: ForwardedRequest) -> Outcome:
        """
        Forward a request to the peer, which owns the request's shard.
        """
        reply = await self._client.exchange(
            'POST',
            '/peer/v1/forward',
            encode_message(request),
            deadline_ms=request.remaining_ms,
        )
        try:
            return decode_outcome(reply.body)
        except MessageError as error:
            raise PeerReplyLostError(str(error)) from error

    async def submit_job(self, job_id: str, spec: JobSpec) -> JobView:
        """
        Submit a job to the peer, which owns the job's shard.
        """
        return await self._client.post(
            '/peer/v1/jobs/submit',
            JobSubmission(job_id=job_id, spec=spec),
            JobView,
        )

    async def show_job(self, job_id: str) -> JobView | None:
        """
        Return the state of a job, or None if the peer does not know it.
        """
        return await self._request_job_view('/peer/v1/jobs/show', job_id)

    async def cancel_job(self, job_id: str) -> JobView | None:
        """
        Cancel a job; return its state, or None if the peer does not know it.
        """
        return await self._request_job_view('/peer/v1/jobs/cancel', job_id)

    async def events(self) -> bytes:
        """
        Return the events that the peer has recorded, as JSON.
        """
        reply = await self._client.exchange('GET', '/peer/v1/events', None)
        return reply.body

    async def _request_job_view(self, path: str, job_id: str) -> JobView | None:
        # The peer responds with the JSON document null for an unknown job;
        # status 404 could also mean that the peer does not have this path.
        reply = await self._client.exchange(
            'POST',
            path,
            encode_message(JobReference(job_id=job_id)),
        )
        if reply.body == _NULL_BODY:
            return None
        return self._client.decode(reply, JobView)

    def _sign(
        self,
        method: str,
        path: str,
        body: bytes,
    ) -> Mapping[str, str]:
        return sign_headers(
            self._key,
            method=method,
            path=path,
            timestamp_ms=self._clock.wall_ms(),
            body=body,
        )


_NULL_BODY = b'null'
