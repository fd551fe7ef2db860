"""
Signatures of messages between processes.

A signature covers the method, the path, the timestamp and the body.  It does
not prevent replay within the accepted clock difference; all messages between
processes are idempotent.
"""

import hashlib
import hmac
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from hawthornpier.adapters._errors import SignatureError

KEY_ID_HEADER = 'X-Hawthornpier-Key'
TIMESTAMP_HEADER = 'X-Hawthornpier-Timestamp-Ms'
SIGNATURE_HEADER = 'X-Hawthornpier-Signature'

# Diskless hosts may synchronise their wall clocks only some seconds after they
# start, so the limit is generous.
_MAX_CLOCK_DIFFERENCE_MS = 30_000
_MAX_TIMESTAMP_DIGITS = 18


@dataclass(frozen=True, slots=True, kw_only=True)
class SigningKey:
    """
    A secret key that processes share.
    """

    key_id: str
    secret: bytes = field(repr=False)


def sign_headers(
    key: SigningKey,
    *,
    method: str,
    path: str,
    timestamp_ms: int,
    body: bytes,
) -> dict[str, str]:
    """
    Return the headers that carry the signature of a message.

    Args:
        key: The key to sign with.
        method: HTTP method in upper case.
        path: Path of the request, including the query if there is one.
        timestamp_ms: Wall clock of the sender.
        body: The body as sent.
    """
    return {
        KEY_ID_HEADER: key.key_id,
        TIMESTAMP_HEADER: str(timestamp_ms),
        SIGNATURE_HEADER: _digest(key, method, path, timestamp_ms, body),
    }


def verify_headers(
    keys: Iterable[SigningKey],
    headers: Mapping[str, str],
    *,
    method: str,
    path: str,
    body: bytes,
    now_ms: int,
    max_difference_ms: int = _MAX_CLOCK_DIFFERENCE_MS,
) -> None:
    """
    Verify the signature of a message.

    Args:
        keys: The valid keys; two during a key rotation.
        headers: Headers of the request; names may be in any case.
        method: HTTP method in upper case.
        path: Path of the request, including the query if there is one.
        body: The body as received.
        now_ms: Wall clock of the receiver.
        max_difference_ms: Maximum accepted difference between *now_ms* and the
            timestamp of the message.

    Raises:
        SignatureError: The message must be rejected.
    """
    lowercase_headers = {name.lower(): text for name, text in headers.items()}
    timestamp_ms = _parse_timestamp(lowercase_headers)
    if abs(now_ms - timestamp_ms) > max_difference_ms:
        raise SignatureError(
            f'the timestamp differs from the local clock by '
            f'{now_ms - timestamp_ms} ms',
        )
    key_id = lowercase_headers.get(KEY_ID_HEADER.lower(), '')
    signature = lowercase_headers.get(SIGNATURE_HEADER.lower(), '').encode()
    for key in keys:
        expected = _digest(key, method, path, timestamp_ms, body).encode()
        if key.key_id == key_id and hmac.compare_digest(expected, signature):
            return
    raise SignatureError(
        f'the message has no valid signature by key {key_id!r}'
    )


def _parse_timestamp(lowercase_headers: Mapping[str, str]) -> int:
    text = lowercase_headers.get(TIMESTAMP_HEADER.lower(), '')
    is_number = text.isascii() and text.isdigit()
    # int and str raise ValueError for numbers of several thousand digits.
    if not is_number or len(text) > _MAX_TIMESTAMP_DIGITS:
        raise SignatureError('the timestamp header is missing or malformed')
    return int(text)


def _digest(
    key: SigningKey,
    method: str,
    path: str,
    timestamp_ms: int,
    body: bytes,
) -> str:
    head = '\n'.join((method, path, str(timestamp_ms), ''))
    return hmac.new(
        key.secret, head.encode() + body, hashlib.sha256
    ).hexdigest()
