"""
One HTTP exchange with the platform, with typed failures.
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
    Tell whether the answer says that nothing was done.
    """
    return reply.status in _NO_EFFECT_STATUSES


def encode(body: Any) -> bytes:
    """
    Return the JSON form of a body.
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
    Send a body; raises `NotSentError` or `ReplyLostError`.
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
    Fetch a path; raises `NotSentError` or `ReplyLostError`.
    """
    return await pool.send(
        HttpCall(method='GET', path=path, deadline_ms=timeout_ms),
    )
