"""
HTTP handlers for callers and for the platform's readiness check.
"""

from collections.abc import Mapping
from http import HTTPStatus
from types import MappingProxyType
from typing import Any

import msgspec
from tornado.web import Application, RequestHandler

from hawthornpier.fleet import (
    FleetNode,
    JobRejectedError,
    NotStoredError,
    OutcomeUnknownError,
    QueueRoute,
    UnknownJobError,
)
from hawthornpier.platform._open_requests import OpenRequests
from hawthornpier.platform._records import BodyError, decode_job, is_job_id
from hawthornpier.steps import JobPhase

# Sent to rejected callers in the Retry-After header; an outage of the store
# rarely ends sooner.
_RETRY_AFTER_S = 1

_STATE_NAMES: Mapping[JobPhase, str] = MappingProxyType(
    {
        JobPhase.QUEUED: 'queued',
        JobPhase.RUNNING: 'running',
        JobPhase.COMPLETED: 'completed',
        JobPhase.FAILED: 'failed',
        JobPhase.CANCELLED: 'cancelled',
    }
)


class CallerHandler(RequestHandler):
    """
    Handles requests to submit, show, cancel or count the jobs of a queue.

    The route whose host and path prefix match determines the queue; the rest
    of the path is the id of the job.
    """

    def initialize(self, node: FleetNode, open_requests: OpenRequests) -> None:
        """
        Store the node; close the connection if the node is shutting down.
        """
        self.node = node
        self.open_requests = open_requests
        if node.is_leaving:
            self.set_header('Connection', 'close')

    def prepare(self) -> None:
        """
        Record the request, which has been read as a whole.
        """
        self.open_requests.begin(self)

    def on_finish(self) -> None:
        """
        Record that the request was answered.
        """
        self.open_requests.end(self)

    async def post(self) -> None:
        """
        Submit a job.
        """
        route = self._find_route()
        if route is None:
            return
        job_id = self._job_id_in_path(route)
        if not is_job_id(job_id):
            self._reply(
                HTTPStatus.BAD_REQUEST,
                error='a job id has 16 lowercase hexadecimal digits',
            )
            return
        try:
            plan = decode_job(
                job_id,
                self.request.body,
                queue=route.policy,
                submitted_ms=self.node.clock.wall_ms(),
            )
        except BodyError as error:
            self._reply(HTTPStatus.BAD_REQUEST, error=str(error))
            return
        try:
            await self.node.entry.submit(plan)
        except JobRejectedError as error:
            self.node.log.record('job_rejected', job=job_id, why=str(error))
            self._reply(HTTPStatus.BAD_REQUEST, error=str(error))
        except NotStoredError as error:
            self._reply_unavailable('job_refused', job_id, error)
        except OutcomeUnknownError as error:
            self._reply_outcome_unknown('job_unknown', job_id, error)
        else:
            self.node.log.record(
                'job_accepted',
                job=job_id,
                queue=route.policy.name,
                ms=int(self.request.request_time() * 1000),
            )
            self._reply(HTTPStatus.OK)

    async def get(self) -> None:
        """
        Show a job or, without an id, count the jobs that have not started.
        """
        route = self._find_route()
        if route is None:
            return
        job_id = self._job_id_in_path(route)
        try:
            if job_id:
                await self._reply_state(job_id)
            else:
                count = await self.node.entry.pending(route.policy.name)
                self._reply(HTTPStatus.OK, pending=count)
        except NotStoredError as error:
            self._reply_unavailable('state_unknown', job_id, error)

    async def delete(self) -> None:
        """
        Cancel a job.
        """
        route = self._find_route()
        if route is None:
            return
        job_id = self._job_id_in_path(route)
        if not is_job_id(job_id):
            self._reply(HTTPStatus.GONE)
            return
        try:
            await self.node.entry.cancel(job_id)
        except UnknownJobError:
            self.node.log.record('cancel_of_unknown_job', job=job_id)
            self._reply(HTTPStatus.GONE)
        except NotStoredError as error:
            self._reply_unavailable('cancel_refused', job_id, error)
        except OutcomeUnknownError as error:
            self._reply_outcome_unknown('cancel_unknown', job_id, error)
        else:
            self.node.log.record('cancel_accepted', job=job_id)
            self._reply(HTTPStatus.OK)

    def log_exception(self, *exc_info: Any) -> None:
        """
        Log an unexpected error in a handler as an event.
        """
        self.node.log.record('handler_failed', why=repr(exc_info[1]))

    async def _reply_state(self, job_id: str) -> None:
        phase = None
        if is_job_id(job_id):
            phase = await self.node.entry.show(job_id)
        if phase is None:
            self.node.log.record('job_not_found', job=job_id)
            self._reply(HTTPStatus.GONE)
        else:
            self._reply(HTTPStatus.OK, state=_STATE_NAMES[phase])

    def _find_route(self) -> QueueRoute | None:
        configuration = self.node.configuration
        if configuration is None:
            self._reply(
                HTTPStatus.SERVICE_UNAVAILABLE,
                error='this process has not received a configuration yet',
            )
            return None
        route = configuration.match(
            self.request.headers.get('Host', ''),
            self.request.path,
        )
        if route is None:
            self._reply(
                HTTPStatus.NOT_FOUND,
                error='no queue is configured for this host and path',
            )
        return route

    def _job_id_in_path(self, route: QueueRoute) -> str:
        return self.request.path[len(route.path_prefix) :]

    def _reply_unavailable(
        self, event: str, job_id: str, error: Exception
    ) -> None:
        self.node.log.record(event, job=job_id, why=str(error))
        self._reply(HTTPStatus.SERVICE_UNAVAILABLE, error=str(error))

    def _reply_outcome_unknown(
        self, event: str, job_id: str, error: Exception
    ) -> None:
        self.node.log.record(event, job=job_id, why=str(error))
        self._reply(HTTPStatus.GATEWAY_TIMEOUT, error=str(error))

    def _reply(self, status: HTTPStatus, **fields: Any) -> None:
        self.set_status(status)
        if status is HTTPStatus.SERVICE_UNAVAILABLE:
            self.set_header('Retry-After', str(_RETRY_AFTER_S))
        self.set_header('Content-Type', 'application/json')
        self.finish(msgspec.json.encode(fields))


class ReadinessHandler(RequestHandler):
    """
    Responds to the platform's readiness check.

    The platform sends new connections only to processes that are ready.
    """

    def initialize(self, node: FleetNode) -> None:
        """
        Store the node.
        """
        self.node = node

    def get(self) -> None:
        """
        Respond with status 200 if the process is ready, otherwise with 503.
        """
        if not self.node.is_ready:
            self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
        self.finish()


def caller_application(
    node: FleetNode, open_requests: OpenRequests
) -> Application:
    """
    Return the application that handles requests of callers.
    """
    options = {'node': node, 'open_requests': open_requests}
    return Application(
        [('.*', CallerHandler, options)],
        log_function=log_nothing,
    )


def readiness_application(node: FleetNode) -> Application:
    """
    Return the application that handles the platform's readiness check.
    """
    return Application(
        [('.*', ReadinessHandler, {'node': node})],
        log_function=log_nothing,
    )


def log_nothing(handler: RequestHandler) -> None:
    """
    Disable Tornado's log of requests; the handlers record their own events.
    """
