"""
Faults of the simulated platform services that can be set at run time.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreFaults:
    """
    The faults of the platform's services that are in force.

    Args:
        is_out: The table service, the object store and the host list reject
            every call, which then has no effect.
        added_delay_ms: Delay in ms before a call takes effect.
        lost_answer_count: Number of coming transactions whose replies are lost
            after they have taken effect.
        host_list_lag_ms: Age in ms of the host list that readers get.
    """

    is_out: bool = False
    added_delay_ms: float = 0
    lost_answer_count: int = 0
    host_list_lag_ms: int = 0
