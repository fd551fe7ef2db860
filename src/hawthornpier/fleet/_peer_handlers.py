"""
HTTP handlers for requests from other entry processes.
"""

from http import HTTPStatus
from typing import Any, Protocol

import msgspec
from tornado.web import RequestHandler

from hawthornpier.events import DecisionLog
from hawthornpier.fleet._entry import JobEntry
from hawthornpier.fleet._errors import JobRejectedError, OutcomeUnknownError
from hawthornpier.fleet._peer_client import PEER_PREFIX
from hawthornpier.fleet._peer_port import (
    ConfigurationReply,
    CountReply,
    Handover,
    PhaseReply,
    Presence,
)
from hawthornpier.fleet._relay_session import RelaySession, SendBatch
from hawthornpier.fleet._relay_socket import RELAY_PATH, RelayHandler
from hawthornpier.fleet._shard import Shard
from hawthornpier.ports import Clock
from hawthornpier.steps import RecordError, decode_plan

_MAX_WAIT_MS = 2_000


class PeerServices(Protocol):
    """
    The operations of this process that the handlers call.
    """

    entry: JobEntry

    @property
    def clock(self) -> Clock:
        """
        Return the clock of this process.
        """
        ...

    @property
    def log(self) -> DecisionLog:
        """
        Return the log of scheduling decisions.
        """
        ...

    def open_relay(self, send: SendBatch) -> RelaySession:
        """
        Begin to relay the requests of an owner to workers.
        """
        ...

    def local_shard(self) -> Shard | None:
        """
        Return the shard if this process owns it and has loaded it.
        """
        ...

    async def wait_presence(
        self,
        wait_ms: float,
        observer: str = '',
    ) -> Presence:
        """
        Return the status of this process once it gives up the shard.

        Args:
            wait_ms: The longest time to wait for that; then the status is
                returned anyway.
            observer: The address of the process that monitors this one.
        """
        ...

    def hand_over(self, epoch: int) -> Handover | None:
        """
        Give up the shard and return the state for the next owner.

        Args:
            epoch: The epoch of this process's ownership.

        Returns:
            The state, or None if this process was not the owner in that epoch.
        """
        ...

    async def wait_configuration(
        self,
        after_version: int,
        wait_ms: float,
    ) -> ConfigurationReply:
        """
        Return the operator's configuration once its version exceeds another.

        Args:
            after_version: The version that the requesting process has.
            wait_ms: The longest time to wait for a higher version.
        """
        ...


class _Handler(RequestHandler):
    """
    Base class of the handlers for requests from other entry processes.
    """

    def initialize(self, services: PeerServices) -> None:
        """
        Store the dependency that the route specifies.
        """
        self.services = services

    def reply(self, message: Any) -> None:
        """
        Send a message as the JSON body of the response.
        """
        self.set_header('Content-Type', 'application/json')
        self.finish(msgspec.json.encode(message))

    def finish_with_status(self, status: HTTPStatus) -> None:
        """
        Send a response without a body.
        """
        self.set_status(status)
        self.finish()

    def require_shard(self) -> Shard | None:
        """
        Return the shard if this process is the owner.

        Otherwise, respond with status 409 and return None.
        """
        shard = self.services.local_shard()
        if shard is None:
            self.finish_with_status(HTTPStatus.CONFLICT)
        return shard


class _PresenceHandler(_Handler):
    """
    Reports the status of this process.

    Peers keep a request open here to detect the end of the process.
    """

    async def get(self) -> None:
        """
        Respond after the requested time, or once the shard is given up.
        """
        wait_ms = int(self.get_query_argument('wait_ms', '0'))
        presence = await self.services.wait_presence(
            min(max(wait_ms, 0), _MAX_WAIT_MS),
            observer=self.get_query_argument('observer', ''),
        )
        self.reply(presence)


class _HandoverHandler(_Handler):
    """
    Ends the ownership of the shard in favour of a later epoch.
    """

    def post(self, epoch: str) -> None:
        """
        Respond with the state for the next owner.

        The status is 409 if this process was not the owner in that epoch.
        """
        handover = self.services.hand_over(int(epoch))
        if handover is None:
            self.finish_with_status(HTTPStatus.CONFLICT)
        else:
            self.reply(handover)


class _JobsHandler(_Handler):
    """
    Receives notifications of stored jobs.
    """

    def post(self) -> None:
        """
        Add a job to the shard.
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
    Reports the state of a job.
    """

    def get(self, job_id: str) -> None:
        """
        Respond with the state, which is empty if the job is unknown.
        """
        shard = self.require_shard()
        if shard is None:
            return
        job = shard.jobs.get(job_id)
        self.reply(PhaseReply(phase='' if job is None else job.phase.value))


class _CancelHandler(_Handler):
    """
    Receives notifications of stored cancellations.
    """

    def post(self, job_id: str) -> None:
        """
        Cancel a job in the shard.
        """
        shard = self.require_shard()
        if shard is None:
            return
        shard.cancel_job(job_id)
        self.reply({})


class _PendingHandler(_Handler):
    """
    Reports the number of jobs that have not started.
    """

    def get(self, queue: str) -> None:
        """
        Respond with the number of such jobs in one queue.
        """
        shard = self.require_shard()
        if shard is None:
            return
        self.reply(CountReply(count=shard.pending_count(queue)))


class _ConfigurationHandler(_Handler):
    """
    Provides the operator's configuration to other processes.

    Only a few processes, the readers, read it from the store.  The others
    request it here, and so do readers that cannot reach the store.
    """

    async def get(self) -> None:
        """
        Respond once the version exceeds another, or the requested time is up.
        """
        after_version = int(self.get_query_argument('after', '0'))
        wait_ms = int(self.get_query_argument('wait_ms', '0'))
        self.reply(
            await self.services.wait_configuration(
                after_version,
                min(max(wait_ms, 0), _MAX_WAIT_MS),
            ),
        )


class _WriteHandler(_Handler):
    """
    Stores jobs and cancellations for processes that cannot reach the store.
    """

    async def post(self, job_id: str = '') -> None:
        """
        Store a job, or the cancellation of the job in the path.

        The status is 200 if it was stored, 400 or 503 if it was not and never
        will be, and 504 if that is unknown.
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
        except (RecordError, JobRejectedError):
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
    Return the routes of all handlers, in the form that Tornado requires.
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
        (RELAY_PATH, RelayHandler, options),
        (f'{PEER_PREFIX}/relayed-jobs', _WriteHandler, options),
        (
            f'{PEER_PREFIX}/relayed-cancels/([^/]+)',
            _WriteHandler,
            options,
        ),
    ]
