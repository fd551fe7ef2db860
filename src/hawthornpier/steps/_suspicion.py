"""
Runs that may have crashed a worker.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Suspicion:
    """
    A run on a worker that does not respond and that it may have crashed.

    *weight* is that of the evidence, once the worker is known to have crashed.
    The address and the incarnation are those of the worker; another incarnation
    that appears at the address shows that it has crashed.
    """

    attempt: int
    weight: int
    address: str = ''
    incarnation_ms: int = 0

    def is_replaced_at(self, address: str, incarnation_ms: int) -> bool:
        """
        Return whether an entry under another id names a later worker there.

        The entry of an earlier worker at the address may be written late.

        Args:
            address: The address in the entry.
            incarnation_ms: The Unix time at which that worker started.
        """
        is_later = 0 < self.incarnation_ms < incarnation_ms
        return is_later and self.address == address
