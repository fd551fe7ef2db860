"""
The requests of a shard's owner to its workers.
"""

import asyncio

from hawthornpier.fleet._context import FleetContext
from hawthornpier.fleet._errors import error_text
from hawthornpier.fleet._listings import ListingReconciler
from hawthornpier.fleet._parts import run_part
from hawthornpier.fleet._ports import FleetWorker, WorkerDialer
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._worker_link import WorkerLink
from hawthornpier.fleet._worker_state import IncarnationObserver, WorkerState

# After an unexpected error, the requests to a worker begin anew after this
# time.
_RESTART_MS = 500.0


class WorkerLinks:
    """
    Keeps one link to the known incarnation of each worker.

    Args:
        shard: The state of the shard.
        context: Dependencies and settings of this process.
        dial: Creates the client of one incarnation of a worker.
        group: The owner's background tasks, to which those of links belong.
        on_incarnation: Called if a worker replies as another incarnation.
    """

    def __init__(
        self,
        shard: Shard,
        context: FleetContext,
        dial: WorkerDialer,
        group: asyncio.TaskGroup,
        *,
        on_incarnation: IncarnationObserver,
    ) -> None:
        self._shard = shard
        self._context = context
        self._dial = dial
        self._group = group
        self._on_incarnation = on_incarnation
        self._listings = ListingReconciler(shard)
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def start(self, worker: WorkerState) -> None:
        """
        Begin to send requests to a worker, unless that has begun.
        """
        if worker.worker_id not in self._tasks:
            self._tasks[worker.worker_id] = self._group.create_task(
                self._run_link(worker),
            )

    def stop(self, worker_id: str) -> None:
        """
        Send no further requests to a worker.
        """
        task = self._tasks.pop(worker_id, None)
        if task is not None:
            task.cancel()

    def restart(self, worker: WorkerState) -> None:
        """
        Send requests to the incarnation and the address of the known entry.
        """
        self.stop(worker.worker_id)
        self.start(worker)

    async def _run_link(self, worker: WorkerState) -> None:
        client = self._dial(worker.entry)
        try:
            while True:
                await self._run_link_once(worker, client)
                await self._context.clock.sleep_ms(_RESTART_MS)
        finally:
            client.close()

    async def _run_link_once(
        self, worker: WorkerState, client: FleetWorker
    ) -> None:
        link = WorkerLink(
            worker,
            client,
            shard=self._shard,
            listings=self._listings,
            timings=self._context.worker_timings,
            on_incarnation=self._on_incarnation,
        )
        try:
            await run_part(link.run)
        except Exception as error:
            # An error that concerns one worker must not end the owner.
            self._context.log.record(
                'worker_link_failed',
                worker=worker.worker_id,
                why=error_text(error),
            )
