"""
Tests of calls that the HTTP client cancels.
"""

import asyncio
import json

import pytest
from platform_installation import JOB_ID, job_body, run
from tornado.curl_httpclient import CurlAsyncHTTPClient

from hawthornpier.adapters import ConnectionPool, HttpCall, ReplyLostError


def cancelled_fetch(client, request, **options):
    reply = asyncio.get_running_loop().create_future()
    reply.cancel()
    return reply


class TestCancelledCalls:
    """
    A call that the HTTP client cancels ends for its user, too.
    """

    def test_the_reply_counts_as_lost(self, monkeypatch):
        """
        Guards against a user that takes it for its own cancellation.
        """
        monkeypatch.setattr(CurlAsyncHTTPClient, 'fetch', cancelled_fetch)

        async def scenario():
            pool = ConnectionPool('127.0.0.1:1', connection_limit=1)
            for _ in range(2):
                with pytest.raises(ReplyLostError):
                    await pool.send(
                        HttpCall(method='GET', path='/', deadline_ms=300)
                    )
            pool.close()

        asyncio.run(scenario())

    def test_callers_are_answered(self, monkeypatch):
        """
        Guards against a status that does not tell whether the job may run.
        """

        async def scenario(installation):
            settings = installation.start_process('a')
            await installation.wait_ready(settings)
            await installation.wait_owner()
            with monkeypatch.context() as patch:
                patch.setattr(CurlAsyncHTTPClient, 'fetch', cancelled_fetch)
                async with asyncio.timeout(5):
                    code, reply = await installation.call(
                        settings, 'POST', f'/jobs/{JOB_ID}', job_body()
                    )
            assert code == 504
            assert 'error' in json.loads(reply)
            await asyncio.sleep(1)
            code, _ = await installation.call(
                settings, 'POST', f'/jobs/{JOB_ID}', job_body()
            )
            assert code == 200

        run(scenario)
