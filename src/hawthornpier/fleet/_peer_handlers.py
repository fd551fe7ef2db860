"""
The HTTP interface between the entry processes of one installation.
"""

from http import HTTPStatus
from typing import Any, Protocol

import msgspec
from tornado.web import RequestHandler

from hawthornpier.fleet._entry import JobEntry
from hawthornpier.fleet._errors import OutcomeUnknownError
from hawthornpier.fleet._peer_client import PEER_PREFIX
from hawthornpier.fleet._peer_port import (
    ConfigurationReply,
    CountReply,
    Handover,
    PhaseReply,
    Presence,
)
from hawthornpier.fleet._shard import Shard
from hawthornpier.ports import Clock
from hawthornpier.steps import RecordError, decode_plan

_MAX_WAIT_MS = 2_000


class PeerServices(Protocol):
    """
    What the handlers need of the process.
    """

    entry: JobEntry

    @property
    def clock(self) -> Clock:
        """
        Return the clock of this process.
        """
        ...

    def local_shard(self) -> Shard | None:
        """
        Return the shard if this process owns and has loaded it.
        """
        ...

    async def wait_presence(self, wait_ms: float) -> Presence:
        """
        Return what this process says of itself once it gives up the shard.
        """
        ...

    def hand_over(self, epoch: int) -> Handover | None:
        """
        Stop as the owner of an epoch, and return what may run.
        """
        ...

    async def wait_configuration(
        self,
        after_version: int,
        wait_ms: float,
    ) -> ConfigurationReply:
        """
        Return the operator's row, once its version is above another.
        """
        ...


class _Handler(RequestHandler):
    """
    Answers other processes.
    """

    def initialize(self, services: PeerServices) -> None:
        """
        Take the parts of the process.
        """
        self.services = services

    def reply(self, message: Any) -> None:
        """
        Finish with a message as JSON.
        """
        self.set_header('Content-Type', 'application/json')
        self.finish(msgspec.json.encode(message))

    def finish_with_status(self, status: HTTPStatus) -> None:
        """
        Finish without a body.
        """
        self.set_status(status)
        self.finish()

    def require_shard(self) -> Shard | None:
        """
        Return the shard, or refuse because another process owns it.
        """
        shard = self.services.local_shard()
        if shard is None:
            self.finish_with_status(HTTPStatus.CONFLICT)
        return shard


class _PresenceHandler(_Handler):
    """
    A peer keeps one such request open, and so notices the end of a process.
    """

    async def get(self) -> None:
        """
        Answer after the time that the peer asks for.
        """
        wait_ms = int(self.get_query_argument('wait_ms', '0'))
        presence = await self.services.wait_presence(
            min(max(wait_ms, 0), _MAX_WAIT_MS),
        )
        self.reply(presence)


class _HandoverHandler(_Handler):
    """
    Ends the ownership of an epoch for the sake of a later one.
    """

    def post(self, epoch: str) -> None:
        """
        Answer with what may run, or 409 if that is not known here.
        """
        handover = self.services.hand_over(int(epoch))
        if handover is None:
            self.finish_with_status(HTTPStatus.CONFLICT)
        else:
            self.reply(handover)


class _JobsHandler(_Handler):
    """
    Takes notices of stored jobs.
    """

    def post(self) -> None:
        """
        Take in a job.
        """
        shard = self.require_shard()
        if shard is None:
            return
        try:
            shard.add_job(decode_plan(self.request.body))
        except RecordError:
            self.finish_with_status(HTTPStatus.BAD_REQUEST)
            return
        self.reply({})


class _JobHandler(_Handler):
    """
    Shows one job.
    """

    def get(self, job_id: str) -> None:
        """
        Answer with the state; an empty one means that it is not known.
        """
        shard = self.require_shard()
        if shard is None:
            return
        job = shard.jobs.get(job_id)
        self.reply(PhaseReply(phase='' if job is None else job.phase.value))


class _CancelHandler(_Handler):
    """
    Takes notices of stored cancellations.
    """

    def post(self, job_id: str) -> None:
        """
        Stop a job.
        """
        shard = self.require_shard()
        if shard is None:
            return
        shard.cancel_job(job_id)
        self.reply({})


class _PendingHandler(_Handler):
    """
    Counts jobs that have not begun.
    """

    def get(self, queue: str) -> None:
        """
        Answer with the count of one queue.
        """
        shard = self.require_shard()
        if shard is None:
            return
        self.reply(CountReply(count=shard.pending_count(queue)))


class _ConfigurationHandler(_Handler):
    """
    Hands on the operator's row to processes that cannot read the store.
    """

    async def get(self) -> None:
        """
        Answer with version and content, once there is a newer one.
        """
        after_version = int(self.get_query_argument('after', '0'))
        wait_ms = int(self.get_query_argument('wait_ms', '0'))
        self.reply(
            await self.services.wait_configuration(
                after_version,
                min(max(wait_ms, 0), _MAX_WAIT_MS),
            ),
        )


class _RelayHandler(_Handler):
    """
    Stores what a process that cannot reach the store has accepted.
    """

    async def post(self, job_id: str = '') -> None:
        """
        Answer 200 if stored, 503 if certainly not, 504 otherwise.
        """
        entry = self.services.entry
        try:
            if job_id:
                is_stored = await entry.store_cancel(job_id)
            else:
                plan = decode_plan(self.request.body)
                is_stored = await entry.store_job(
                    plan.job_id,
                    self.request.body,
                )
        except RecordError:
            self.finish_with_status(HTTPStatus.BAD_REQUEST)
        except OutcomeUnknownError:
            self.finish_with_status(HTTPStatus.GATEWAY_TIMEOUT)
        else:
            self.finish_with_status(
                HTTPStatus.OK if is_stored else HTTPStatus.SERVICE_UNAVAILABLE,
            )


def peer_routes(
    services: PeerServices,
) -> list[tuple[str, Any, dict[str, Any]]]:
    """
    Return the routes of the interface.
    """
    options = {'services': services}
    return [
        (f'{PEER_PREFIX}/presence', _PresenceHandler, options),
        (f'{PEER_PREFIX}/handover/([0-9]+)', _HandoverHandler, options),
        (f'{PEER_PREFIX}/jobs', _JobsHandler, options),
        (f'{PEER_PREFIX}/jobs/([^/]+)', _JobHandler, options),
        (f'{PEER_PREFIX}/jobs/([^/]+)/cancel', _CancelHandler, options),
        (f'{PEER_PREFIX}/pending/([^/]+)', _PendingHandler, options),
        (f'{PEER_PREFIX}/configuration', _ConfigurationHandler, options),
        (f'{PEER_PREFIX}/relayed-jobs', _RelayHandler, options),
        (f'{PEER_PREFIX}/relayed-cancels/([^/]+)', _RelayHandler, options),
    ]
