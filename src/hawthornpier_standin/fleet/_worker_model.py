"""
The faults of a simulated worker and the behaviour of simulated tasks.
"""

import dataclasses
import enum
from typing import Any

import msgspec

from hawthornpier.fleet import Verdict, WorkerListing


class WorkerFault(enum.StrEnum):
    """
    A fault of a worker or of the connection to it.
    """

    NONE = ''
    # Requests have no effect and get no reply; the runs continue until the
    # lease expires.
    PARTITIONED = 'cut'
    # Requests have no effect, and their connections are reset at once.
    RESET = 'reset'
    # Every run that completes its work fails.
    FAIL_ALL = 'fail_all'
    # Runs make no progress.
    STALLED = 'stand_still'
    # Starts are rejected as UNHEALTHY.
    REFUSE = 'refuse'
    # Starts get no reply and take effect after `late_delay_ms`.
    START_LATE = 'start_late'
    # Requests take effect, but their replies are lost.
    LOSE_REPLIES = 'lose_answers'
    # The worker crashes as a start arrives, and does not execute it.
    CRASH = 'crash'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TaskModel:
    """
    The simulated behaviour of a task.

    *is_lasting* marks a long-running task and *is_filling* a best-effort one.
    If *crashes_worker* is set, the worker crashes once the task has run for
    *work_ms*; if *fails* is set, the run fails then.
    """

    work_ms: float
    crashes_worker: bool = False
    fails: bool = False
    is_lasting: bool = False
    processor_millis: int = 1_000
    # Determines which best-effort tasks interfere with a long-running one.
    image: str = ''
    # Tail latency of a long-running task without interference.
    tail_ms: int = 0
    is_filling: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class WrongReplies:
    """
    What is wrong in the next reply of a worker to a renewal or to a start.

    *fields* replace those of the listing, *to_renewal* and *to_start* the whole
    reply.
    """

    fields: dict[str, Any] = dataclasses.field(default_factory=dict)
    to_renewal: Verdict | None = None
    to_start: Verdict | None = None

    def next_to_renewal(
        self, reply: WorkerListing | Verdict
    ) -> WorkerListing | Verdict:
        """
        Return a reply to a renewal with what is wrong in it.
        """
        if isinstance(reply, Verdict):
            return reply
        verdict, fields = self.to_renewal, self.fields
        self.to_renewal = None
        self.fields = {}
        return verdict or msgspec.structs.replace(reply, **fields)

    def next_to_start(self) -> Verdict | None:
        """
        Return the wrong reply to a start that is not carried out, if any.
        """
        verdict = self.to_start
        self.to_start = None
        return verdict
