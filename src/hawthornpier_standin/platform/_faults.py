"""
Faults of the platform's services that can be switched at run time.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreFaults:
    """
    What is wrong with the platform's services at the moment.

    Args:
        is_out: The table service, the object store and the host list refuse
            every call before they apply it.
        added_delay_ms: Time that passes before a call takes effect.
        lost_answer_count: Number of coming transactions that take effect
            and whose answers are lost.
        host_list_lag_ms: Age of the host list that readers get.
    """

    is_out: bool = False
    added_delay_ms: float = 0
    lost_answer_count: int = 0
    host_list_lag_ms: int = 0
