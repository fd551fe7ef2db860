"""
HTTP handlers for the requests of callers and for batch jobs.
"""

import uuid
from http import HTTPStatus
from types import MappingProxyType
from typing import Any

import msgspec
from tornado.web import HTTPError

from hawthornpier.adapters import encode_outcome
from hawthornpier.daemon._http import ApiHandler
from hawthornpier.daemon._validation import (
    MAX_DEADLINE_MS,
    check_job_id,
    check_spec,
    is_job_id,
)
from hawthornpier.entry import (
    CallerRequest,
    EntryError,
    JobNotAcceptedError,
    JobOutcomeUnknownError,
    KeyRequiredError,
    UnknownServiceError,
)
from hawthornpier.messages import (
    Answer,
    JobSpec,
    JobView,
    NotRun,
    Outcome,
    Unknown,
)
from hawthornpier.metrics import InstrumentName
from hawthornpier.owner import newest_job_ids
from hawthornpier.ports import StoreError

DEADLINE_HEADER = 'Deadline-Ms'
KEY_HEADER = 'Idempotency-Key'

MAX_KEY_CHARS = 200
# A listing contains only this many of the newest jobs, since the state of each
# is requested from the owner of its shard.
MAX_LISTED_JOBS = 200

_STATUSES = MappingProxyType(
    {
        Answer: HTTPStatus.OK,
        NotRun: HTTPStatus.SERVICE_UNAVAILABLE,
        Unknown: HTTPStatus.GATEWAY_TIMEOUT,
    }
)


class _OptionalJobId(msgspec.Struct, forbid_unknown_fields=False):
    job_id: str = ''


