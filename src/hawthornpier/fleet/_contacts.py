"""
When the other processes were last in contact with this one.
"""

from dataclasses import dataclass

from hawthornpier.ports import Clock

# Every process asks the owner for its status at shorter intervals than this.
# After a longer one, it was out of touch.
_MAX_INTERVAL_MS = 3_000.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Contact:
    """
    Uninterrupted contact with a process, on the monotonic clock.
    """

    since_ms: float
    last_ms: float


class Contacts:
    """
    The contacts of a process with the others.

    Args:
        clock: The clock of this process.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # By the address of the other process.
        self._contacts: dict[str, Contact] = {}

    def record(self, address: str) -> None:
        """
        Record a request of the process at an address.
        """
        now_ms = self._clock.monotonic_ms()
        contact = self._contacts.get(address)
        is_continued = contact and now_ms - contact.last_ms <= _MAX_INTERVAL_MS
        self._contacts[address] = Contact(
            since_ms=contact.since_ms if contact and is_continued else now_ms,
            last_ms=now_ms,
        )

    def last_ms(self, address: str, default_ms: float) -> float:
        """
        Return when a process was last in contact, by the monotonic clock.

        Args:
            address: The address of the process.
            default_ms: Returned if it never was.
        """
        contact = self._contacts.get(address)
        return default_ms if contact is None else contact.last_ms

    def heard_since(self, time_ms: float) -> set[str]:
        """
        Return the addresses of processes that were in contact since a time.
        """
        return {
            address
            for address, contact in self._contacts.items()
            if contact.last_ms >= time_ms
        }

    def duration_ms(self, address: str) -> float:
        """
        Return for how long a process has been in touch until now.

        Returns:
            0 if it is not in touch.
        """
        contact = self._contacts.get(address)
        now_ms = self._clock.monotonic_ms()
        if contact is None or now_ms - contact.last_ms > _MAX_INTERVAL_MS:
            return 0
        return now_ms - contact.since_ms
