"""
What the owner of a shard may do, by what it has last learned.
"""

from dataclasses import dataclass

from hawthornpier.ports import ActiveTime, Clock

# The permission is read at least this often; a longer interval means that the
# process was paused.
_MAX_STEP_MS = 500
# An owner that was paused for longer starts nothing until the store confirms
# that it still owns the shard.
_MAX_PAUSE_MS = 700.0
# How long a start may take to reach its worker.
_ORDER_DELIVERY_MS = 700.0
# After a change of the owner, the previous one may still send orders and renew
# leases for this long.
STALE_ORDER_MS = 2_500.0


@dataclass(frozen=True, slots=True, kw_only=True)
class PermitMark:
    """
    A moment, on the monotonic clock and in active time.
    """

    monotonic_ms: float
    active_ms: float


class PausePermit:
    """
    Tells whether this process has been paused since it last asked the store.

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


class OwnerPermits:
    """
    Tells what this process may still do as the owner of a shard.

    An outage of the store does not end the ownership, since no other process
    can claim the shard either.  But the store may be out for this process only.
    Then another one may have become the owner, and a worker that it does not
    reach would still take orders and leases from this process.

    Args:
        clock: The clock of this process.
        contact_ms: For how long a smaller capacity of a worker need not be
            known after the worker has reported it.
        claim: The permission by the claim of the shard, if there was one.
    """

    def __init__(
        self,
        clock: Clock,
        contact_ms: float,
        claim: PausePermit | None = None,
    ) -> None:
        self._clock = clock
        self._capacity_max_age_ms = contact_ms - _ORDER_DELIVERY_MS
        # Confirmed by writes to the store, and by reads of the registry.
        self.writes = claim or PausePermit(clock)
        self.registry = PausePermit(clock)
        # Services whose workers execute every start, also beyond their
        # capacity.
        self.unguarded_services: frozenset[str] = frozenset()
        self._unclaimed_ms = clock.monotonic_ms() - self.writes.age_ms

    def confirm_unclaimed(self, asked_ms: float) -> None:
        """
        Record that no other process had claimed the shard.

        Args:
            asked_ms: When the other processes were asked, on the monotonic
                clock.
        """
        self._unclaimed_ms = asked_ms

    @property
    def is_unclaimed(self) -> bool:
        """
        Return whether no other process can have been the owner for long.

        Only then may leases be renewed.  The next owner waits until leases that
        are granted up to `STALE_ORDER_MS` after its claim have expired.
        """
        asked_age_ms = self._clock.monotonic_ms() - self._unclaimed_ms
        return min(self.writes.age_ms, asked_age_ms) <= STALE_ORDER_MS

    @property
    def may_start(self) -> bool:
        """
        Return whether runs may be started.
        """
        return (
            self.writes.is_valid
            and self.registry.is_valid
            and self.is_unclaimed
        )

    def may_start_on(self, service: str) -> bool:
        """
        Return whether runs may be started on the workers of a service.

        Workers that do not check their capacity may have shrunk since the
        registry was last read.
        """
        if not self.may_start:
            return False
        return (
            service not in self.unguarded_services
            or self.registry.age_ms <= self._capacity_max_age_ms
        )
