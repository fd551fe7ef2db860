"""
HTTP between entry processes.
"""

from http import HTTPStatus

from tornado.web import HTTPError

from hawthornpier.adapters import (
    JobReference,
    JobSubmission,
    encode_outcome,
)
from hawthornpier.daemon._http import PeerHandler
from hawthornpier.daemon._shards import cancel_here, serve_here, submit_here
from hawthornpier.entry import shard_of_job
from hawthornpier.events import encode_events
from hawthornpier.messages import ForwardedRequest, Heartbeat
from hawthornpier.owner import ShardOwner
from hawthornpier.ports import PeerAnswerLostError, PeerRefusedError


class HeartbeatHandler(PeerHandler):
    """
    Exchanges states with a peer.
    """

    def post(self) -> None:
        """
        Take the peer's heartbeat and answer with the own one.
        """
        heartbeat = self.message(Heartbeat)
        self.services.hybrid_clock.merge(heartbeat.stamp)
        self.send_json(self.services.membership.answer(heartbeat))


class _OwnerHandler(PeerHandler):
    """
    Passes work to an owner in this process.
    """

    def owner_of(self, shard: str) -> ShardOwner:
        """
        Return the owner, or answer with status 503: nothing was done.
        """
        owner = self.services.shard_host.owner(shard)
        if owner is None:
            raise HTTPError(
                HTTPStatus.SERVICE_UNAVAILABLE,
                f'shard {shard} is not owned here',
            )
        return owner


class ForwardHandler(_OwnerHandler):
    """
    Serves requests that another entry process has forwarded.
    """

    async def post(self) -> None:
        """
        Answer with one of the three outcomes, or with status 503.
        """
        request = self.message(ForwardedRequest)
        owner = self.owner_of(request.shard)
        try:
            outcome = await serve_here(owner, request)
        except PeerRefusedError as error:
            self.refuse(HTTPStatus.SERVICE_UNAVAILABLE, str(error))
            return
        self.set_header('Content-Type', 'application/json')
        self.finish(encode_outcome(outcome))


class JobSubmitHandler(_OwnerHandler):
    """
    Accepts jobs for shards that are owned here.
    """

    async def post(self) -> None:
        """
        Answer with the job; status 503 says that it was not accepted.
        """
        submission = self.message(JobSubmission)
        owner = self.owner_of(shard_of_job(submission.job_id))
        try:
            view = await submit_here(owner, submission.job_id, submission.spec)
        except PeerRefusedError as error:
            self.refuse(HTTPStatus.SERVICE_UNAVAILABLE, str(error))
        except PeerAnswerLostError as error:
            self.refuse(HTTPStatus.GATEWAY_TIMEOUT, str(error))
        else:
            self.send_json(view)


class JobShowHandler(_OwnerHandler):
    """
    Shows jobs of shards that are owned here.
    """

    def post(self) -> None:
        """
        Answer with the job or null.
        """
        job_id = self.message(JobReference).job_id
        owner = self.owner_of(shard_of_job(job_id))
        self.send_json(owner.jobs.view(job_id))


class JobCancelHandler(_OwnerHandler):
    """
    Cancels jobs of shards that are owned here.
    """

    async def post(self) -> None:
        """
        Answer with the job or null; status 503 says that nothing was done.
        """
        job_id = self.message(JobReference).job_id
        owner = self.owner_of(shard_of_job(job_id))
        try:
            view = await cancel_here(owner, job_id)
        except PeerRefusedError as error:
            self.refuse(HTTPStatus.SERVICE_UNAVAILABLE, str(error))
        except PeerAnswerLostError as error:
            self.refuse(HTTPStatus.GATEWAY_TIMEOUT, str(error))
        else:
            self.send_json(view)


class PeerEventsHandler(PeerHandler):
    """
    Hands the own events to a peer that merges them.
    """

    def get(self) -> None:
        """
        Return the ring of events as JSON.
        """
        self.set_header('Content-Type', 'application/json')
        self.finish(encode_events(self.services.recorder.events()))
