"""
The state and services that the components of a shard's owner share.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from hawthornpier.messages import ForwardedRequest, Resources, RowPut
from hawthornpier.owner._background_tasks import BackgroundTasks
from hawthornpier.owner._errors import OwnerError, ShardClosedError
from hawthornpier.owner._interfaces import Committer, ServiceCatalog
from hawthornpier.owner._link import WorkerLink
from hawthornpier.owner._timing import OwnerTiming
from hawthornpier.policy import SchedulingPolicy
from hawthornpier.ports import Clock, EventSink


@dataclass(frozen=True, slots=True, kw_only=True)
class ShardContext:
    """
    The state and services that the components of a shard's owner share.

    *links* maps worker ids to links; the owner adds links to it later.
    """

    shard: str
    epoch: int
    policy: SchedulingPolicy
    links: Mapping[str, WorkerLink]
    committer: Committer
    catalog: ServiceCatalog
    clock: Clock
    timing: OwnerTiming
    tasks: BackgroundTasks
    events: EventSink

    def now_ms(self) -> int:
        """
        Return the monotonic time in milliseconds.
        """
        return self.clock.monotonic_ms()

    def demand_of(self, request: ForwardedRequest) -> Resources:
        """
        Return the resources that a request occupies on a worker.

        Raises:
            ShardClosedError: The table of this process has no such service;
                the sender may have a newer version of the table.
        """
        try:
            return self.catalog.demand(request.member, request.service)
        except KeyError as error:
            raise ShardClosedError(
                f'the table of this process has no service {request.service!r}'
            ) from error

    def retention_cutoff_ms(self) -> int:
        """
        Return the wall clock time before which ended work may be deleted.
        """
        return self.clock.wall_ms() - self.timing.retention_ms

    async def commit(
        self, *puts: RowPut, deletes: tuple[str, ...] = ()
    ) -> None:
        """
        Write and delete rows durably within the commit deadline.

        Raises:
            OwnerError: The commit failed or its outcome is unknown.
        """
        await self.committer.commit(
            puts,
            deletes,
            timeout_ms=self.timing.commit_deadline_ms,
        )

    async def commit_with_retries(self, *puts: RowPut) -> bool:
        """
        Write rows durably, retrying until the commit succeeds.

        Returns:
            False if this process no longer owns the shard, else True.
        """
        while True:
            try:
                await self.commit(*puts)
            except ShardClosedError:
                return False
            except OwnerError:
                await self.clock.sleep_ms(self.timing.retry_delay_ms)
                continue
            return True
