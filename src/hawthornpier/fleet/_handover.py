"""
Handover of a shard's state from the previous owner to the new one.

The previous owner may be running but unable to reach the store.  It stops
scheduling before it replies, so its reply limits the tasks that each worker
may be running until that worker has listed its runs to the new owner.
"""

from hawthornpier.fleet._crashes import (
    presume_missing_workers_crashed,
    restore_suspicions,
)
from hawthornpier.fleet._peer_port import (
    FleetPeer,
    Handover,
    PeerDialer,
    PeerGoneError,
)
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._writer import OwnerRow
from hawthornpier.ports import PeerError, PeerRefusedError
from hawthornpier.steps import encode_progress

# The handover is requested as often, with a pause, until the previous owner
# replies: what it could not store, it may tell only here.
_REQUEST_COUNT = 4
_REQUEST_PAUSE_MS = 300.0
# The previous owner has ended, or knows nothing of the epoch.
_FINAL_ERRORS = (PeerGoneError, PeerRefusedError)


def build_handover(shard: Shard) -> Handover:
    """
    Return the tasks that may be running and the progress not yet stored.

    Args:
        shard: The shard of the owner that gives it up.
    """
    tasks = {
        worker.worker_id: {run.task.key for run in worker.runs.values()}
        for worker in shard.workers.values()
        if worker.runs
    }
    unknown_workers = []
    for worker_id, unlisted_tasks in shard.unlisted_tasks.items():
        if unlisted_tasks is None:
            unknown_workers.append(worker_id)
        else:
            tasks.setdefault(worker_id, set()).update(unlisted_tasks)
    unstored = shard.dirty | shard.writing
    return Handover(
        epoch=shard.epoch,
        tasks={worker: sorted(keys) for worker, keys in tasks.items()},
        progress={
            job_id: encode_progress(shard.jobs[job_id]).decode()
            for job_id in unstored
            if job_id in shard.jobs
        },
        unknown_workers=unknown_workers,
    )


async def request_handover(
    shard: Shard,
    predecessor: OwnerRow | None,
    dial_peer: PeerDialer,
) -> None:
    """
    Request the handover from the previous owner and apply it.

    It limits the tasks that may be running on workers that have not listed
    their runs yet.  Without a reply, any task may be running there.

    Args:
        shard: The shard of the new owner.
        predecessor: The owner row that the claim replaced, if there was one.
        dial_peer: Creates the client of another process.
    """
    if predecessor is None:
        return
    peer = dial_peer(predecessor.card)
    try:
        handover = await _request(peer, predecessor.epoch, shard)
    except PeerError as error:
        shard.log.record(
            'handover_unknown',
            process=predecessor.card.process_id,
            epoch=predecessor.epoch,
            why=str(error),
        )
        return
    finally:
        peer.close()
    _apply_handover(shard, handover)
    restore_suspicions(shard)
    presume_missing_workers_crashed(shard)
    shard.log.record(
        'handover_received',
        process=predecessor.card.process_id,
        epoch=predecessor.epoch,
        unlisted_workers=len(shard.unlisted_tasks),
        unknown=len(handover.unknown_workers),
    )
    shard.wake.set()


async def _request(peer: FleetPeer, epoch: int, shard: Shard) -> Handover:
    for _ in range(_REQUEST_COUNT - 1):
        try:
            return await peer.hand_over(epoch)
        except _FINAL_ERRORS:
            raise
        except PeerError:
            await shard.clock.sleep_ms(_REQUEST_PAUSE_MS)
    return await peer.hand_over(epoch)


def _apply_handover(shard: Shard, handover: Handover) -> None:
    for job_id, progress in handover.progress.items():
        shard.apply_handover_progress(job_id, progress.encode())
    for worker_id in shard.unlisted_tasks:
        if worker_id not in handover.unknown_workers:
            tasks = handover.tasks.get(worker_id, ())
            shard.unlisted_tasks[worker_id] = frozenset(tasks)
