"""
CPU time of a POST over a persistent connection on loopback.
"""

import asyncio
import os
import subprocess
import sys
import time
from collections.abc import Iterator

from capacity.measurement import Measurement
from tornado.curl_httpclient import CurlAsyncHTTPClient

_POST_COUNT = 2_000
_SIZES = (300, 8_492)
_CONNECTION_COUNTS = (1, 16)


def measure() -> Iterator[Measurement]:
    """
    Yield the CPU time per POST of the client and of the server.

    The server runs in a process of its own.
    """
    child = subprocess.Popen(
        [sys.executable, '-m', 'capacity.server'],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        env={'PYTHONPATH': os.pathsep.join(sys.path)},
    )
    with child:
        assert child.stdout is not None
        port = int(child.stdout.readline())
        for size in _SIZES:
            for connection_count in _CONNECTION_COUNTS:
                yield from asyncio.run(
                    _measure_posts(port, size, connection_count)
                )
        # The server exits when its standard input is closed.
        child.communicate()


async def _measure_posts(
    port: int,
    size: int,
    connection_count: int,
) -> list[Measurement]:
    client = CurlAsyncHTTPClient(
        force_instance=True,
        max_clients=connection_count,
    )
    url = f'http://127.0.0.1:{port}/'
    body = b'x' * size
    # Warm up: open the connections and run the code paths once.
    await _post_concurrently(
        client, url, body, connection_count * 10, connection_count
    )
    server_before = await _server_seconds(client, url)
    before = time.process_time()
    await _post_concurrently(client, url, body, _POST_COUNT, connection_count)
    client_seconds = time.process_time() - before
    server_seconds = await _server_seconds(client, url) - server_before
    client.close()
    case = f'{size} B, {connection_count} connections'
    return [
        Measurement(
            name=f'POST.{side} ({case})',
            amount=seconds / _POST_COUNT * 1_000_000,
            unit='us',
        )
        for side, seconds in (
            ('client', client_seconds),
            ('server', server_seconds),
        )
    ]


async def _post_concurrently(
    client: CurlAsyncHTTPClient,
    url: str,
    body: bytes,
    count: int,
    concurrency: int,
) -> None:
    await asyncio.gather(
        *(
            _post_sequentially(client, url, body, count // concurrency)
            for _ in range(concurrency)
        ),
    )


async def _post_sequentially(
    client: CurlAsyncHTTPClient,
    url: str,
    body: bytes,
    count: int,
) -> None:
    for _ in range(count):
        await client.fetch(url, method='POST', body=body)


async def _server_seconds(client: CurlAsyncHTTPClient, url: str) -> float:
    response = await client.fetch(url)
    return float(response.body)