class ServiceHandler(ApiHandler):
    """
    Serves a request of a caller to a service.

    The response is one of the three outcomes: `Answer`, `NotRun` or `Unknown`.
    """

    async def post(self, service: str) -> None:
        """
        Serve the request within its deadline and send the outcome.
        """
        request = CallerRequest(
            request_id=uuid.uuid4().hex,
            member=self.require_member(),
            service=service,
            body=self._body(),
            deadline_ms=self._deadline_ms(service),
            idempotency_key=self._idempotency_key(),
        )
        started_ms = self.services.clock.monotonic_ms()
        try:
            outcome = await self.services.entry.serve(request)
        except UnknownServiceError as error:
            raise HTTPError(HTTPStatus.NOT_FOUND, str(error)) from error
        except KeyRequiredError as error:
            raise HTTPError(HTTPStatus.BAD_REQUEST, str(error)) from error
        duration_ms = self.services.clock.monotonic_ms() - started_ms
        self._record_metrics(request, outcome, duration_ms)
        self._send_outcome(outcome)

    def _send_outcome(self, outcome: Outcome) -> None:
        self.set_status(_STATUSES[type(outcome)])
        if isinstance(outcome, NotRun) and outcome.retry_after_ms:
            seconds = -(-outcome.retry_after_ms // 1000)
            self.set_header('Retry-After', str(seconds))
        self.set_header('Content-Type', 'application/json')
        self.finish(encode_outcome(outcome))

    def _record_metrics(
        self,
        request: CallerRequest,
        outcome: Outcome,
        duration_ms: int,
    ) -> None:
        metrics = self.services.metrics
        metrics.count(
            InstrumentName.REQUESTS,
            outcome=type(outcome).__name__,
            service=request.service,
        )
        metrics.observe(
            InstrumentName.REQUEST_DURATION,
            duration_ms / 1000,
            service=request.service,
        )

    def _body(self) -> str:
        try:
            return self.request.body.decode()
        except UnicodeDecodeError as error:
            raise HTTPError(
                HTTPStatus.BAD_REQUEST,
                'the request body is not valid UTF-8',
            ) from error

    def _deadline_ms(self, service: str) -> int:
        text = self.request.headers.get(DEADLINE_HEADER, '')
        if not text:
            return self._default_deadline_ms(service)
        is_number = text.isascii() and text.isdigit() and len(text) <= 9
        if not is_number or not int(text):
            raise HTTPError(
                HTTPStatus.BAD_REQUEST,
                f'header {DEADLINE_HEADER} must be a positive integer of at '
                'most 9 digits (milliseconds)',
            )
        return min(int(text), MAX_DEADLINE_MS)

    def _default_deadline_ms(self, service: str) -> int:
        try:
            deadline_ms = self.services.catalog.deadline_ms(
                self.require_member(),
                service,
            )
        except KeyError:
            deadline_ms = None
        return deadline_ms or self.services.entry_timing.default_deadline_ms

    def _idempotency_key(self) -> str:
        key = self.request.headers.get(KEY_HEADER, '')
        if len(key) > MAX_KEY_CHARS:
            raise HTTPError(
                HTTPStatus.BAD_REQUEST,
                f'header {KEY_HEADER} has more characters than {MAX_KEY_CHARS}',
            )
        if not key.isascii() or not key.isprintable():
            # HTTP defines no encoding for other characters in headers, so a
            # retry might arrive with different bytes and not match the key.
            raise HTTPError(
                HTTPStatus.BAD_REQUEST,
                f'header {KEY_HEADER} contains characters that are not '
                'printable ASCII',
            )
        return key


class JobsHandler(ApiHandler):
    """
    Submits and lists jobs.
    """

    async def post(self) -> None:
        """
        Submit a job.

        An operator that did not learn the outcome of a submission sends the
        job again with the field *job_id*, which makes the retry idempotent.
        """
        member = self.authenticate_operator()
        spec = self.decode_body(JobSpec)
        job_id = self.decode_body(_OptionalJobId).job_id
        if spec.member != member:
            raise HTTPError(
                HTTPStatus.FORBIDDEN,
                f'an operator of {member} may submit jobs of {member} only',
            )
        check_spec(spec)
        if job_id:
            check_job_id(job_id)
        try:
            view = await self.services.jobs.submit(spec, job_id=job_id)
        except JobOutcomeUnknownError as error:
            self.refuse(HTTPStatus.GATEWAY_TIMEOUT, str(error))
        except JobNotAcceptedError as error:
            self.refuse(HTTPStatus.SERVICE_UNAVAILABLE, str(error))
        else:
            self._send_accepted(view, member)

    async def get(self) -> None:
        """
        Send the newest jobs of the operator's member.
        """
        member = self.authenticate_operator()
        try:
            rows = await self.services.store.scan('job/')
        except StoreError as error:
            self.refuse(HTTPStatus.SERVICE_UNAVAILABLE, str(error))
            return
        views = []
        for job_id in newest_job_ids(rows, member)[:MAX_LISTED_JOBS]:
            view = await self._view_or_none(job_id)
            if view is not None:
                views.append(view)
        self.send_json({'jobs': views})

    def _send_accepted(self, view: JobView, member: str) -> None:
        if view.spec.member == member:
            self.send_json(view, HTTPStatus.CREATED)
        else:
            # A submission with an id in use returns the job that was accepted
            # first, which here belongs to another member.
            self.refuse(HTTPStatus.CONFLICT, 'the job id is already in use')

    async def _view_or_none(self, job_id: str) -> Any:
        try:
            return await self.services.jobs.show(job_id)
        except EntryError:
            return None


class JobHandler(ApiHandler):
    """
    Shows and cancels one job.
    """

    async def get(self, job_id: str) -> None:
        """
        Send the state of the job and the limit that it waits for, if any.
        """
        await self._send_job(job_id, is_cancel=False)

    async def delete(self, job_id: str) -> None:
        """
        Cancel the job and send its state.
        """
        await self._send_job(job_id, is_cancel=True)

    async def _send_job(self, job_id: str, *, is_cancel: bool) -> None:
        member = self.authenticate_operator()
        if not is_job_id(job_id):
            self.refuse(HTTPStatus.NOT_FOUND, f'there is no job {job_id}')
            return
        jobs = self.services.jobs
        try:
            view = await jobs.show(job_id)
            is_own = view is not None and view.spec.member == member
            if is_own and is_cancel:
                view = await jobs.cancel(job_id)
        except EntryError as error:
            self.refuse(HTTPStatus.SERVICE_UNAVAILABLE, str(error))
            return
        if view is None or not is_own:
            self.refuse(HTTPStatus.NOT_FOUND, f'there is no job {job_id}')
            return
        self.send_json(view)
