"""
How many starts the owner of a shard may have in flight.
"""

# A new owner begins with as many.
_FIRST_LIMIT = 128.0
_MIN_LIMIT = 8.0
_MAX_LIMIT = 1_024.0


class StartWindow:
    """
    Limits the starts in flight by how late the owner reads the replies.

    It answers an owner that sends starts faster than its process takes the
    replies: all of them time out at about the same time and are sent anew.
    The limit grows by one with each reply in time, until the owner's own delay
    has made one late.  Then it is halved, and grows by one with each window of
    replies.
    """

    def __init__(self) -> None:
        self._limit = _FIRST_LIMIT
        # When the limit was last halved.
        self._halved_ms: float | None = None

    @property
    def limit(self) -> int:
        """
        Return how many starts may be in flight.
        """
        return int(self._limit)

    @property
    def is_reduced(self) -> bool:
        """
        Return whether fewer starts may be in flight than at the beginning.
        """
        return self._limit < _FIRST_LIMIT

    def record_reply(
        self, sent_ms: float, now_ms: float, *, is_late: bool
    ) -> None:
        """
        Adapt the limit to a reply.

        Replies to starts that were sent before the last halving do not halve
        the limit again.

        Args:
            sent_ms: When the start was sent.
            now_ms: When the reply was read, or given up.
            is_late: Whether the owner's own delay made it late.
        """
        if not is_late:
            step = 1 if self._halved_ms is None else 1 / self._limit
            self._limit = min(self._limit + step, _MAX_LIMIT)
        elif self._halved_ms is None or sent_ms >= self._halved_ms:
            self._limit = max(self._limit / 2, _MIN_LIMIT)
            self._halved_ms = now_ms
