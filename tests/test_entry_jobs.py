"""
Tests of the division of jobs among shards.
"""

import asyncio
from dataclasses import replace

import pytest
from owner_harness import job_of

from hawthornpier.daemon._validation import is_job_id
from hawthornpier.entry import (
    JobNotAcceptedError,
    JobOutcomeUnknownError,
    JobRouter,
)
from hawthornpier.messages import JobSpec, JobView, TaskView
from hawthornpier.messages import TaskState as State
from hawthornpier.ports import PeerRefusedError

_SHARDS = ('ipoh/0', 'kuching/0', 'melaka/0')


class _FakeShardClient:
    """
    A `ShardClient` that stores parts; the shards in *refusing* refuse them.
    """

    def __init__(self) -> None:
        self.parts: dict[str, JobSpec] = {}
        self.refusing: set[str] = set()

    async def submit_job(
        self,
        shard: str,
        job_id: str,
        spec: JobSpec,
    ) -> JobView:
        """
        Accept a part, unless an earlier submission was accepted.
        """
        if shard in self.refusing:
            raise PeerRefusedError(shard)
        self.parts.setdefault(job_id, spec)
        return _make_view(job_id, self.parts[job_id])

    async def show_job(self, shard: str, job_id: str) -> JobView | None:
        """
        Return the state of a part.
        """
        spec = self.parts.get(job_id)
        return None if spec is None else _make_view(job_id, spec)

    async def cancel_job(self, shard: str, job_id: str) -> JobView | None:
        """
        Return the state of a part as cancelled.
        """
        spec = self.parts.get(job_id)
        if spec is None:
            return None
        return replace(_make_view(job_id, spec), is_cancelled=True)


class _FirstShardChooser:
    """
    Chooses the first usable shard.
    """

    def choose_for_job(self, usable: tuple[str, ...]) -> str:
        """
        Return the first of the usable shards.
        """
        return usable[0]


def _make_view(job_id: str, spec: JobSpec) -> JobView:
    return JobView(
        job_id=job_id,
        spec=spec,
        is_cancelled=False,
        tasks=tuple(
            TaskView(task_id=f'{job_id}/{number}', state=State.QUEUED)
            for number in range(spec.task_count)
        ),
    )


def _make_router(
    owners: _FakeShardClient, usable: tuple[str, ...] = _SHARDS
) -> JobRouter:
    return JobRouter(
        client=owners,
        chooser=_FirstShardChooser(),
        shards=_SHARDS,
        usable_shards=lambda member, workload: usable,
    )


class TestDividedJobs:
    """
    Jobs that are divided among several shards.
    """

    @pytest.mark.parametrize(
        ('task_count', 'part_count'),
        [(1, 1), (5, 1), (6, 3), (40, 3)],
    )
    def test_every_task_is_in_one_part(
        self,
        task_count: int,
        part_count: int,
    ) -> None:
        """
        Each task is in exactly one part, and the job id yields all parts.

        The id is also valid in the HTTP interface.
        """
        owners = _FakeShardClient()
        router = _make_router(owners)
        view = asyncio.run(router.submit(job_of(task_count)))
        shown = asyncio.run(router.show(view.job_id))
        assert len(view.tasks) == task_count
        assert shown == view
        assert is_job_id(view.job_id)
        assert len(owners.parts) == part_count

    def test_repeated_submission_makes_the_same_parts(self) -> None:
        """
        Submitting a partly refused job again adds only the missing parts.

        This holds also if the limits have changed since.
        """
        owners = _FakeShardClient()
        owners.refusing = {'kuching/0'}
        with pytest.raises(JobOutcomeUnknownError) as raised:
            asyncio.run(_make_router(owners).submit(job_of(10)))
        job_id = str(raised.value).split(' id ')[1].split()[0]
        owners.refusing = set()
        router = _make_router(owners, usable=('ipoh/0',))
        view = asyncio.run(router.submit(job_of(10), job_id=job_id))
        assert len(view.tasks) == 10
        assert len(owners.parts) == 3

    def test_id_without_shards_is_refused(self) -> None:
        """
        Submitting with an id without shards fails; showing it finds no job.
        """
        router = _make_router(_FakeShardClient())
        with pytest.raises(JobNotAcceptedError):
            asyncio.run(router.submit(job_of(3), job_id='parts-0~x'))
        assert asyncio.run(router.show('parts-0~x')) is None

    def test_job_stays_where_its_limits_let_it_run(self) -> None:
        """
        No part goes to a shard without a share, where it would never start.
        """
        owners = _FakeShardClient()
        asyncio.run(
            _make_router(owners, usable=('melaka/0',)).submit(job_of(30))
        )
        assert list(owners.parts.values()) == [job_of(30)]
