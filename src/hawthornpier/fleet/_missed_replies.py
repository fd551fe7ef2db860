"""
Requests to a worker that got no reply.
"""

from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._withdrawals import withdraw_unsent_starts
from hawthornpier.fleet._worker_state import WorkerState

# The owner reads a reply too late if, since the request, it did not get to its
# work for this long.  The shortest requests are given up after 700 ms.
_OWN_DELAY_MS = 350.0
# Requests in a row that may be excused by the owner's own delay, so that a slow
# owner notices a worker that has crashed, too.
_MAX_EXCUSED_COUNT = 2


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

    def record_unless_excused(self, why: str, sent_ms: float) -> None:
        """
        Record a request without a reply, unless it may be excused.

        Args:
            why: The reason, for the log.
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
            self.record(why)

    def record(self, why: str) -> None:
        """
        Record a request without a reply.

        Args:
            why: The reason, for the log.
        """
        worker = self._worker
        worker.missed_reply_count += 1
        if worker.missed_reply_count == 1:
            age_ms = self._shard.now_ms - worker.last_reply_ms
            self._shard.log.record(
                'worker_lost',
                worker=worker.worker_id,
                last_reply_age_ms=int(age_ms),
                why=why,
            )
        else:
            withdraw_unsent_starts(self._shard, worker)
