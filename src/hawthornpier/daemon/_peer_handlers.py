"""
HTTP handlers for requests between entry processes.
"""

from collections.abc import Awaitable
from http import HTTPStatus

from hawthornpier.adapters import (
    JobReference,
    JobSubmission,
    encode_outcome,
)
from hawthornpier.daemon._http import PeerHandler
from hawthornpier.daemon._peer_service import PeerService
from hawthornpier.daemon._validation import (
    check_forwarded,
    check_heartbeat,
    check_job_id,
    check_spec,
)
from hawthornpier.messages import ForwardedRequest, Heartbeat
from hawthornpier.ports import PeerRefusedError, PeerReplyLostError


class _PeerServiceHandler(PeerHandler):
    """
    Sends the results and errors of the `PeerService`.

    Status 503 means that nothing was applied, status 504 that the request may
    have been applied.
    """

    @property
    def service(self) -> PeerService:
        """
        Return the implementation of the requests.
        """
        return PeerService(self.services)

    async def send_result(self, result: Awaitable[object]) -> None:
        """
        Await the result and send it as JSON, or the matching error status.
        """
        try:
            document = await result
        except PeerRefusedError as error:
            self.refuse(HTTPStatus.SERVICE_UNAVAILABLE, str(error))
        except PeerReplyLostError as error:
            self.refuse(HTTPStatus.GATEWAY_TIMEOUT, str(error))
        else:
            self.send_json(document)


class HeartbeatHandler(_PeerServiceHandler):
    """
    Exchanges heartbeats with a peer.
    """

    async def post(self) -> None:
        """
        Record the peer's heartbeat and send that of this process.
        """
        heartbeat = self.decode_body(Heartbeat)
        check_heartbeat(heartbeat)
        await self.send_result(self.service.heartbeat(heartbeat))


class ForwardHandler(_PeerServiceHandler):
    """
    Serves requests of callers that another entry process has forwarded.
    """

    async def post(self) -> None:
        """
        Serve the request and send its outcome.
        """
        request = self.decode_body(ForwardedRequest)
        check_forwarded(request)
        try:
            outcome = await self.service.forward(request)
        except PeerRefusedError as error:
            self.refuse(HTTPStatus.SERVICE_UNAVAILABLE, str(error))
            return
        self.set_header('Content-Type', 'application/json')
        self.finish(encode_outcome(outcome))


class JobSubmitHandler(_PeerServiceHandler):
    """
    Accepts jobs for shards that this process owns.
    """

    async def post(self) -> None:
        """
        Submit the job and send its state.
        """
        submission = self.decode_body(JobSubmission)
        check_job_id(submission.job_id)
        check_spec(submission.spec)
        await self.send_result(
            self.service.submit_job(submission.job_id, submission.spec),
        )


class JobShowHandler(_PeerServiceHandler):
    """
    Shows jobs of shards that this process owns.
    """

    async def post(self) -> None:
        """
        Send the state of the job, or null if the owner does not know it.
        """
        job_id = self.decode_body(JobReference).job_id
        check_job_id(job_id)
        await self.send_result(self.service.show_job(job_id))


class JobCancelHandler(_PeerServiceHandler):
    """
    Cancels jobs of shards that this process owns.
    """

    async def post(self) -> None:
        """
        Cancel the job; send its state, or null if the owner does not know it.
        """
        job_id = self.decode_body(JobReference).job_id
        check_job_id(job_id)
        await self.send_result(self.service.cancel_job(job_id))


class PeerEventsHandler(_PeerServiceHandler):
    """
    Sends the events of this process to a peer that merges a timeline.
    """

    async def get(self) -> None:
        """
        Send the contents of the event ring buffer as JSON.
        """
        self.set_header('Content-Type', 'application/json')
        self.finish(await self.service.events())
