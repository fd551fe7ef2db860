"""
The other entry processes as this one knows them.
"""

from collections.abc import Mapping

from hawthornpier.fleet._contacts import Contacts
from hawthornpier.fleet._peer_port import FleetPeer, PeerDialer
from hawthornpier.fleet._succession import Candidate
from hawthornpier.fleet._writer import ProcessCard
from hawthornpier.ports import Clock

# A process that has not asked this one for its status for so long, although
# every process asks the owner all the time, has left.
_ABSENCE_MS = 30_000.0
# Number of processes in each region that read the configuration from the store.
# The others request it from these readers, because many copies of a large
# configuration would saturate the link between two regions.
_READER_COUNT = 5


class PeerTable:
    """
    Keeps one client for each other process, and when it was last heard of.

    Args:
        address: The address of this process.
        cards: The registered processes, by host name.
        dial: Creates the client of a process.
        clock: The clock of this process.
    """

    def __init__(
        self,
        address: str,
        *,
        cards: Mapping[str, ProcessCard],
        dial: PeerDialer,
        clock: Clock,
    ) -> None:
        self._address = address
        self._cards = cards
        self._dial = dial
        self._peers: dict[str, FleetPeer] = {}
        # Requests of the other processes for the status of this one.
        self._contacts = Contacts(clock)

    def get(self, card: ProcessCard) -> FleetPeer:
        """
        Return the client of a process.
        """
        peer = self._peers.get(card.address)
        if peer is None:
            peer = self._dial(card)
            self._peers[card.address] = peer
        return peer

    def others(self) -> list[FleetPeer]:
        """
        Return the clients of all other registered processes.
        """
        return [
            self.get(card)
            for card in self._cards.values()
            if card.address != self._address
        ]

    def readers(self, name: str, region: str) -> list[FleetPeer]:
        """
        Return the processes that read the configuration for a region.

        Args:
            name: The name of this host.
            region: Its region.

        Returns:
            An empty list if this process is one of them, or if it has not read
            its own entry yet.
        """
        names = sorted(
            other
            for other, card in self._cards.items()
            if card.region == region
        )
        readers = names[:_READER_COUNT]
        if name in readers or name not in names:
            return []
        return [self.get(self._cards[reader]) for reader in readers]

    def record_contact(self, address: str) -> None:
        """
        Record that a process has asked for the status of this one.
        """
        self._contacts.record(address)

    def candidates(self) -> list[Candidate]:
        """
        Return the other processes, and for how long they have been in touch.
        """
        return [
            Candidate(
                card=card,
                contact_ms=self._contacts.duration_ms(card.address),
            )
            for card in self._cards.values()
            if card.address != self._address
        ]

    def heard_since(self, time_ms: float) -> set[str]:
        """
        Return the addresses of processes that have asked since a time.
        """
        return self._contacts.heard_since(time_ms)

    def claimants(
        self,
        owned_since_ms: float,
        confirmed_ms: float,
    ) -> list[FleetPeer] | None:
        """
        Return the processes that may have claimed the shard from this one.

        Processes that had left by the time of the last confirmation cannot.
        Silence after that may be due to a partition from the others, and is no
        evidence.

        Args:
            owned_since_ms: Since when this process has owned the shard, on the
                monotonic clock.
            confirmed_ms: When the store last confirmed that it does.

        Returns:
            None if the other processes are not known yet.
        """
        if not self._cards:
            return None
        oldest_ms = confirmed_ms - _ABSENCE_MS
        return [
            peer
            for peer in self.others()
            if self._contacts.last_ms(peer.card.address, owned_since_ms)
            >= oldest_ms
        ]

    def close(self) -> None:
        """
        Close the connections.
        """
        for peer in self._peers.values():
            peer.close()
