"""
The slices that a scheduling pass is divided into.
"""

from hawthornpier.ports import Clock

# A pass that has kept the process for this long goes on in the next slice, so
# that renewals, listings and replies wait no longer for it.  Each slice begins
# with reading anew which workers may be used.
_SLICE_MS = 20.0


class PassSlice:
    """
    Tells when a slice of a pass has used its time.

    Args:
        clock: The clock of this process.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._began_ms: float = 0

    def begin(self) -> None:
        """
        Begin a slice.
        """
        self._began_ms = self._clock.monotonic_ms()

    @property
    def is_used(self) -> bool:
        """
        Return whether the pass is to let other work take place.
        """
        return self._clock.monotonic_ms() - self._began_ms >= _SLICE_MS
