"""
Requests to workers that got no reply.
"""

from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._withdrawals import withdraw_unsent_starts
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.ports import WorkerError

# While a worker is in touch, it replies more often than this.  Of a longer
# time without a reply, for instance because this process was paused, a part may
# have passed after the worker had ended.
_IN_TOUCH_MS = 2_500.0


def record_error(
    shard: Shard,
    worker: WorkerState,
    error: WorkerError,
) -> None:
    """
    Record that a request failed.
    """
    _record_missed_reply(
        shard, worker, str(error), has_ended=error.has_disconnected
    )


def record_other_incarnation(
    shard: Shard,
    worker: WorkerState,
    why: str,
) -> None:
    """
    Record that another incarnation than the known one has replied.

    Args:
        shard: The state of the shard.
        worker: The worker.
        why: What shows it.
    """
    _record_missed_reply(shard, worker, why, has_ended=True)
    worker.is_superseded = True


def _record_missed_reply(
    shard: Shard,
    worker: WorkerState,
    why: str,
    *,
    has_ended: bool,
) -> None:
    worker.missed_reply_count += 1
    if worker.missed_reply_count > 1:
        withdraw_unsent_starts(shard, worker)
        return
    age_ms = shard.now_ms - worker.last_reply_ms
    worker.was_in_touch_at_end = has_ended and age_ms <= _IN_TOUCH_MS
    shard.log.record(
        'worker_lost',
        worker=worker.worker_id,
        last_reply_age_ms=int(age_ms),
        why=why,
    )
