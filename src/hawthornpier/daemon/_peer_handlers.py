"""
HTTP between entry processes.
"""

from collections.abc import Awaitable
from http import HTTPStatus

from hawthornpier.adapters import (
    JobReference,
    JobSubmission,
    encode_outcome,
)
from hawthornpier.daemon._http import PeerHandler
from hawthornpier.daemon._limits import (
    check_forwarded,
    check_heartbeat,
    check_job_id,
    check_spec,
)
from hawthornpier.daemon._peer_service import PeerService
from hawthornpier.messages import ForwardedRequest, Heartbeat
from hawthornpier.ports import PeerRefusedError, PeerReplyLostError


class _PeerServiceHandler(PeerHandler):
    """
    Answers with what the `PeerService` returns.

    Status 503 says that nothing was done, status 504 that it is not known.
    """

    @property
    def service(self) -> PeerService:
        """
        Return the receiving side of the peers' messages.
        """
        return PeerService(self.services)

    async def answer(self, result: Awaitable[object]) -> None:
        """
        Await the result and send it as JSON.
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
    Exchanges states with a peer.
    """

    async def post(self) -> None:
        """
        Take the peer's heartbeat and answer with the own one.
        """
        heartbeat = self.message(Heartbeat)
        check_heartbeat(heartbeat)
        await self.answer(self.service.heartbeat(heartbeat))


class ForwardHandler(_PeerServiceHandler):
    """
    Serves requests that another entry process has forwarded.
    """

    async def post(self) -> None:
        """
        Answer with one of the three outcomes.
        """
        request = self.message(ForwardedRequest)
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
    Accepts jobs for shards that are owned here.
    """

    async def post(self) -> None:
        """
        Answer with the job.
        """
        submission = self.message(JobSubmission)
        check_job_id(submission.job_id)
        check_spec(submission.spec)
        await self.answer(
            self.service.submit_job(submission.job_id, submission.spec),
        )


class JobShowHandler(_PeerServiceHandler):
    """
    Shows jobs of shards that are owned here.
    """

    async def post(self) -> None:
        """
        Answer with the job or null.
        """
        job_id = self.message(JobReference).job_id
        check_job_id(job_id)
        await self.answer(self.service.show_job(job_id))


class JobCancelHandler(_PeerServiceHandler):
    """
    Cancels jobs of shards that are owned here.
    """

    async def post(self) -> None:
        """
        Answer with the job or null.
        """
        job_id = self.message(JobReference).job_id
        check_job_id(job_id)
        await self.answer(self.service.cancel_job(job_id))


class PeerEventsHandler(_PeerServiceHandler):
    """
    Hands the own events to a peer that merges them.
    """

    async def get(self) -> None:
        """
        Return the ring of events as JSON.
        """
        self.set_header('Content-Type', 'application/json')
        self.finish(await self.service.events())
