"""
Exclusion of workers from the placement of new work.
"""

import enum

from hawthornpier.messages import EventKind, HostRecord
from hawthornpier.owner._context import ShardContext
from hawthornpier.owner._link import LinkState, WorkerLink
from hawthornpier.policy import WorkerInfo


class ExclusionReason(enum.StrEnum):
    """
    A reason not to place new work on a worker.

    Several reasons may apply at once.  The values appear in event details.
    """

    LISTED_AS_LEAVING = 'the host list marks the worker as leaving'
    REPORTED_LEAVING = 'the worker reports that it is leaving'
    UNREACHABLE = 'the worker does not reply'
    DEPOSED = 'the worker rejects messages of this owner and has confirmed'


class WorkerExclusions:
    """
    Excludes workers from placement while at least one reason applies.
    """

    def __init__(self, context: ShardContext) -> None:
        self._context = context
        self._reasons_by_worker: dict[str, set[ExclusionReason]] = {}

    def is_excluded_for(self, worker_id: str, reason: ExclusionReason) -> bool:
        """
        Return whether *reason* applies to the worker.
        """
        return reason in self._reasons_by_worker.get(worker_id, ())

    def exclude(
        self,
        link: WorkerLink,
        reason: ExclusionReason,
        detail: str = '',
    ) -> None:
        """
        Exclude the worker from placement until *reason* is resolved.

        Repeated calls with the same reason have no effect.
        """
        reasons = self._reasons_by_worker.setdefault(link.worker_id, set())
        if reason in reasons:
            return
        reasons.add(reason)
        context = self._context
        context.policy.close_worker(link.worker_id, context.now_ms())
        context.events.record(
            EventKind.WORKER_LEAVING,
            shard=context.shard,
            worker_id=link.worker_id,
            detail=f'{reason.value} {detail}'.strip(),
        )

    def readmit(
        self, link: WorkerLink, *resolved_reasons: ExclusionReason
    ) -> None:
        """
        Remove reasons; include the worker again if none is left.

        A worker whose link is not open is included after its next fence.
        """
        policy = self._context.policy
        now_ms = self._context.now_ms()
        reasons = self._reasons_by_worker.setdefault(link.worker_id, set())
        reasons.difference_update(resolved_reasons)
        if reasons:
            policy.close_worker(link.worker_id, now_ms)
        elif link.state is LinkState.OPEN:
            policy.add_worker(worker_info_of(link.host), now_ms)


def worker_info_of(host: HostRecord) -> WorkerInfo:
    """
    Convert a record of the host list to the policy's description.
    """
    return WorkerInfo(
        worker_id=host.worker_id,
        region=host.region,
        failure_domain=host.failure_domain,
        rack=host.rack,
        capacity=host.capacity,
    )
