"""
Base classes of the HTTP handlers.
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
    Sends JSON responses; every error response has the field *reason*.
    """

    def initialize(self, services: Services) -> None:
        """
        Set the dependencies of the handler and count the request as open.
        """
        self.services = services
        services.activity.open_request_count += 1
        self._close_if_leaving()

    def set_default_headers(self) -> None:
        """
        Copy the request id into the response, also into error responses.

        The clients in `hawthornpier.adapters` treat a response with a different
        id as a lost reply.  An id with unprintable characters is not valid in a
        response header and is omitted.
        """
        request_id = self.request.headers.get(REQUEST_ID_HEADER, '')
        if request_id and request_id.isprintable():
            self.set_header(REQUEST_ID_HEADER, request_id)

    def on_finish(self) -> None:
        """
        Count the request as no longer open.
        """
        self.services.activity.open_request_count -= 1

    def on_connection_close(self) -> None:
        """
        Continue the request although the caller has closed the connection.

        The outcome is still stored for the idempotency key, and the slot is
        released as usual.
        """

    def send_json(
        self,
        document: object,
        status: HTTPStatus = HTTPStatus.OK,
    ) -> None:
        """
        Send *document* as JSON and finish the response.
        """
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.finish(msgspec.json.encode(document))

    def refuse(self, status: HTTPStatus, reason: str, **fields: Any) -> None:
        """
        Send an error response with a reason and optional further fields.
        """
        self.send_json({'reason': reason, **fields}, status)

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """
        Send the error responses of tornado as JSON, without a traceback.
        """
        # tornado clears the headers that were set before the error.
        self._close_if_leaving()
        error = kwargs.get('exc_info', (None, None, None))[1]
        reason = HTTPStatus(status_code).phrase
        if isinstance(error, HTTPError):
            reason = error.get_message() or reason
        self.refuse(HTTPStatus(status_code), reason)

    def decode_body(self, message_type: type[_Message]) -> _Message:
        """
        Decode the request body.

        Raises:
            HTTPError: Status 400, if the body is not a message of this type.
        """
        try:
            return decode_message(self.request.body, message_type)
        except MessageError as error:
            raise HTTPError(HTTPStatus.BAD_REQUEST, str(error)) from error

    def require_member(self) -> str:
        """
        Return the member on whose behalf the request is sent.

        Raises:
            HTTPError: Status 400, if the header is missing.
        """
        member = self.request.headers.get(MEMBER_HEADER, '')
        if not member:
            raise HTTPError(
                HTTPStatus.BAD_REQUEST,
                f'header {MEMBER_HEADER} is missing',
            )
        return member

    def authenticate_operator(self) -> str:
        """
        Check the operator key and return the operator's member.

        Raises:
            HTTPError: Status 401, if the key is missing or wrong.
        """
        member = self.request.headers.get(MEMBER_HEADER, '')
        key = self.request.headers.get(OPERATOR_KEY_HEADER, '')
        if not self.services.table.is_operator(member, key):
            raise HTTPError(
                HTTPStatus.UNAUTHORIZED,
                f'missing or invalid operator key for member {member}',
            )
        return member

    def log_exception(self, *exc_info: Any) -> None:
        """
        Log unexpected exceptions, but not the error responses of handlers.
        """
        if not isinstance(exc_info[1], HTTPError):
            super().log_exception(*exc_info)

    def _close_if_leaving(self) -> None:
        if self.services.activity.is_leaving:
            # Makes the client connect to another process for its next request.
            self.set_header('Connection', 'close')


class UnknownPathHandler(ApiHandler):
    """
    Rejects requests for paths without a route.
    """

    def prepare(self) -> None:
        """
        Raise status 404 for every method.
        """
        raise HTTPError(HTTPStatus.NOT_FOUND, 'there is no route for this path')


class PeerHandler(ApiHandler):
    """
    Accepts only requests that other entry processes have signed.
    """

    def prepare(self) -> None:
        """
        Verify the signature, unless the process has no signing keys.

        Raises:
            HTTPError: Status 401, if the signature is missing or invalid.
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
