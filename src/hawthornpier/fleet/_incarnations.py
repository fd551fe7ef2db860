"""
The incarnations of workers, which the workers themselves attest.

An entry of the registry may be outdated or from another writer.  If it names
another incarnation or address than is known, the worker is asked there, and
nothing changes until it replies.
"""

import asyncio
import dataclasses
from functools import partial

from hawthornpier.fleet._context import FleetContext
from hawthornpier.fleet._crashes import confirm_crash
from hawthornpier.fleet._errors import error_text
from hawthornpier.fleet._other_incarnations import record_other_incarnation
from hawthornpier.fleet._parts import run_part
from hawthornpier.fleet._ports import (
    FleetWorker,
    Renewal,
    Verdict,
    WorkerDialer,
    WorkerEntry,
    WorkerListing,
)
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._withdrawals import withdraw_unsent_starts
from hawthornpier.fleet._worker_links import WorkerLinks
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.ports import WorkerError
from hawthornpier.steps import RunOutcome, RunPhase


@dataclasses.dataclass(slots=True, kw_only=True)
class _Suggestion:
    """
    An entry that the worker has not confirmed, and the task that asks it.
    """

    entry: WorkerEntry
    is_registered: bool
    inquiry: asyncio.Task[None] | None = None


class Incarnations:
    """
    Begins the next incarnation of a worker once the worker replies as such.

    Args:
        shard: The state of the shard.
        context: Dependencies and settings of this process.
        dial: Creates the client of one incarnation of a worker.
        group: The owner's background tasks, to which those of links belong.
    """

    def __init__(
        self,
        shard: Shard,
        context: FleetContext,
        dial: WorkerDialer,
        group: asyncio.TaskGroup,
    ) -> None:
        self.links = WorkerLinks(
            shard, context, dial, group, on_incarnation=self.report
        )
        self._shard = shard
        self._context = context
        self._dial = dial
        self._group = group
        self._suggestions: dict[str, _Suggestion] = {}

    def suggest(
        self, worker: WorkerState, entry: WorkerEntry, *, is_registered: bool
    ) -> None:
        """
        Ask a worker whether an entry is right that differs from the known one.

        Args:
            worker: The worker.
            entry: Its entry, with another incarnation or address.
            is_registered: Whether the registry has the entry.
        """
        suggestion = self._suggestions.get(worker.worker_id)
        if suggestion and entry.is_same_incarnation(suggestion.entry):
            suggestion.entry = entry
            suggestion.is_registered |= is_registered
            return
        self.withdraw(worker.worker_id)
        suggestion = _Suggestion(entry=entry, is_registered=is_registered)
        self._suggestions[worker.worker_id] = suggestion
        suggestion.inquiry = self._group.create_task(
            self._inquire(worker, suggestion)
        )

    def withdraw(self, worker_id: str) -> None:
        """
        Forget the entry that a worker was asked about, if there is one.
        """
        suggestion = self._suggestions.pop(worker_id, None)
        if suggestion and suggestion.inquiry is not None:
            suggestion.inquiry.cancel()

    def remove(self, worker_id: str) -> None:
        """
        End the requests to a worker that is removed from the shard.
        """
        self.withdraw(worker_id)
        self.links.stop(worker_id)

    def report(
        self,
        worker: WorkerState,
        incarnation_ms: int,
        address: str = '',
    ) -> bool:
        """
        Begin an incarnation once a second source names it.

        That is the registry or the next reply; a single reply may be wrong.

        Args:
            worker: The worker.
            incarnation_ms: Unix time at which the incarnation started,
                according to a reply.
            address: Where it replied; by default, at the known address.

        Returns:
            Whether it has begun.
        """
        suggestion = self._suggestions.get(worker.worker_id)
        is_registered = (
            suggestion is not None
            and suggestion.entry.incarnation_ms == incarnation_ms
        )
        if not worker.confirms_other(incarnation_ms) and not is_registered:
            return False
        self.begin(worker, incarnation_ms, address)
        return True

    def begin(
        self,
        worker: WorkerState,
        incarnation_ms: int,
        address: str = '',
    ) -> None:
        """
        Begin an incarnation of a worker, as which the worker has replied.

        Until the registry has an entry of it, its capacity is unknown, so that
        nothing is started there.

        Args:
            worker: The worker.
            incarnation_ms: Unix time at which the incarnation started.
            address: Where it replied; by default, at the known address.
        """
        suggestion = self._suggestions.get(worker.worker_id)
        entry = dataclasses.replace(
            worker.entry,
            incarnation_ms=incarnation_ms,
            address=address or worker.entry.address,
        )
        is_registered = False
        if suggestion and entry.is_same_incarnation(suggestion.entry):
            entry = suggestion.entry
            is_registered = suggestion.is_registered
            self.withdraw(worker.worker_id)
        self._end_incarnation(worker, entry)
        worker.has_entry = is_registered
        if is_registered:
            worker.entry_age.accept(self._shard.now_ms)
        self.links.restart(worker)

    def _end_incarnation(
        self, worker: WorkerState, next_entry: WorkerEntry
    ) -> None:
        """
        End the runs of an incarnation that are known to have ended with it.

        The next one may have executed the starts of the others.  Once it has
        accepted its fencing token, it executes no more of them, so that its
        listing shows which have ended.
        """
        shard = self._shard
        self._context.log.record(
            'worker_reborn',
            worker=worker.worker_id,
            incarnation=next_entry.incarnation_ms,
            runs=len(worker.runs),
        )
        confirm_crash(shard, worker, 'another incarnation replied')
        for run in list(worker.runs.values()):
            if run.is_listed and not run.may_start_late:
                shard.end_run(run, RunOutcome.LOST)
        withdraw_unsent_starts(shard, worker, why='worker restarted')
        uncertain_runs = worker.begin_incarnation(next_entry)
        shard.tokens.assign(worker)
        if uncertain_runs:
            timings = self._context.worker_timings
            worker.early_lease_end_ms = shard.now_ms + (
                timings.lease_max_ms * (1 + timings.clock_drift * 1.1)
            )
        for uncertain_run in uncertain_runs:
            worker.charge(uncertain_run)
            uncertain_run.is_listed = False
            uncertain_run.order_acknowledged_ms = shard.now_ms
            if uncertain_run.phase is RunPhase.STOPPING:
                task_key, attempt = uncertain_run.key
                shard.order_stop(worker, task_key, attempt, run=uncertain_run)

    async def _inquire(
        self, worker: WorkerState, suggestion: _Suggestion
    ) -> None:
        client = self._dial(suggestion.entry)
        try:
            await run_part(
                partial(self._ask_until_reply, worker, suggestion, client)
            )
        except Exception as error:
            # An error that concerns one worker must not end the owner.
            self._context.log.record(
                'worker_link_failed',
                worker=worker.worker_id,
                why=error_text(error),
            )
        finally:
            client.close()
            if self._suggestions.get(worker.worker_id) is suggestion:
                self._suggestions.pop(worker.worker_id)

    async def _ask_until_reply(
        self,
        worker: WorkerState,
        suggestion: _Suggestion,
        client: FleetWorker,
    ) -> None:
        timings = self._context.worker_timings
        delay_ms: float = timings.retry_min_ms
        while not await self._ask(worker, suggestion, client):
            await self._context.clock.sleep_ms(delay_ms)
            delay_ms = min(delay_ms * 2, timings.retry_max_ms)

    async def _ask(
        self,
        worker: WorkerState,
        suggestion: _Suggestion,
        client: FleetWorker,
    ) -> bool:
        """
        Ask a worker for its incarnation once; return whether it has replied.
        """
        known = worker.entry
        fencing_token = self._shard.tokens.token(worker)
        try:
            reply = await client.renew(
                Renewal(
                    fencing_token=fencing_token,
                    acknowledged_number=0,
                    deadline_clock_ms=None,
                    wait_ms=0,
                )
            )
        except WorkerError:
            return False
        tokens = self._shard.tokens
        if reply is Verdict.FENCED and fencing_token == tokens.token(worker):
            # Not by a higher token of this owner.
            self._shard.deposed.set()
        if not isinstance(reply, WorkerListing):
            return reply is Verdict.OTHER_INCARNATION
        if not known.is_same_incarnation(worker.entry):
            # The reply may be of the incarnation before.
            return False
        return self._apply_reply(worker, suggestion, reply.incarnation_ms)

    def _apply_reply(
        self,
        worker: WorkerState,
        suggestion: _Suggestion,
        incarnation_ms: int,
    ) -> bool:
        """
        Apply the reply to an inquiry, and return whether that is settled.
        """
        entry = suggestion.entry
        if incarnation_ms and incarnation_ms != worker.entry.incarnation_ms:
            record_other_incarnation(
                self._shard, worker, 'another incarnation replied'
            )
            return self.report(worker, incarnation_ms, entry.address)
        if worker.entry.incarnation_ms == entry.incarnation_ms:
            worker.entry = entry
            worker.has_entry = worker.has_entry or suggestion.is_registered
            self.links.restart(worker)
        return True
