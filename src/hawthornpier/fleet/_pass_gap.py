"""
The time between two scheduling passes, and between the slices of one.
"""

# Shortest time between two passes, so that runs that start or end at about the
# same time are handled by one pass.
_MIN_GAP_MS = 6.0
# A pass is followed by a gap of at least its own duration multiplied by this,
# less the gaps between its slices.
_GAP_PER_PASS_TIME = 2.0
# But no longer than this: tasks that lost their run wait for the next pass, and
# a pass in which the process was suspended tells nothing about the backlog.
_MAX_GAP_MS = 500.0
# A slice is followed by a gap of its own duration multiplied by this.
_GAP_PER_SLICE_TIME = 1.0


def pass_gap_ms(pass_ms: float, paused_ms: float = 0) -> float:
    """
    Return how long to wait after a scheduling pass before the next one.

    It answers a backlog so large that a pass takes long: renewals of leases,
    listings and peers keep most of the process's time, and only new starts
    become rarer.

    Args:
        pass_ms: How long the slices of the pass took.
        paused_ms: How long the gaps between them were.
    """
    gap_ms = max(_MIN_GAP_MS, pass_ms * _GAP_PER_PASS_TIME - paused_ms)
    return min(gap_ms, _MAX_GAP_MS)


def slice_gap_ms(slice_ms: float) -> float:
    """
    Return how long to wait after a slice of a pass before the next one.

    Args:
        slice_ms: How long the slice took.
    """
    return min(slice_ms * _GAP_PER_SLICE_TIME, _MAX_GAP_MS)
