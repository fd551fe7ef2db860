"""
Routing of batch jobs to the owners of their shards.
"""

import asyncio
import re
import uuid
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import replace

from hawthornpier.entry._errors import (
    EntryError,
    JobNotAcceptedError,
    JobOutcomeUnknownError,
)
from hawthornpier.entry._interfaces import ShardChooser, ShardClient
from hawthornpier.messages import JobSpec, JobView
from hawthornpier.ports import PeerError, PeerReplyLostError

# Separates the shard from the token in a job id.
_SEPARATOR = '~'
# The prefix of the id of a divided job.  The hexadecimal number is a bit mask
# of the shards, so that the parts remain the same when limits change.
_DIVIDED_JOB_ID = re.compile('parts-([0-9a-f]+)~')
# With fewer tasks per shard, dividing a job is not worth the additional writes.
_MIN_TASKS_PER_SHARD = 2


def shard_of_job(job_id: str) -> str:
    """
    Return the shard of an undivided job or of a part, from its id.
    """
    shard, _, _ = job_id.partition(_SEPARATOR)
    failure_domain, _, number = shard.rpartition('.')
    return f'{failure_domain}/{number}'


def _new_token() -> str:
    return uuid.uuid4().hex[:16]


class JobRouter:
    """
    Submits, shows and cancels jobs through the owners of their shards.

    A shard uses only its own workers.  Therefore a job with enough tasks is
    divided among the shards where its limits allow it to run, and each part is
    a separate job of its shard.

    Args:
        client: Calls the owners of shards.
        chooser: Chooses the shard of a job that is not divided.
        shards: All shards.
        usable_shards: Returns the shards where the limits allow a workload of
            a member to run.
        new_token: Returns a token that makes a job id unique.
    """

    def __init__(
        self,
        *,
        client: ShardClient,
        chooser: ShardChooser,
        shards: Sequence[str],
        usable_shards: Callable[[str, str], Sequence[str]],
        new_token: Callable[[], str] = _new_token,
    ) -> None:
        self._client = client
        self._chooser = chooser
        self._shards = tuple(sorted(shards))
        self._usable_shards = usable_shards
        self._new_token = new_token

    async def submit(self, spec: JobSpec, *, job_id: str = '') -> JobView:
        """
        Submit a job and return its state.

        With the *job_id* of an earlier submission, only the parts that have not
        been accepted yet are added.

        Raises:
            JobNotAcceptedError: No part of the job was accepted.
            JobOutcomeUnknownError: Some part may have been accepted.
        """
        job_id = job_id or self._new_job_id(spec)
        parts = self._parts(job_id, spec)
        results = await asyncio.gather(
            *(self._submit_part(part_id, part) for part_id, part in parts),
            return_exceptions=True,
        )
        failures = [
            result for result in results if isinstance(result, PeerError)
        ]
        for result in results:
            if isinstance(result, BaseException) and result not in failures:
                raise result
        if failures:
            raise _submission_error(job_id, failures, len(results))
        views = [view for view in results if isinstance(view, JobView)]
        return _merge_views(job_id, views)

    async def show(self, job_id: str) -> JobView | None:
        """
        Return the state of the job, or None if no owner knows it.

        Raises:
            EntryError: The call to the owner of a shard failed.
        """
        return await self._call_part_owners(job_id, self._client.show_job)

    async def cancel(self, job_id: str) -> JobView | None:
        """
        Cancel the job and return its state, or None if no owner knows it.

        Raises:
            EntryError: The cancellation may not have been recorded.
        """
        return await self._call_part_owners(job_id, self._client.cancel_job)

    async def _submit_part(self, part_id: str, part: JobSpec) -> JobView:
        shard = shard_of_job(part_id)
        return await self._client.submit_job(shard, part_id, part)

    async def _call_part_owners(
        self,
        job_id: str,
        call_owner: Callable[[str, str], Awaitable[JobView | None]],
    ) -> JobView | None:
        part_ids = self._part_ids(job_id)
        try:
            results = await asyncio.gather(
                *(
                    call_owner(shard_of_job(part_id), part_id)
                    for part_id in part_ids
                ),
            )
        except PeerError as error:
            raise EntryError(str(error)) from error
        views = [view for view in results if view is not None]
        return _merge_views(job_id, views) if views else None

    def _new_job_id(self, spec: JobSpec) -> str:
        token = self._new_token()
        usable = self._usable_shards(spec.member, spec.workload)
        if spec.task_count >= len(usable) * _MIN_TASKS_PER_SHARD:
            shard_bits = sum(1 << self._shards.index(shard) for shard in usable)
            return f'parts-{shard_bits:x}{_SEPARATOR}{token}'
        shard = self._chooser.choose_for_job(usable)
        if shard is None:
            raise JobNotAcceptedError(
                'no owner of a shard that may run the job has reported slots'
            )
        return _part_id(shard, token)

    def _part_ids(self, job_id: str) -> tuple[str, ...]:
        match = _DIVIDED_JOB_ID.match(job_id)
        if match is None:
            return (job_id,)
        shard_bits = int(match[1], 16)
        token = job_id.partition(_SEPARATOR)[2]
        return tuple(
            _part_id(shard, token)
            for number, shard in enumerate(self._shards)
            if shard_bits >> number & 1
        )

    def _parts(
        self,
        job_id: str,
        spec: JobSpec,
    ) -> list[tuple[str, JobSpec]]:
        """
        Divide the job into parts; the result depends only on the arguments.

        A retry with the same id therefore yields the same parts.
        """
        part_ids = self._part_ids(job_id)
        if not part_ids:
            raise JobNotAcceptedError(f'the job id {job_id} contains no shard')
        base, remainder = divmod(spec.task_count, len(part_ids))
        counts = [
            base + int(number < remainder) for number in range(len(part_ids))
        ]
        return [
            (part_id, replace(spec, task_count=count))
            for part_id, count in zip(part_ids, counts, strict=True)
            if count
        ]


def _part_id(shard: str, token: str) -> str:
    # Job ids appear in URL paths, so the slash of the shard becomes a dot.
    name = '.'.join(shard.rsplit('/', 1))
    return f'{name}{_SEPARATOR}{token}'


def _submission_error(
    job_id: str,
    failures: Sequence[PeerError],
    part_count: int,
) -> EntryError:
    has_lost_reply = any(
        isinstance(error, PeerReplyLostError) for error in failures
    )
    if has_lost_reply or len(failures) < part_count:
        return JobOutcomeUnknownError(
            f'not every shard owner confirmed the job; submit it again with '
            f'the id {job_id} to learn the outcome',
        )
    return JobNotAcceptedError(str(failures[0]))


def _merge_views(job_id: str, views: Sequence[JobView]) -> JobView:
    if len(views) == 1 and views[0].job_id == job_id:
        return views[0]
    tasks = tuple(task for view in views for task in view.tasks)
    return JobView(
        job_id=job_id,
        spec=replace(views[0].spec, task_count=len(tasks)),
        is_cancelled=all(view.is_cancelled for view in views),
        tasks=tasks,
        waits_for=next(
            (view.waits_for for view in views if view.waits_for), ''
        ),
    )
