"""
The requests that an entry process serves for its peers.
"""

from hawthornpier.daemon._services import Services
from hawthornpier.daemon._shards import (
    cancel_locally,
    serve_locally,
    submit_locally,
)
from hawthornpier.entry import shard_of_job
from hawthornpier.events import encode_events
from hawthornpier.messages import (
    ForwardedRequest,
    Heartbeat,
    HeartbeatReply,
    JobSpec,
    JobView,
    Outcome,
)
from hawthornpier.owner import ShardOwner
from hawthornpier.ports import PeerRefusedError


class PeerService:
    """
    Implements the requests of a `PeerPort` on the receiving side.

    Its methods raise the errors of the port that apply here: `PeerRefusedError`
    and `PeerReplyLostError`.
    """

    def __init__(self, services: Services) -> None:
        self._services = services

    async def heartbeat(self, heartbeat: Heartbeat) -> HeartbeatReply:
        """
        Record a peer's heartbeat and return that of this process.
        """
        self._services.hybrid_clock.merge(heartbeat.stamp)
        return self._services.membership.reply_to(heartbeat)

    async def forward(self, request: ForwardedRequest) -> Outcome:
        """
        Serve a request for a shard that this process owns.
        """
        return await serve_locally(self._owner(request.shard), request)

    async def submit_job(self, job_id: str, spec: JobSpec) -> JobView:
        """
        Accept a job for a shard that this process owns.
        """
        owner = self._owner(shard_of_job(job_id))
        return await submit_locally(owner, job_id, spec)

    async def show_job(self, job_id: str) -> JobView | None:
        """
        Return a job of a shard that this process owns.
        """
        return self._owner(shard_of_job(job_id)).jobs.view(job_id)

    async def cancel_job(self, job_id: str) -> JobView | None:
        """
        Cancel a job of a shard that this process owns.
        """
        return await cancel_locally(self._owner(shard_of_job(job_id)), job_id)

    async def events(self) -> bytes:
        """
        Return the events that this process has recorded, as JSON.
        """
        return encode_events(self._services.recorder.events())

    def _owner(self, shard: str) -> ShardOwner:
        owner = self._services.local_shards.owner(shard)
        if owner is None:
            raise PeerRefusedError(
                f'shard {shard} is not owned by this process'
            )
        return owner
