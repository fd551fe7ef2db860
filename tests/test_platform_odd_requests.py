"""
Tests of malformed requests that arrive over real connections.
"""

import asyncio

import pytest
from platform_installation import HOST, JOB_ID, job_body, run

BASE_PATH = f'/jobs/{JOB_ID}'
GOOD_HEADER = f'Host: {HOST}'
DEEP = '[' * 100_000
HUGE = '9' * 5_000
BODIES = (
    DEEP,
    f'{{"unknown":{DEEP}',
    f'{{"spec":"x","phases":[{{"count":{HUGE}}}]}}',
    '{"spec":"x","phases":[{"count":1e999}]}',
    r'{"spec":"\ud800 ","phases":[{"count":1}]}',
    '{"spec":"x","phases":[{"count":1,"after":[-1]}]}',
    '{"spec":"x","phases":[{"count":1,"after":[0]}]}',
    'null',
    '',
)
PATHS = (
    '*',
    '/',
    '/jobs/%00',
    '/jobs/%zz',
    '/jobs/../jobs/',
    f'/jobs/{"a" * 20_000}',
    f'//{HOST}/jobs/',
    f'http://{HOST}/jobs/{JOB_ID}?a=%ff',
    '/jobs/\xff\xfe',
    '/fleet/v1/presence?wait_ms=x',
    f'/fleet/v1/presence?wait_ms={HUGE}',
    '/fleet/v1/configuration?after=nan&wait_ms=-1',
    f'/fleet/v1/handover/{HUGE}',
    '/fleet/v1/jobs',
    '/fleet/v1/relayed-jobs',
    '/fleet/v1/relayed-cancels/%2e%2e',
    '/fleet/v1/pending/%ff',
    '/fleet/v1/relay',
)
HEADERS = (
    'Host: \xff\xfe',
    f'Host: {HOST}\r\nHost: other',
    f'Host: {HOST}\r\nContent-Length: -1',
    f'Host: {HOST}\r\nContent-Length: {HUGE}',
    f'Host: {HOST}\r\nTransfer-Encoding: chunked\r\n\r\nzz',
    f'Host: {HOST}\r\nContent-Type: multipart/form-data; boundary=',
    f'Host: {HOST}\r\nContent-Encoding: gzip',
    f'Host: {HOST}\r\nDeadline-Ms: {HUGE}',
    f'Host: {HOST}\r\nX: {"x" * 70_000}',
    'no header',
)


def request(method, path, header=GOOD_HEADER, body=''):
    content = body.encode()
    head = f'{method} {path} HTTP/1.1\r\n{header}\r\n'
    length = f'Content-Length: {len(content)}\r\n\r\n'
    return head.encode('latin1') + length.encode() + content


def odd_requests():
    for body in BODIES:
        for path in (BASE_PATH, '/fleet/v1/jobs', '/fleet/v1/relayed-jobs'):
            yield request('POST', path, body=body)
    for method in ('GET', 'POST', 'DELETE', 'X' * 100):
        for odd_path in PATHS:
            yield request(method, odd_path, body='{}')
        for header in HEADERS:
            yield request(method, BASE_PATH, header, job_body())
    yield b'\x16\x03\x01\x02\x00\x01'
    yield b'GET'


async def send(address, content):
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(content)
    writer.write_eof()
    try:
        async with asyncio.timeout(3):
            return await reader.read(12)
    except (OSError, TimeoutError):
        return b''
    finally:
        writer.close()


@pytest.mark.parametrize('server', ['frontend', 'peer', 'readiness'])
def test_odd_requests_end_no_process(server):
    """
    Guards against a request that ends a process or fails in a handler.

    Malformed requests of other processes may be answered with status 500.
    """

    async def scenario(installation):
        settings = installation.start_process('a')
        await installation.wait_ready(settings)
        failures = []
        node = installation.processes['a'][0].node
        record = node.log.record

        def record_failure(kind, **fields):
            is_failure = kind in {'handler_failed', 'part_failed'}
            # Tornado's own error for a method that a handler does not have.
            if is_failure and 'HTTPError' not in fields['why']:
                failures.append(fields)
            record(kind, **fields)

        node.log.record = record_failure
        address = getattr(settings, f'{server}_address')
        for content in odd_requests():
            status = await send(address, content)
            if status.startswith(b'HTTP/1.1 5') and server != 'peer':
                failures.append((status, content[:200]))
        assert not failures
        code, _ = await installation.call(
            settings, 'POST', '/jobs/00000000000000aa', job_body()
        )
        assert code == 200

    run(scenario)
