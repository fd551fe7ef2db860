"""
The size of a host, measured by what the owner of a shard needs.
"""

from hawthornpier.fleet._writer import ProcessCard

# An owner uses about this much of its network link for each core that it uses.
_LINK_MBPS_PER_CORE = 50.0


def effective_cores(card: ProcessCard) -> float:
    """
    Return the processor cores that an owner on a host can use.

    A slow network link leaves the rest of them idle.

    Args:
        card: The process on the host.
    """
    return min(card.processor_cores, card.link_mbps / _LINK_MBPS_PER_CORE)
