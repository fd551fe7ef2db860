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
