"""
The choice of the relays for the workers of a shard.
"""

import math
from collections.abc import Container, Iterable, Iterator
from dataclasses import dataclass

from hawthornpier.fleet._host_size import ranked_by_size
from hawthornpier.fleet._writer import ProcessCard

# An owner contacts this many workers per processor core of its host itself.
# With more, relays do.
_DIRECT_WORKERS_PER_CORE = 100
# A relay serves about this many workers.
_WORKERS_PER_RELAY = 12
# Further relays that are ready to replace one of a failure domain.
_SPARE_RELAYS = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerPlace:
    """
    A worker and its failure domain.
    """

    worker_id: str
    failure_domain: str


def needs_relays(worker_count: int, cores: float) -> bool:
    """
    Return whether the owner needs relays for its workers.

    It answers installations in which requests to the workers would take most
    of the owner's processor time or of its network link.

    Args:
        worker_count: The number of workers of the shard.
        cores: The cores that the owner can use on its host.
    """
    return worker_count > cores * _DIRECT_WORKERS_PER_CORE


def assign_relays(
    workers: Iterable[WorkerPlace],
    cards: Iterable[ProcessCard],
    *,
    own_address: str,
    unusable: Container[str] = (),
) -> dict[str, tuple[str, ...]]:
    """
    Return the addresses of the relays for each worker, preferred ones first.

    The relays of a worker are in its failure domain if there are any, else in
    any.  Larger hosts are chosen more often.  When one process comes or goes,
    only the workers that it serves change their relay.

    Args:
        workers: All workers of the shard.
        cards: The entry processes.
        own_address: The address of the owner, which is no relay.
        unusable: Addresses of relays that are slow or to which no connection
            could be opened.  They remain relays, in case they recover, but
            further ones are chosen.
    """
    others = [card for card in cards if card.address != own_address]
    by_domain: dict[str, list[WorkerPlace]] = {}
    for worker in workers:
        by_domain.setdefault(worker.failure_domain, []).append(worker)
    assigned: dict[str, tuple[str, ...]] = {}
    for domain, places in by_domain.items():
        near = [card for card in others if card.failure_domain == domain]
        count = math.ceil(len(places) / _WORKERS_PER_RELAY) + _SPARE_RELAYS
        relays = tuple(
            _first_usable(
                ranked_by_size(near or others, domain), count, unusable
            )
        )
        for place in places:
            assigned[place.worker_id] = tuple(
                card.address for card in ranked_by_size(relays, place.worker_id)
            )
    return assigned


def _first_usable(
    ranked: Iterable[ProcessCard], count: int, unusable: Container[str]
) -> Iterator[ProcessCard]:
    """
    Yield processes until a number of usable ones is among them.
    """
    for card in ranked:
        if count == 0:
            return
        yield card
        count -= card.address not in unusable
