"""
Which workers of a shard take new work.
"""

import enum

from hawthornpier.messages import EventKind, HostRecord
from hawthornpier.owner._context import ShardContext
from hawthornpier.owner._link import LinkState, WorkerLink
from hawthornpier.policy import WorkerInfo


class ExclusionReason(enum.StrEnum):
    """
    Why nothing new is placed on a worker; several may hold at once.
    """

    LISTED_AS_LEAVING = 'the host list says that it leaves'
    REPORTED_LEAVING = 'it says that it leaves'
    UNREACHABLE = 'it does not answer'
    SUPERSEDED = 'it serves a later owner'


class WorkerExclusions:
    """
    Keeps the policy off workers for as long as a reason against them holds.
    """

    def __init__(self, context: ShardContext) -> None:
        self._context = context
        self._reasons_by_worker: dict[str, set[ExclusionReason]] = {}

    def is_excluded_for(self, worker_id: str, reason: ExclusionReason) -> bool:
        """
        Tell whether the worker is closed for this reason.
        """
        return reason in self._reasons_by_worker.get(worker_id, ())

    def exclude(
        self,
        link: WorkerLink,
        reason: ExclusionReason,
        detail: str = '',
    ) -> None:
        """
        Place nothing more on the worker until the reason is gone.
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
        Use the worker again if no reason against it is left.
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
    Return a worker of the host list as the policy knows it.
    """
    return WorkerInfo(
        worker_id=host.worker_id,
        region=host.region,
        failure_domain=host.failure_domain,
        rack=host.rack,
        capacity=host.capacity,
    )
