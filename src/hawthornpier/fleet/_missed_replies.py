"""
Requests to workers that got no reply, or that of another incarnation.
"""

from hawthornpier.fleet._crashes import end_crashed_incarnation
from hawthornpier.fleet._ports import Verdict
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


def end_if_replaced(shard: Shard, worker: WorkerState) -> bool:
    """
    Record that another worker has replied, and end the runs at the second time.

    The registry may keep the entry of the ended incarnation for seconds.

    Returns:
        Whether the runs have ended.
    """
    why = 'another worker replied'
    record_other_incarnation(shard, worker, why)
    is_confirmed = worker.confirms_other(Verdict.OTHER_INCARNATION)
    if is_confirmed:
        end_crashed_incarnation(shard, worker, why)
    return is_confirmed


def check_clock(
    shard: Shard,
    worker: WorkerState,
    clock_ms: int,
    sent_ms: float,
) -> None:
    """
    Note that the next incarnation replied, which a restarted clock shows.

    Args:
        shard: The state of the shard.
        worker: The worker.
        clock_ms: The clock in a reply to an order, or 0 if it has none.
        sent_ms: When the order was sent.
    """
    if worker.clock.has_restarted(clock_ms, sent_ms):
        record_other_incarnation(shard, worker, 'the clock has restarted')


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
