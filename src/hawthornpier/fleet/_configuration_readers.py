"""
The choice of the processes that read the configuration for the others.
"""

from collections.abc import Collection, Mapping

from hawthornpier.fleet._host_size import effective_cores, ranked_by_size
from hawthornpier.fleet._peer_port import FleetPeer
from hawthornpier.fleet._writer import ProcessCard
from hawthornpier.ports import Clock

# Number of processes in each region that read the configuration from the store.
# The others request it from these readers, because many copies of a large
# configuration would saturate the link between two regions.
_READER_COUNT = 5
# A process that has not replied is no reader for this long.
_SILENT_MS = 10_000.0
# A reader whose version was not current is asked after the others for this
# long.  It remains a reader: in an outage of the store, all versions are old.
_STALE_MS = 2_000.0


def readers_of(
    name: str,
    cards: Mapping[str, ProcessCard],
    *,
    silent: Collection[str],
) -> list[ProcessCard]:
    """
    Return the readers from which a process requests the configuration.

    The readers are the largest hosts of its region.  A host that does not reply
    is replaced by the next one.  Processes may disagree on that for a while: a
    process that is asked without being a reader replies with the version of the
    readers that it follows, and with the age of their confirmation.

    Args:
        name: The host of the process.
        cards: The registered processes, by host name.
        silent: Addresses of processes that have not replied.

    Returns:
        The readers to ask first come first, so that larger ones serve more
        processes.  The list is empty if the process is a reader itself, or if
        it has not read its own entry yet.
    """
    own = cards.get(name)
    if own is None:
        return []
    rank = _rank(name, own)
    larger = sorted(
        _rank(other, card)
        for other, card in cards.items()
        if card.region == own.region
        and card.address not in silent
        and _rank(other, card) < rank
    )
    if len(larger) < _READER_COUNT:
        return []
    readers = [cards[other] for _, other in larger[:_READER_COUNT]]
    return ranked_by_size(readers, name)


def _rank(name: str, card: ProcessCard) -> tuple[float, str]:
    return (-effective_cores(card), name)


class ReaderHealth:
    """
    Remembers which processes have not replied with a current version.

    Args:
        clock: The clock of this process.
    """

    def __init__(self, clock: Clock) -> None:
        # The reader whose last reply was current.
        self.followed = ''
        self._clock = clock
        self._silent_until_ms: dict[str, float] = {}
        self._stale_until_ms: dict[str, float] = {}

    def silent(self) -> set[str]:
        """
        Return the addresses of processes that have not replied.
        """
        return self._current(self._silent_until_ms)

    def in_order(self, readers: list[FleetPeer]) -> list[FleetPeer]:
        """
        Return readers with those last whose version was not current.
        """
        stale = self._current(self._stale_until_ms)
        return sorted(readers, key=lambda each: each.card.address in stale)

    def record_silence(self, address: str) -> None:
        """
        Record that a process has sent no usable reply.
        """
        self._silent_until_ms[address] = self._clock.monotonic_ms() + _SILENT_MS
        self.followed = ''

    def record_stale(self, address: str) -> None:
        """
        Record that a process has replied with a version that is not current.
        """
        self._stale_until_ms[address] = self._clock.monotonic_ms() + _STALE_MS
        self.followed = ''

    def record_current(self, address: str) -> None:
        """
        Record that a process has replied with a current version.
        """
        self._stale_until_ms.pop(address, None)
        self.followed = address

    def _current(self, until_ms: dict[str, float]) -> set[str]:
        now_ms = self._clock.monotonic_ms()
        ended = [each for each, end in until_ms.items() if end <= now_ms]
        for address in ended:
            until_ms.pop(address)
        return set(until_ms)
