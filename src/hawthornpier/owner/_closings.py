"""
Which workers of a shard take new work.
"""

import enum

from hawthornpier.messages import EventKind, HostRecord
from hawthornpier.owner._context import ShardContext
from hawthornpier.owner._link import LinkState, WorkerLink
from hawthornpier.policy import WorkerInfo


class Closing(enum.StrEnum):
    """
    Why nothing new is placed on a worker; several may hold at once.
    """

    LISTED_LEAVING = 'the host list says that it leaves'
    SAID_LEAVING = 'it says that it leaves'
    NO_ANSWER = 'it does not answer'
    DEPOSED = 'it serves a later owner'


class WorkerClosings:
    """
    Keeps the policy off workers for as long as a reason against them holds.
    """

    def __init__(self, context: ShardContext) -> None:
        self._context = context
        self._closings: dict[str, set[Closing]] = {}

    def holds(self, worker_id: str, closing: Closing) -> bool:
        """
        Tell whether the worker is closed for this reason.
        """
        return closing in self._closings.get(worker_id, ())

    def close(
        self,
        link: WorkerLink,
        closing: Closing,
        detail: str = '',
    ) -> None:
        """
        Place nothing more on the worker until the reason is gone.
        """
        closings = self._closings.setdefault(link.worker_id, set())
        if closing in closings:
            return
        closings.add(closing)
        context = self._context
        context.policy.close_worker(link.worker_id, context.now_ms())
        context.events.record(
            EventKind.WORKER_LEAVING,
            shard=context.shard,
            worker_id=link.worker_id,
            detail=f'{closing.value} {detail}'.strip(),
        )

    def reopen(self, link: WorkerLink, *gone: Closing) -> None:
        """
        Use the worker again if no reason against it is left.
        """
        policy = self._context.policy
        now_ms = self._context.now_ms()
        closings = self._closings.setdefault(link.worker_id, set())
        closings.difference_update(gone)
        if closings:
            policy.close_worker(link.worker_id, now_ms)
        elif link.state is LinkState.OPEN:
            policy.add_worker(worker_info(link.host), now_ms)


def worker_info(host: HostRecord) -> WorkerInfo:
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
