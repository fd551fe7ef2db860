"""
The permission of a shard's owner to start runs.

It depends on what the owner has last learned from the store.
"""

from dataclasses import dataclass

from hawthornpier.ports import ActiveTime, Clock

# The permission is read at least this often; a longer interval means that the
# process was paused.
_MAX_STEP_MS = 500
# An owner that was paused for longer starts nothing until the store confirms
# that it still owns the shard.
_MAX_PAUSE_MS = 700.0


@dataclass(frozen=True, slots=True, kw_only=True)
class PermitMark:
    """
    A moment, on the monotonic clock and in active time.
    """

    monotonic_ms: float
    active_ms: float


class StartPermit:
    """
    Tells whether this process may still start runs as the owner of a shard.

    An outage of the store does not end the permission, since no other process
    can claim the shard either.  A pause of this process does, because another
    one may have become the owner meanwhile, and a worker that the new owner
    has not reached yet would still accept the start.

    Args:
        clock: The clock of this process.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._active = ActiveTime(clock, _MAX_STEP_MS)
        self._confirmed = self.mark()

    def mark(self) -> PermitMark:
        """
        Return the current moment; call this before a request to the store.
        """
        active_ms = self._active.read_ms()
        return PermitMark(
            monotonic_ms=self._clock.monotonic_ms(),
            active_ms=active_ms,
        )

    def confirm(self, sent: PermitMark) -> None:
        """
        Record that the store has replied to a request of the owner.

        Args:
            sent: When the request was sent.
        """
        self._confirmed = sent

    @property
    def age_ms(self) -> float:
        """
        Return how long ago the last confirmed request was sent.
        """
        return self._clock.monotonic_ms() - self._confirmed.monotonic_ms

    @property
    def is_valid(self) -> bool:
        """
        Return whether no pause has come since the last confirmed request.
        """
        now = self.mark()
        elapsed_ms = now.monotonic_ms - self._confirmed.monotonic_ms
        active_ms = now.active_ms - self._confirmed.active_ms
        return elapsed_ms - active_ms <= _MAX_PAUSE_MS
