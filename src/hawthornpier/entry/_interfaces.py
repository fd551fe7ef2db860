"""
What the entry needs from the process around it.
"""

from collections.abc import Collection
from typing import Protocol

from hawthornpier.messages import ForwardedRequest, JobSpec, JobView, Outcome


class ShardClient(Protocol):
    """
    Reaches the owner of a shard, in this process or in another.

    Every method raises `PeerUnreachableError`, `PeerReplyLostError` or
    `PeerRefusedError`.
    """

    async def forward(self, request: ForwardedRequest) -> Outcome:
        """
        Have the owner of the request's shard serve it.
        """
        ...

    async def submit_job(
        self,
        shard: str,
        job_id: str,
        spec: JobSpec,
    ) -> JobView:
        """
        Have the shard's owner accept a job.
        """
        ...

    async def show_job(self, shard: str, job_id: str) -> JobView | None:
        """
        Return the job as the shard's owner sees it.
        """
        ...

    async def cancel_job(self, shard: str, job_id: str) -> JobView | None:
        """
        Have the shard's owner cancel the job.
        """
        ...


class ShardChooser(Protocol):
    """
    Picks the shard for work that any shard may do.
    """

    def choose_for_request(
        self,
        service: str,
        body_bytes: int,
        excluded: Collection[str],
    ) -> str | None:
        """
        Return the shard to try next, or None if there is none.
        """
        ...

    def choose_for_job(self, usable: Collection[str]) -> str | None:
        """
        Return the one of the usable shards that takes a small job.
        """
        ...
