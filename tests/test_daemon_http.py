"""
Tests of the daemon's HTTP interface over loopback sockets.
"""

import asyncio
import json
import logging
from types import SimpleNamespace

import http_inputs as inputs
import pytest
from http_inputs import CALLER_HEADERS, IDEMPOTENT_PATH, ORDER_PATH, encoded
from http_server import (
    INVALID_OPERATOR_HEADERS,
    operator_headers,
    running_daemon,
    with_daemon,
)
from hypothesis import example, given

from hawthornpier.daemon._process import MAX_BODY_BYTES, MAX_HEADER_BYTES


class TestOperatorKeys:
    """
    Only operators can access the table, and only the jobs of their member.
    """

    @pytest.mark.parametrize('headers', INVALID_OPERATOR_HEADERS)
    async def test_every_route_needs_a_key(self, headers) -> None:
        """
        Each route rejects requests without the key of the named member.
        """
        async with running_daemon() as daemon:
            for method, path in inputs.OPERATOR_ROUTES:
                response = await daemon.send(method, path, b'{}', headers)
                assert (path, response.status) == (path, 401)
                assert response.json()['reason']

    async def test_jobs_of_other_members_are_hidden(self) -> None:
        """
        An operator can't show, cancel, list or resubmit another member's job.
        """
        async with running_daemon() as daemon:
            accepted = await daemon.send(
                'POST', '/v1/jobs', encoded(inputs.JOB), operator_headers()
            )
            job_id = accepted.json()['job_id']
            path, other = f'/v1/jobs/{job_id}', operator_headers('orchard')
            for method in ('GET', 'DELETE'):
                response = await daemon.send(method, path, b'', other)
                assert response.status == 404
            again = encoded(inputs.JOB, member='orchard', job_id=job_id)
            response = await daemon.send('POST', '/v1/jobs', again, other)
            assert response.status == 409
            assert b'carving-plan' not in response.body
            response = await daemon.send(
                'POST', '/v1/jobs', encoded(inputs.JOB), other
            )
            assert response.status == 403
            listed = await daemon.send('GET', '/v1/jobs', b'', other)
            assert not listed.json()['jobs']
            own = await daemon.send('GET', path, b'', operator_headers())
            assert own.json()['is_cancelled'] is False


class TestPeerSignatures:
    """
    Only processes with a signing key can use the peer routes.
    """

    @pytest.mark.parametrize(
        'fault',
        ['missing', 'key', 'expired', 'path', 'body', 'timestamp'],
    )
    async def test_every_route_needs_a_signature(self, fault) -> None:
        """
        A request without a valid signature is refused.

        The signature is missing or malformed, made with another key, expired,
        or made for another path or body.
        """
        key = inputs.OLD_KEY if fault == 'key' else inputs.NEW_KEY
        async with running_daemon(inputs.NEW_KEY, is_started=False) as daemon:
            for method, path in inputs.PEER_ROUTES:
                headers = inputs.signature(
                    key, method=method, path=path, body=b'{}', fault=fault
                )
                response = await daemon.send(method, path, b'{}', headers)
                assert (path, response.status) == (path, 401)
                assert response.json()['reason']

    @pytest.mark.parametrize('key', [inputs.NEW_KEY, inputs.OLD_KEY])
    async def test_both_keys_are_valid_in_a_rotation(self, key) -> None:
        """
        A process accepts messages signed with its new or its previous key.
        """
        path, body = '/peer/v1/heartbeat', encoded(inputs.HEARTBEAT)
        headers = inputs.signature(key, method='POST', path=path, body=body)
        async with running_daemon(
            inputs.NEW_KEY, inputs.OLD_KEY, is_started=False
        ) as daemon:
            response = await daemon.send('POST', path, body, headers)
            assert response.json()['heartbeat']['process_id'] == 'p1'


