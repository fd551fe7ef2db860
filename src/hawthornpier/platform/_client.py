"""
HTTP requests to the platform's store and workers.
"""

from http import HTTPStatus
from typing import Any

import msgspec

from hawthornpier.adapters import ConnectionPool, HttpCall, HttpReply

_NO_EFFECT_STATUSES = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE),
)


def is_refusal(reply: HttpReply) -> bool:
    """
    Return whether the status means that the request had no effect.
    """
    return reply.status in _NO_EFFECT_STATUSES


def encode(body: Any) -> bytes:
    """
    Encode the body of a request as JSON.
    """
    return msgspec.json.encode(body)


async def post(
    pool: ConnectionPool,
    path: str,
    body: Any,
    *,
    timeout_ms: float,
    headers: dict[str, str] | None = None,
) -> HttpReply:
    """
    Send a POST request with a JSON body.

    Raises:
        NotSentError: The request was not sent.
        ReplyLostError: The request may have been processed.
    """
    return await pool.send(
        HttpCall(
            method='POST',
            path=path,
            body=encode(body),
            deadline_ms=timeout_ms,
            headers=headers or {},
        ),
    )


async def get(
    pool: ConnectionPool,
    path: str,
    *,
    timeout_ms: float,
) -> HttpReply:
    """
    Send a GET request.

    Raises:
        NotSentError: The request was not sent.
        ReplyLostError: The request may have been processed.
    """
    return await pool.send(
        HttpCall(method='GET', path=path, deadline_ms=timeout_ms),
    )
