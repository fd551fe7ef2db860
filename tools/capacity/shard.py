"""
Scheduler, workers and demand for the measurements of the policy.
"""

from hawthornpier.messages import Resources
from hawthornpier.policy import PolicySettings, Scheduler, WorkerInfo

CAPACITY = Resources(
    processor_millis=32_000,
    memory_bytes=125_000_000_000,
    slot_count=8,
)
# Eight of these use all slots of a worker but not all of its CPU and memory.
DEMAND = Resources(
    processor_millis=2_000,
    memory_bytes=4_000_000_000,
    slot_count=1,
)


def new_scheduler() -> Scheduler:
    """
    Return a scheduler with the default settings.
    """
    return Scheduler(settings=PolicySettings(), seed=1)


def make_worker(index: int) -> WorkerInfo:
    """
    Return the worker with number *index*; eight share a rack.
    """
    return WorkerInfo(
        worker_id=f'worker-moose-jaw-{index:05d}',
        region='south-saskatchewan',
        failure_domain='moose-jaw',
        rack=f'rack-{index // 8}',
        capacity=CAPACITY,
    )