class TestMalformedInput:
    """
    Malformed input is refused with a reason before it reaches an owner.
    """

    @pytest.fixture(autouse=True)
    def no_errors_logged(self, caplog):
        """
        Fail a test if a traceback or an error was logged during it.
        """
        yield
        assert [
            record
            for record in caplog.get_records('call')
            if record.exc_info or record.levelno >= logging.ERROR
        ] == []

    def test_bodies(self) -> None:
        """
        A body that is not a message of the route is refused.
        """

        @inputs.HYPOTHESIS
        @given(body=inputs.BAD_BODIES)
        def check(send, body: bytes) -> None:
            for method, path in inputs.BODY_ROUTES:
                response = send(method, path, body, operator_headers())
                assert response.is_refusal(), (path, response)

        with_daemon(check)

    async def test_amounts_and_ids(self) -> None:
        """
        Negative and huge numbers and malformed ids are refused.
        """
        async with running_daemon() as daemon:
            for method, path, body in inputs.BAD_MESSAGES:
                response = await daemon.send(
                    method, path, body, operator_headers()
                )
                assert response.is_refusal(), (path, body, response)
            await daemon.assert_no_side_effects()
            # An invalid heartbeat must not corrupt the clock of the process
            # either.
            body = encoded(inputs.HEARTBEAT)
            response = await daemon.send('POST', '/peer/v1/heartbeat', body)
            assert response.status == 200

    def test_deadlines(self) -> None:
        """
        A deadline that is zero, malformed or has more than 9 digits is refused.
        """

        @inputs.HYPOTHESIS
        @given(text=inputs.BAD_DEADLINES)
        @example(text='0')
        @example(text='9' * 10)
        @example(text='9' * 5_000)
        def check(send, text: str) -> None:
            headers = CALLER_HEADERS | {'Deadline-Ms': text}
            response = send('POST', IDEMPOTENT_PATH, b'', headers)
            assert response.is_refusal(), response

        with_daemon(check)

    @pytest.mark.parametrize(('headers', 'body'), inputs.BAD_CALLS)
    async def test_callers(self, headers, body) -> None:
        """
        Malformed headers and bodies of callers are refused.
        """
        async with running_daemon() as daemon:
            assert (
                await daemon.send('POST', ORDER_PATH, body, headers)
            ).is_refusal()
            await daemon.assert_no_side_effects()

    async def test_paths_and_methods(self) -> None:
        """
        Unknown paths, methods and queries are refused with a reason.
        """
        async with running_daemon() as daemon:
            for method, path in inputs.BAD_PATHS:
                response = await daemon.send(
                    method, path, b'', operator_headers() | CALLER_HEADERS
                )
                assert response.is_refusal(), (method, path, response)

    async def test_limits_of_the_http_server(self) -> None:
        """
        An oversized body, oversized headers and a malformed header are refused.
        """
        async with running_daemon() as daemon:
            body = b'x' * (MAX_BODY_BYTES + 1)
            response = await daemon.send(
                'POST', IDEMPOTENT_PATH, body, CALLER_HEADERS
            )
            assert response.status == 400
            control = CALLER_HEADERS | {'Idempotency-Key': 'a\x00'}
            response = await daemon.send('POST', IDEMPOTENT_PATH, b'', control)
            assert response.status == 400
            # tornado closes the connection without a response.
            long = CALLER_HEADERS | {'Idempotency-Key': 'a' * MAX_HEADER_BYTES}
            with pytest.raises(asyncio.IncompleteReadError):
                await daemon.send('POST', IDEMPOTENT_PATH, b'', long)
            await daemon.assert_no_side_effects()


class TestOutcomes:
    """
    Each outcome has its own status and fields.
    """

    async def test_an_answer(self) -> None:
        """
        `Answer` has status 200 and contains the endpoint's response.
        """
        async with running_daemon() as daemon:
            for headers in (
                CALLER_HEADERS,
                CALLER_HEADERS | {'Idempotency-Key': 'k'},
            ):
                response = await daemon.send(
                    'POST', IDEMPOTENT_PATH, b'a', headers
                )
                outcome = response.json()
                assert response.status == 200
                assert outcome.keys() == {'kind', 'request_id', 'body'}
                assert outcome['kind'] == 'answer'

    async def test_not_run(self) -> None:
        """
        `NotRun` has status 503 and a reason.
        """
        async with running_daemon(is_started=False) as daemon:
            response = await daemon.send(
                'POST', IDEMPOTENT_PATH, b'a', CALLER_HEADERS
            )
            assert response.status == 503
            outcome = response.json()
            assert outcome['kind'] == 'not_run'
            assert outcome['reason'] == 'table_unconfirmed'

    async def test_unknown(self) -> None:
        """
        `Unknown` has status 504 and an instruction for retries.
        """
        async with running_daemon() as daemon:
            daemon.platform.worker_endpoint.request = _lose_reply
            headers = CALLER_HEADERS | {
                'Deadline-Ms': '200',
                'Idempotency-Key': 'k',
            }
            response = await daemon.send('POST', ORDER_PATH, b'a', headers)
            assert response.status == 504
            outcome = response.json()
            assert outcome['kind'] == 'unknown'
            assert outcome['ask_again']

    async def test_a_non_idempotent_request_needs_a_key(self) -> None:
        """
        A request to a non-idempotent service without a key does not run.
        """
        async with running_daemon() as daemon:
            response = await daemon.send(
                'POST', ORDER_PATH, b'a', CALLER_HEADERS
            )
            assert response.status == 400
            assert 'Idempotency-Key' in response.json()['reason']
            await daemon.assert_no_side_effects()


