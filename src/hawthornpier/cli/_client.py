"""
The HTTP client that sends an operator's requests to an entry process.
"""

import asyncio
import contextlib
import errno
import socket
import ssl
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from types import MappingProxyType
from typing import Any

import msgspec
from tornado import httpclient
from tornado.simple_httpclient import HTTPTimeoutError

from hawthornpier.cli._errors import CommandError, ExitCode
from hawthornpier.table import (
    DocumentError,
    delta_from_document,
    describe_change,
)

_CONNECT_TIMEOUT_S = 3
_UNREACHABLE_ERRNOS = frozenset(
    (errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ENETUNREACH),
)
_EXIT_CODES: Mapping[int, ExitCode] = MappingProxyType(
    {
        HTTPStatus.BAD_REQUEST: ExitCode.INPUT,
        HTTPStatus.UNPROCESSABLE_ENTITY: ExitCode.INPUT,
        HTTPStatus.UNAUTHORIZED: ExitCode.NOT_PERMITTED,
        HTTPStatus.FORBIDDEN: ExitCode.NOT_PERMITTED,
        HTTPStatus.NOT_FOUND: ExitCode.NOT_FOUND,
        HTTPStatus.CONFLICT: ExitCode.CONFLICT,
        HTTPStatus.SERVICE_UNAVAILABLE: ExitCode.UNAVAILABLE,
        HTTPStatus.GATEWAY_TIMEOUT: ExitCode.UNKNOWN,
    }
)


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryClient:
    """
    Sends requests to the first entry process that accepts a connection.

    Args:
        addresses: Addresses of entry processes, in the order of the attempts.
        member: The member to act for, or empty.
        operator_key: An operator key of the member, or empty.
        authority_file: Certificate file of the TLS authority; if empty, plain
            HTTP is used.
        timeout_s: Time limit of each attempt.
    """

    addresses: tuple[str, ...]
    member: str
    operator_key: str
    authority_file: str = ''
    timeout_s: float = 10

    def get(self, path: str) -> Any:
        """
        Send a GET request and return the decoded JSON response.

        Raises:
            CommandError: No successful response came, or it is not JSON.
        """
        return _decode(self.send('GET', path))

    def change(self, method: str, path: str, document: Any = None) -> Any:
        """
        Send a change and return the decoded JSON response.

        Raises:
            CommandError: No successful response came, or it is not JSON.
        """
        return _decode(self.send(method, path, document))

    def send(self, method: str, path: str, document: Any = None) -> bytes:
        """
        Send a request and return the body of the successful response.

        Raises:
            CommandError: No successful response came.
        """
        return asyncio.run(self._send(method, path, document))

    async def _send(self, method: str, path: str, document: Any) -> bytes:
        client = httpclient.AsyncHTTPClient(
            force_instance=True,
            defaults={
                'connect_timeout': _CONNECT_TIMEOUT_S,
                'request_timeout': self.timeout_s,
                'ca_certs': self.authority_file or None,
            },
        )
        body = None if document is None else msgspec.json.encode(document)
        scheme = 'https' if self.authority_file else 'http'
        failures: list[str] = []
        with contextlib.closing(client):
            for address in self.addresses:
                request = httpclient.HTTPRequest(
                    f'{scheme}://{address}{path}',
                    method=method,
                    headers=self._headers(),
                    body=body,
                    follow_redirects=False,
                )
                response = await _fetch(client, request, failures)
                if response is not None:
                    return _check_status(response)
        raise CommandError(*failures, code=ExitCode.UNAVAILABLE)

    def _headers(self) -> dict[str, str]:
        headers = {'Content-Type': 'application/json'}
        if self.member:
            headers['X-Member'] = self.member
        if self.operator_key:
            headers['X-Operator-Key'] = self.operator_key
        return headers


async def _fetch(
    client: httpclient.AsyncHTTPClient,
    request: httpclient.HTTPRequest,
    failures: list[str],
) -> httpclient.HTTPResponse | None:
    """
    Return the response, or None if the next entry process may be tried.

    A failure is added to *failures*.

    Raises:
        CommandError: The reply to a change was lost, so the change may have
            been applied and must not be sent to another process.
    """
    try:
        return await client.fetch(request, raise_error=False)
    except Exception as error:
        failures.append(f'{request.url}: {error}')
        if request.method != 'GET' and not _is_unsent(error):
            raise CommandError(
                *failures,
                'the change may have been applied',
                code=ExitCode.UNKNOWN,
            ) from error
        return None


def _is_unsent(error: Exception) -> bool:
    """
    Return whether *error* occurred before any byte of a request was sent.

    All other errors, even those that usually occur before the first byte,
    count as a lost reply, so that a change is not sent twice.
    """
    if isinstance(error, HTTPTimeoutError):
        return 'connecting' in str(error)
    if isinstance(error, OSError) and error.errno in _UNREACHABLE_ERRNOS:
        return True
    return isinstance(error, ssl.SSLCertVerificationError | socket.gaierror)


def _check_status(response: httpclient.HTTPResponse) -> bytes:
    if response.code in range(HTTPStatus.OK, HTTPStatus.MULTIPLE_CHOICES):
        return response.body
    code = _EXIT_CODES.get(response.code, ExitCode.FAILURE)
    raise CommandError(*_error_body_lines(response), code=code)


def _error_body_lines(response: httpclient.HTTPResponse) -> list[str]:
    """
    Return the error lines in a response: the reason and its details.

    A conflict lists the edits that were accepted in the meantime.
    """
    try:
        document = msgspec.json.decode(response.body)
    except msgspec.DecodeError:
        document = None
    if not isinstance(document, dict):
        return [f'{response.effective_url}: {response.code} {response.reason}']
    reason = document.get('reason', f'{response.code} {response.reason}')
    lines = [str(reason), *map(str, document.get('errors', ()))]
    for delta_document in document.get('deltas', ()):
        lines.extend(_delta_lines(delta_document))
    return lines


def _delta_lines(document: Any) -> list[str]:
    try:
        delta = delta_from_document(document)
    except DocumentError as error:
        return [str(error)]
    return [
        f'version {delta.version} by {delta.member}: {line}'
        for change in delta.changes
        for line in describe_change(change)
    ]


def _decode(body: bytes) -> Any:
    try:
        return msgspec.json.decode(body) if body else None
    except msgspec.DecodeError as error:
        raise CommandError(
            f'the response is not JSON: {error}',
            code=ExitCode.FAILURE,
        ) from error
