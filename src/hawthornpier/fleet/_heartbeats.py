"""
Signs of life of workers in the registry.
"""

from hawthornpier.fleet._crash_evidence import FRESH_RUN_MS
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.steps import weaken_suspicion


def record_heartbeat(
    shard: Shard,
    worker: WorkerState,
    alive_ms: float,
) -> None:
    """
    Weaken the evidence against runs whose start a silent worker has outlived.

    Its replies may be lost while it goes on to send heartbeats to the registry.

    Args:
        shard: The state of the shard.
        worker: The worker.
        alive_ms: A time before the heartbeat, by the owner's clock.
    """
    worker.heartbeat_ms = max(worker.heartbeat_ms, alive_ms)
    if alive_ms - worker.suspected_ms < FRESH_RUN_MS:
        return
    for task in worker.suspected_tasks:
        if weaken_suspicion(task, worker.worker_id):
            shard.mark_dirty(task)