class TestConnections:
    """
    Each response belongs to the last request on its connection.
    """

    async def test_responses_are_not_mixed_up(self) -> None:
        """
        Concurrent requests on keep-alive connections get their own responses.
        """
        async with running_daemon() as daemon:

            async def call(name: str) -> None:
                connection = await daemon.connect()
                for number in range(8):
                    text = f'{name}-{number}'
                    headers = CALLER_HEADERS | {'X-Request-Id': text}
                    response = await connection.send(
                        'POST', IDEMPOTENT_PATH, text.encode(), headers
                    )
                    assert json.loads(response.json()['body'])['echo'] == text
                    assert response.headers['x-request-id'] == text

            await asyncio.gather(*(call(f'c{each}') for each in range(6)))

    async def test_refusals_repeat_the_request_id(self) -> None:
        """
        Every response has the request id, also the error responses of tornado.
        """
        async with running_daemon(is_started=False) as daemon:
            connection = await daemon.connect()
            for method, path in (
                ('GET', '/healthz'),
                ('GET', '/none'),
                ('ODD', '/healthz'),
                ('GET', '/metrics'),
                *inputs.OPERATOR_ROUTES,
                *inputs.PEER_ROUTES,
                ('POST', IDEMPOTENT_PATH),
            ):
                headers = {'X-Request-Id': path}
                response = await connection.send(method, path, b'', headers)
                assert response.headers['x-request-id'] == path
            # An id that is not valid in a response header is omitted.
            headers = {'X-Request-Id': 'a\x85b'}
            response = await connection.send('GET', '/healthz', b'', headers)
            assert response.status == 200

    async def test_leaving_closes_connections(self) -> None:
        """
        All responses of a leaving process ask clients to close connections.
        """
        async with running_daemon(is_started=False) as daemon:
            daemon.node.activity.is_leaving = True
            for path in ('/healthz', '/none', '/v1/table'):
                response = await daemon.send('GET', path)
                assert response.headers['connection'] == 'close'
            assert daemon.node.activity.open_request_count == 0


class TestHealth:
    """
    Health, readiness and metrics routes.
    """

    async def test_readiness(self) -> None:
        """
        A process is ready if its table is confirmed and it is not leaving.
        """
        async with running_daemon(is_started=False) as daemon:
            assert (await daemon.send('GET', '/readyz')).status == 503
            await daemon.start()
            assert (await daemon.send('GET', '/readyz')).status == 200
            daemon.node.activity.is_leaving = True
            response = await daemon.send('GET', '/readyz')
            assert response.status == 503
            assert response.json() == {'is_ready': False}
            assert (await daemon.send('GET', '/healthz')).status == 200

    async def test_timeline_with_unreadable_events_of_a_peer(self) -> None:
        """
        Guards against a timeline that a peer of another version prevents.
        """
        odd = [b'[{"kind": "odd"}]', b'[' * 9_000, b'\xff']

        async def events() -> bytes:
            return odd.pop()

        async with running_daemon() as daemon:
            node = daemon.node
            node._connections = SimpleNamespace(
                peer=lambda address: SimpleNamespace(events=events)
            )
            peers = [SimpleNamespace(address=number) for number in range(3)]
            node._membership.live_peers = lambda: peers
            response = await daemon.send(
                'GET', '/v1/timeline', b'', operator_headers()
            )
            assert response.status == 200
            assert b'process_started' in response.body
            assert not odd

    async def test_requests_are_counted(self) -> None:
        """
        The metrics are in text format and count requests by outcome.
        """
        async with running_daemon() as daemon:
            await daemon.send('POST', IDEMPOTENT_PATH, b'a', CALLER_HEADERS)
            response = await daemon.send('GET', '/metrics')
            assert response.status == 200
            assert response.headers['content-type'].startswith('text/plain')
            assert b'outcome="Answer"' in response.body


async def _lose_reply(request: object) -> None:
    await asyncio.Event().wait()
