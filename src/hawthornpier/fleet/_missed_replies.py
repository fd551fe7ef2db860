"""
Requests to a worker that got no reply.
"""

from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._withdrawals import withdraw_unsent_starts
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.ports import WorkerError

# The owner reads a reply too late if, since the request, it did not get to its
# work for this long.  The shortest requests are given up after 700 ms.
_OWN_DELAY_MS = 350.0
# Requests in a row that may be excused by the owner's own delay, so that a slow
# owner notices a worker that has crashed, too.
_MAX_EXCUSED_COUNT = 2
# While a worker is in touch, it replies more often than this.  Of a longer
# time without a reply, for instance because this process was paused, a part may
# have passed after the worker had ended.
_IN_TOUCH_MS = 2_500.0


class MissedReplies:
    """
    Counts the requests to a worker that got no reply.

    A process that was paused or behind its work gives up requests whose replies
    wait in its sockets.  Such a request is repeated before it counts against
    the worker.

    Args:
        shard: The state of the shard.
        worker: The worker.
    """

    def __init__(self, shard: Shard, worker: WorkerState) -> None:
        self._shard = shard
        self._worker = worker
        self._excused_count = 0
        # The worker's last reply before these requests.
        self._last_reply_ms: float | None = None

    @property
    def is_excused(self) -> bool:
        """
        Return whether the last request without a reply was excused.
        """
        has_replied = self._worker.last_reply_ms != self._last_reply_ms
        return self._excused_count > 0 and not has_replied

    def is_own_delay(self, sent_ms: float) -> bool:
        """
        Return whether the owner may have been too late to read a reply.

        Args:
            sent_ms: When the request was sent.
        """
        now_ms = self._shard.now_ms
        return self._shard.load.late_ms(sent_ms, now_ms) >= _OWN_DELAY_MS

    def record_error(self, error: WorkerError, sent_ms: float) -> None:
        """
        Record a request without a reply, unless it may be excused.

        Args:
            error: The reason.
            sent_ms: When the request was sent.
        """
        if self._worker.last_reply_ms != self._last_reply_ms:
            self._last_reply_ms = self._worker.last_reply_ms
            self._excused_count = 0
        may_excuse = self._excused_count < _MAX_EXCUSED_COUNT
        if may_excuse and self.is_own_delay(sent_ms):
            self._excused_count += 1
            # Another incarnation may have received it.
            self._worker.may_have_restarted = True
        else:
            record_missed_reply(
                self._shard,
                self._worker,
                str(error),
                has_ended=error.has_disconnected,
            )


def record_missed_reply(
    shard: Shard,
    worker: WorkerState,
    why: str,
    *,
    has_ended: bool,
) -> None:
    """
    Record a request that the known incarnation of a worker did not answer.

    Args:
        shard: The state of the shard.
        worker: The worker.
        why: The reason, for the log.
        has_ended: Whether the incarnation may have ended.
    """
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
