"""
The time between two scheduling passes.
"""

# Shortest time between two passes, so that runs that start or end at about the
# same time are handled by one pass.
_MIN_GAP_MS = 6.0
# A pass is followed by a gap of at least its own duration multiplied by this.
_GAP_PER_PASS_TIME = 2.0


def pass_gap_ms(pass_ms: float) -> float:
    """
    Return how long to wait after a scheduling pass before the next one.

    It answers a backlog so large that a pass takes long: renewals of leases,
    listings and peers keep most of the process's time, and only new starts
    become rarer.

    Args:
        pass_ms: How long the pass took.
    """
    return max(_MIN_GAP_MS, pass_ms * _GAP_PER_PASS_TIME)
