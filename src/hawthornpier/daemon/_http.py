"""
What all HTTP handlers of the daemon share.
"""

from http import HTTPStatus
from typing import Any, TypeVar

import msgspec
from tornado.web import HTTPError, RequestHandler

from hawthornpier.adapters import (
    REQUEST_ID_HEADER,
    MessageError,
    SignatureError,
    decode_message,
    verify_headers,
)
from hawthornpier.daemon._services import Services

_Message = TypeVar('_Message')

MEMBER_HEADER = 'X-Member'
OPERATOR_KEY_HEADER = 'X-Operator-Key'


class ApiHandler(RequestHandler):
    """
    Answers in JSON; every refusal has the field *reason*.
    """

    def initialize(self, services: Services) -> None:
        """
        Take the parts of the process that handlers use.
        """
        self.services = services
        services.activity.open_request_count += 1
        self._close_if_leaving()

    def set_default_headers(self) -> None:
        """
        Repeat the request's id, also in refusals.

        The client treats a response with a wrong id as lost.  An id with
        control characters cannot be sent back and is left out.
        """
        request_id = self.request.headers.get(REQUEST_ID_HEADER, '')
        if request_id and request_id.isprintable():
            self.set_header(REQUEST_ID_HEADER, request_id)

    def on_finish(self) -> None:
        """
        Count the request as finished.
        """
        self.services.activity.open_request_count -= 1

    def on_connection_close(self) -> None:
        """
        Let a request go on when its caller is gone.

        Its outcome is kept for the idempotency key, and its slot is released
        as usual.
        """

    def send_json(
        self,
        document: object,
        status: HTTPStatus = HTTPStatus.OK,
    ) -> None:
        """
        Finish with a JSON body.
        """
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.finish(msgspec.json.encode(document))

    def refuse(self, status: HTTPStatus, reason: str, **fields: Any) -> None:
        """
        Finish with a refusal.
        """
        self.send_json({'reason': reason, **fields}, status)

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """
        Render what tornado refuses itself, without a traceback.
        """
        # tornado has dropped the headers that were set before the error.
        self._close_if_leaving()
        error = kwargs.get('exc_info', (None, None, None))[1]
        reason = HTTPStatus(status_code).phrase
        if isinstance(error, HTTPError):
            reason = error.get_message() or reason
        self.refuse(HTTPStatus(status_code), reason)

    def message(self, message_type: type[_Message]) -> _Message:
        """
        Decode the body, or answer with status 400.
        """
        try:
            return decode_message(self.request.body, message_type)
        except MessageError as error:
            raise HTTPError(HTTPStatus.BAD_REQUEST, str(error)) from error
        except RecursionError as error:
            raise HTTPError(
                HTTPStatus.BAD_REQUEST,
                'malformed body: nested too deeply',
            ) from error

    def member(self) -> str:
        """
        Return the member that the request names, or answer with status 400.
        """
        member = self.request.headers.get(MEMBER_HEADER, '')
        if not member:
            raise HTTPError(
                HTTPStatus.BAD_REQUEST,
                f'header {MEMBER_HEADER} is missing',
            )
        return member

    def operator(self) -> str:
        """
        Return the member whose operator asks, or answer with status 401.
        """
        member = self.request.headers.get(MEMBER_HEADER, '')
        key = self.request.headers.get(OPERATOR_KEY_HEADER, '')
        if not self.services.table.is_operator(member, key):
            raise HTTPError(
                HTTPStatus.UNAUTHORIZED,
                f'no valid operator key of {member}',
            )
        return member

    def log_exception(self, *exc_info: Any) -> None:
        """
        Log unexpected errors only; refusals are counted, not logged.
        """
        if not isinstance(exc_info[1], HTTPError):
            super().log_exception(*exc_info)

    def _close_if_leaving(self) -> None:
        if self.services.activity.is_leaving:
            # The client opens its next connection to another process.
            self.set_header('Connection', 'close')


class UnknownPathHandler(ApiHandler):
    """
    Refuses requests for paths that do not exist.
    """

    def prepare(self) -> None:
        """
        Answer with status 404, whatever the method is.
        """
        raise HTTPError(HTTPStatus.NOT_FOUND, 'there is no such path')


class PeerHandler(ApiHandler):
    """
    Accepts requests of other entry processes only.
    """

    def prepare(self) -> None:
        """
        Check the signature, or answer with status 401.
        """
        if not self.services.signing_keys:
            return
        try:
            verify_headers(
                self.services.signing_keys,
                dict(self.request.headers.get_all()),
                method=self.request.method or '',
                path=self.request.uri or '',
                body=self.request.body,
                now_ms=self.services.clock.wall_ms(),
            )
        except SignatureError as error:
            raise HTTPError(HTTPStatus.UNAUTHORIZED, str(error)) from error
