"""
HTTP clients for the platform, the workers and the peers.
"""

from hawthornpier.adapters._clock import SystemClock
from hawthornpier.adapters._codec import (
    decode_message,
    decode_outcome,
    encode_message,
    encode_outcome,
)
from hawthornpier.adapters._connections import (
    REQUEST_ID_HEADER,
    ConnectionPool,
    HttpCall,
    HttpReply,
)
from hawthornpier.adapters._errors import (
    AdapterError,
    ConnectionEndedError,
    CouldNotConnectError,
    MessageError,
    NotSentError,
    ReplyLostError,
    SignatureError,
)
from hawthornpier.adapters._peer import HttpPeer, JobReference, JobSubmission
from hawthornpier.adapters._signing import (
    SigningKey,
    sign_headers,
    verify_headers,
)
from hawthornpier.adapters._store import (
    HttpHostList,
    HttpObjectStore,
    HttpTableStore,
)
from hawthornpier.adapters._worker import HttpWorker

__all__ = [
    'REQUEST_ID_HEADER',
    'AdapterError',
    'ConnectionEndedError',
    'ConnectionPool',
    'CouldNotConnectError',
    'HttpCall',
    'HttpHostList',
    'HttpObjectStore',
    'HttpPeer',
    'HttpReply',
    'HttpTableStore',
    'HttpWorker',
    'JobReference',
    'JobSubmission',
    'MessageError',
    'NotSentError',
    'ReplyLostError',
    'SignatureError',
    'SigningKey',
    'SystemClock',
    'decode_message',
    'decode_outcome',
    'encode_message',
    'encode_outcome',
    'sign_headers',
    'verify_headers',
]
