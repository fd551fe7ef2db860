"""
Resource vectors for the capacity of workers and the demand of work.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Resources:
    """
    A vector of resources, used for capacities, demands and usages.

    *slot_count* counts the execution slots for tasks and requests.
    """

    processor_millis: int = 0
    memory_bytes: int = 0
    accelerator_count: int = 0
    slot_count: int = 0

    def __add__(self, other: 'Resources') -> 'Resources':
        return Resources(
            processor_millis=self.processor_millis + other.processor_millis,
            memory_bytes=self.memory_bytes + other.memory_bytes,
            accelerator_count=self.accelerator_count + other.accelerator_count,
            slot_count=self.slot_count + other.slot_count,
        )

    def __sub__(self, other: 'Resources') -> 'Resources':
        return Resources(
            processor_millis=self.processor_millis - other.processor_millis,
            memory_bytes=self.memory_bytes - other.memory_bytes,
            accelerator_count=self.accelerator_count - other.accelerator_count,
            slot_count=self.slot_count - other.slot_count,
        )

    def fits_in(self, free: 'Resources') -> bool:
        """
        Return whether this demand is at most *free* in every dimension.
        """
        return (
            self.processor_millis <= free.processor_millis
            and self.memory_bytes <= free.memory_bytes
            and self.accelerator_count <= free.accelerator_count
            and self.slot_count <= free.slot_count
        )
