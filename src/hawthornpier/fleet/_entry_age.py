"""
How long the registry's last readable entry of a worker has been known.
"""

import enum


class IgnoredEntry(enum.StrEnum):
    """
    Why a row of the registry has not replaced the known entry of a worker.
    """

    UNREADABLE = 'unreadable'
    OTHER_INCARNATION = 'another incarnation or address'


class EntryAge:
    """
    When the entry of a worker was last read, and since when rows are ignored.
    """

    def __init__(self) -> None:
        # Both by the owner's monotonic clock, and 0 if there is none.
        self.read_ms: float = 0
        self.ignored_since_ms: float = 0
        self.ignored: IgnoredEntry | None = None

    def accept(self, now_ms: float) -> None:
        """
        Record that a row was applied.
        """
        self.read_ms = now_ms
        self.ignored_since_ms = 0
        self.ignored = None

    def ignore(self, why: IgnoredEntry, now_ms: float) -> None:
        """
        Record that a row was not applied.
        """
        self.ignored = why
        self.ignored_since_ms = self.ignored_since_ms or now_ms
