"""
Replies of another incarnation of a worker than the known one.
"""

from hawthornpier.fleet._crashes import end_crashed_incarnation
from hawthornpier.fleet._missed_replies import record_missed_reply
from hawthornpier.fleet._ports import Verdict
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._worker_state import WorkerState


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
    record_missed_reply(shard, worker, why, has_ended=True)
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
