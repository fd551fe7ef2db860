"""
Takes operators' batch jobs to the shards that keep them.
"""

import uuid

from hawthornpier.entry._errors import (
    EntryError,
    JobNotAcceptedError,
    JobUnknownError,
)
from hawthornpier.entry._interfaces import ShardChooser, ShardClient
from hawthornpier.messages import JobSpec, JobView
from hawthornpier.ports import PeerAnswerLostError, PeerError

# Separates the shard from the rest of a job's id.
_SEPARATOR = '~'


def shard_of_job(job_id: str) -> str:
    """
    Return the shard that keeps the job, which is part of its id.
    """
    shard, _, _ = job_id.partition(_SEPARATOR)
    failure_domain, _, number = shard.rpartition('.')
    return f'{failure_domain}/{number}'


class JobRouter:
    """
    Submits, shows and cancels jobs at the owners of their shards.
    """

    def __init__(self, *, client: ShardClient, chooser: ShardChooser) -> None:
        self._client = client
        self._chooser = chooser

    async def submit(self, spec: JobSpec, *, job_id: str = '') -> JobView:
        """
        Have a job accepted; with *job_id*, one that was submitted before.

        Raises:
            JobNotAcceptedError: The job was certainly not accepted.
            JobUnknownError: It may have been accepted.
        """
        if not job_id:
            job_id = self._new_id(spec)
        try:
            return await self._client.submit_job(
                shard_of_job(job_id),
                job_id,
                spec,
            )
        except PeerAnswerLostError as error:
            raise JobUnknownError(
                f'submit again with the id {job_id} to learn the outcome',
            ) from error
        except PeerError as error:
            raise JobNotAcceptedError(str(error)) from error

    async def show(self, job_id: str) -> JobView | None:
        """
        Return the job, or None if its shard does not know it.

        Raises:
            EntryError: The shard's owner was not reached.
        """
        try:
            return await self._client.show_job(shard_of_job(job_id), job_id)
        except PeerError as error:
            raise EntryError(str(error)) from error

    async def cancel(self, job_id: str) -> JobView | None:
        """
        Cancel the job, or return None if its shard does not know it.

        Raises:
            EntryError: The cancellation may not have been recorded.
        """
        try:
            return await self._client.cancel_job(shard_of_job(job_id), job_id)
        except PeerError as error:
            raise EntryError(str(error)) from error

    def _new_id(self, spec: JobSpec) -> str:
        shard = self._chooser.choose_for_job(spec)
        if shard is None:
            raise JobNotAcceptedError('no shard has an owner')
        # Ids appear in URL paths, so the shard's slash is replaced.
        name = '.'.join(shard.rsplit('/', 1))
        return f'{name}{_SEPARATOR}{uuid.uuid4().hex[:16]}'
