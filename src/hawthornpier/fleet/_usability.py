"""
Why no runs are started on a worker.
"""

import enum
from collections.abc import Callable

from hawthornpier.fleet._worker_state import WorkerState


class UnusableReason(enum.StrEnum):
    """
    Why runs may not be started on a worker.
    """

    # Another incarnation than the one in the registry replies.
    OTHER_INCARNATION = 'other incarnation'
    UNRESPONSIVE = 'unresponsive'
    NOT_LISTED = 'not listed'
    NOT_RECORDED = 'not recorded'
    LEAVING = 'leaving'
    NOT_REGISTERED = 'not registered'


def unusable_reason(worker: WorkerState) -> UnusableReason | None:
    """
    Return the first reason why a worker is not usable, or None if it is.
    """
    for reason, applies in _CHECKS:
        if applies(worker):
            return reason
    return None


_CHECKS: tuple[tuple[UnusableReason, Callable[[WorkerState], bool]], ...] = (
    (
        UnusableReason.OTHER_INCARNATION,
        lambda worker: worker.is_unresponsive and worker.is_superseded,
    ),
    (UnusableReason.UNRESPONSIVE, lambda worker: worker.is_unresponsive),
    (
        UnusableReason.NOT_REGISTERED,
        lambda worker: worker.is_deregistered or not worker.has_entry,
    ),
    (UnusableReason.LEAVING, lambda worker: worker.is_leaving),
    (UnusableReason.NOT_LISTED, lambda worker: not worker.is_listed),
    (UnusableReason.NOT_RECORDED, lambda worker: not worker.is_recorded),
)
