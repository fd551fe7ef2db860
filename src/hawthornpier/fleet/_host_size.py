"""
The size of a host, measured by what the owner of a shard needs.
"""

import math
import zlib
from collections.abc import Iterable

from hawthornpier.fleet._writer import ProcessCard

# An owner uses about this much of its network link for each core that it uses.
_LINK_MBPS_PER_CORE = 50.0
# Sizes beyond these are not believed.
_MIN_CORES = 0.01
_MAX_CORES = 256.0
_HASH_RANGE = 2**32


def effective_cores(card: ProcessCard) -> float:
    """
    Return the processor cores that an owner on a host can use.

    A slow network link leaves the rest of them idle.

    Args:
        card: The process on the host.
    """
    cores = min(card.processor_cores, card.link_mbps / _LINK_MBPS_PER_CORE)
    return min(max(cores, _MIN_CORES), _MAX_CORES)


def ranked_by_size(cards: Iterable[ProcessCard], key: str) -> list[ProcessCard]:
    """
    Return processes by weighted rendezvous hashing for a key.

    Larger hosts come first for more keys.  When a process comes or goes, the
    others keep their order.

    Args:
        cards: The processes.
        key: What the processes are ordered for.
    """
    return sorted(cards, key=lambda card: _score(card, key))


def _score(card: ProcessCard, key: str) -> float:
    digest = zlib.crc32(f'{key}|{card.address}'.encode())
    fraction = (digest + 1) / (_HASH_RANGE + 1)
    return -math.log(fraction) / max(effective_cores(card), _MIN_CORES)
