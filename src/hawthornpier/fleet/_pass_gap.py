"""
The time between two scheduling passes.
"""

# Shortest time between two passes, so that runs that start or end at about the
# same time are handled by one pass.
_MIN_GAP_MS = 6.0
# A pass is followed by a gap of at least its own duration multiplied by this.
_GAP_PER_PASS_TIME = 2.0
# But no longer than this: tasks that lost their run wait for the next pass, and
# a pass in which the process was suspended tells nothing about the backlog.
_MAX_GAP_MS = 3_000.0


def pass_gap_ms(pass_ms: float) -> float:
    """
    Return how long to wait after a scheduling pass before the next one.

    It answers a backlog so large that a pass takes long: renewals of leases,
    listings and peers keep most of the process's time, and only new starts
    become rarer.

    Args:
        pass_ms: How long the pass took.
    """
    gap_ms = max(_MIN_GAP_MS, pass_ms * _GAP_PER_PASS_TIME)
    return min(gap_ms, _MAX_GAP_MS)
