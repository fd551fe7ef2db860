"""
The HTTP interface to the platform's clients and its readiness check.
"""

from collections.abc import Mapping
from http import HTTPStatus
from types import MappingProxyType
from typing import Any

import msgspec
from tornado.web import Application, RequestHandler

from hawthornpier.fleet import (
    FleetNode,
    NotStoredError,
    OutcomeUnknownError,
    QueueRoute,
    UnknownJobError,
)
from hawthornpier.platform._records import BodyError, decode_job, is_job_id
from hawthornpier.steps import JobPhase

# When a refused client should come back; an outage rarely ends sooner.
_RETRY_AFTER_S = 1

_PHASES: Mapping[JobPhase, str] = MappingProxyType(
    {
        JobPhase.QUEUED: 'queued',
        JobPhase.RUNNING: 'running',
        JobPhase.COMPLETED: 'completed',
        JobPhase.FAILED: 'failed',
        JobPhase.CANCELLED: 'cancelled',
    }
)


class ClientHandler(RequestHandler):
    """
    Submits, shows, cancels and counts the jobs of a queue.
    """

    def initialize(self, node: FleetNode) -> None:
        """
        Take the process.
        """
        self.node = node
        if node.is_leaving:
            self.set_header('Connection', 'close')

    async def post(self) -> None:
        """
        Submit a job.
        """
        route = self._route()
        if route is None:
            return
        job_id = self._rest(route)
        if not is_job_id(job_id):
            self._answer(HTTPStatus.BAD_REQUEST, error='not a job id')
            return
        try:
            plan = decode_job(
                job_id,
                self.request.body,
                queue=route.policy,
                submitted_ms=self.node.clock.wall_ms(),
            )
        except BodyError as error:
            self._answer(HTTPStatus.BAD_REQUEST, error=str(error))
            return
        try:
            await self.node.entry.submit(plan)
        except NotStoredError as error:
            self._refuse('job_refused', job_id, error)
        except OutcomeUnknownError as error:
            self._give_up('job_unknown', job_id, error)
        else:
            self.node.log.record(
                'job_accepted',
                job=job_id,
                queue=route.policy.name,
                ms=int(self.request.request_time() * 1000),
            )
            self._answer(HTTPStatus.OK)

    async def get(self) -> None:
        """
        Show a job, or count the jobs that have not begun.
        """
        route = self._route()
        if route is None:
            return
        job_id = self._rest(route)
        try:
            if job_id:
                await self._show(job_id)
            else:
                count = await self.node.entry.pending(route.policy.name)
                self._answer(HTTPStatus.OK, pending=count)
        except NotStoredError as error:
            self._refuse('state_unknown', job_id, error)

    async def delete(self) -> None:
        """
        Cancel a job.
        """
        route = self._route()
        if route is None:
            return
        job_id = self._rest(route)
        try:
            await self.node.entry.cancel(job_id)
        except UnknownJobError:
            self._answer(HTTPStatus.GONE)
        except NotStoredError as error:
            self._refuse('cancel_refused', job_id, error)
        except OutcomeUnknownError as error:
            self._give_up('cancel_unknown', job_id, error)
        else:
            self.node.log.record('cancel_accepted', job=job_id)
            self._answer(HTTPStatus.OK)

    def log_exception(self, *exc_info: Any) -> None:
        """
        Log unexpected errors as a line of their own.
        """
        self.node.log.record('handler_failed', why=repr(exc_info[1]))

    async def _show(self, job_id: str) -> None:
        phase = None
        if is_job_id(job_id):
            phase = await self.node.entry.show(job_id)
        if phase is None:
            self.node.log.record('job_not_found', job=job_id)
            self._answer(HTTPStatus.GONE)
        else:
            self._answer(HTTPStatus.OK, state=_PHASES[phase])

    def _route(self) -> QueueRoute | None:
        configuration = self.node.configuration
        if configuration is None:
            self._answer(
                HTTPStatus.SERVICE_UNAVAILABLE,
                error='no configuration yet',
            )
            return None
        route = configuration.match(
            self.request.headers.get('Host', ''),
            self.request.path,
        )
        if route is None:
            self._answer(HTTPStatus.NOT_FOUND, error='no such queue')
        return route

    def _rest(self, route: QueueRoute) -> str:
        return self.request.path[len(route.path_prefix) :]

    def _refuse(self, kind: str, job_id: str, error: Exception) -> None:
        self.node.log.record(kind, job=job_id, why=str(error))
        self._answer(HTTPStatus.SERVICE_UNAVAILABLE, error=str(error))

    def _give_up(self, kind: str, job_id: str, error: Exception) -> None:
        self.node.log.record(kind, job=job_id, why=str(error))
        self._answer(HTTPStatus.GATEWAY_TIMEOUT, error=str(error))

    def _answer(self, status: HTTPStatus, **fields: Any) -> None:
        self.set_status(status)
        if status is HTTPStatus.SERVICE_UNAVAILABLE:
            self.set_header('Retry-After', str(_RETRY_AFTER_S))
        self.set_header('Content-Type', 'application/json')
        self.finish(msgspec.json.encode(fields))


class ReadinessHandler(RequestHandler):
    """
    Tells the platform whether to send new connections.
    """

    def initialize(self, node: FleetNode) -> None:
        """
        Take the process.
        """
        self.node = node

    def get(self) -> None:
        """
        Answer 200 or 503.
        """
        if not self.node.is_ready:
            self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
        self.finish()


def client_application(node: FleetNode) -> Application:
    """
    Return the interface to clients.
    """
    return Application(
        [('.*', ClientHandler, {'node': node})],
        log_function=log_nothing,
    )


def readiness_application(node: FleetNode) -> Application:
    """
    Return the interface to the platform's readiness check.
    """
    return Application(
        [('.*', ReadinessHandler, {'node': node})],
        log_function=log_nothing,
    )


def log_nothing(handler: RequestHandler) -> None:
    """
    The decisions behind an answer are logged where they are made.
    """
