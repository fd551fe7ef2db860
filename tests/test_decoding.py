"""
Tests of the decoding of what other processes and programs wrote.
"""

from types import MappingProxyType

import pytest

from hawthornpier.adapters import HttpReply, MessageError, decode_message
from hawthornpier.fleet import StoredRow
from hawthornpier.fleet._peer_client import _decode as decode_peer_reply
from hawthornpier.fleet._peer_port import Presence
from hawthornpier.platform import PlatformDecoder
from hawthornpier.platform._records import (
    BodyError,
    decode_configuration,
    decode_job,
)
from hawthornpier.platform._store import _decode as decode_store_reply
from hawthornpier.platform._worker import _decode_listing, _decode_order_reply
from hawthornpier.ports import (
    PeerReplyLostError,
    StoreReplyLostError,
    WorkerReplyLostError,
)
from hawthornpier.steps import (
    JobPlan,
    QueuePolicy,
    RecordError,
    StepPlan,
    decode_phase,
    decode_plan,
    restore_progress,
)
from hawthornpier.steps._state import Job

QUEUE = QueuePolicy(name='orders', service='desk')
PLAN = JobPlan(
    job_id='a' * 16, payload='', steps=(StepPlan(task_count=1),), queue=QUEUE
)
DEEP = b'{"unknown":%s1%s}' % (b'[' * 5_000, b']' * 5_000)


def decode_workers(content):
    row = StoredRow(table='servers', part='', key='i-1', content=content)
    return PlatformDecoder().workers([row])


# Each decoder, and the error with which it rejects a document.
DECODERS = MappingProxyType(
    {
        'order reply': (
            lambda content: _decode_order_reply(
                HttpReply(status=200, body=content)
            ),
            WorkerReplyLostError,
        ),
        'listing': (
            lambda content: _decode_listing(
                HttpReply(status=200, body=content)
            ),
            WorkerReplyLostError,
        ),
        'store reply': (
            lambda content: decode_store_reply(
                HttpReply(status=200, body=content)
            ),
            StoreReplyLostError,
        ),
        'peer reply': (
            lambda content: decode_peer_reply(
                HttpReply(status=200, body=content), Presence
            ),
            PeerReplyLostError,
        ),
        'submission': (
            lambda content: decode_job(
                'a' * 16, content, queue=QUEUE, submitted_ms=0
            ),
            BodyError,
        ),
        'plan': (decode_plan, RecordError),
        'phase': (decode_phase, RecordError),
        'progress': (
            lambda content: restore_progress(Job(PLAN, 0), content),
            RecordError,
        ),
        'message': (
            lambda content: decode_message(content, Presence),
            MessageError,
        ),
    }
)


class TestDeepNesting:
    """
    A document that is nested too deeply is unreadable, like any other one.
    """

    @pytest.mark.parametrize('name', DECODERS)
    def test_a_deeply_nested_document(self, name):
        """
        Guards against a `RecursionError` that ends the reader of a message.
        """
        decode, error_type = DECODERS[name]
        with pytest.raises(error_type):
            decode(DEEP)

    def test_a_deeply_nested_row(self):
        """
        Guards against an owner that ends whenever it reads the registry.
        """
        assert not decode_workers(DEEP)
        assert decode_configuration(DEEP) is None
