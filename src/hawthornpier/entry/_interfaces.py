"""
Interfaces that the entry layer requires from the process.
"""

from collections.abc import Collection
from typing import Protocol

from hawthornpier.messages import ForwardedRequest, JobSpec, JobView, Outcome


class ShardClient(Protocol):
    """
    Calls the owner of a shard, in this process or in another.

    Every method raises `PeerUnreachableError`, `PeerReplyLostError` or
    `PeerRefusedError` if the call fails.
    """

    async def forward(self, request: ForwardedRequest) -> Outcome:
        """
        Send the request to the owner of its shard and return the outcome.
        """
        ...

    async def submit_job(
        self,
        shard: str,
        job_id: str,
        spec: JobSpec,
    ) -> JobView:
        """
        Submit a job to the owner of the shard.
        """
        ...

    async def show_job(self, shard: str, job_id: str) -> JobView | None:
        """
        Return the state of a job, or None if the owner does not know it.
        """
        ...

    async def cancel_job(self, shard: str, job_id: str) -> JobView | None:
        """
        Cancel a job; return None if the owner does not know it.
        """
        ...


class ShardChooser(Protocol):
    """
    Chooses the shard for work that any shard can run.
    """

    def choose_for_request(
        self,
        service: str,
        body_bytes: int,
        excluded: Collection[str],
    ) -> str | None:
        """
        Return the shard to try next, or None if no shard is left.
        """
        ...

    def choose_for_job(self, usable: Collection[str]) -> str | None:
        """
        Return one of the usable shards for a job that is not divided.

        Returns None if the load of no usable shard with slots is known.
        """
        ...
