"""
Tests of the decoding of what other processes and programs wrote.
"""

import asyncio
import contextlib
import json
from types import MappingProxyType

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from virtual_time import VirtualClock, run_virtual

from hawthornpier import coordination as co
from hawthornpier.adapters import HttpReply, MessageError, decode_message
from hawthornpier.coordination._owner_rows import OwnerRows
from hawthornpier.decoding import DecodingError, decode_json
from hawthornpier.fleet import StoredRow
from hawthornpier.fleet._peer_client import _decode as decode_peer
from hawthornpier.fleet._peer_port import Presence
from hawthornpier.fleet._relay_messages import CallBatch
from hawthornpier.messages import Row
from hawthornpier.platform import PlatformDecoder
from hawthornpier.platform._records import (
    BodyError,
    decode_configuration,
    decode_job,
)
from hawthornpier.platform._store import _decode as decode_store
from hawthornpier.platform._store import _decode_rows
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
from hawthornpier.table import TableUnavailableError
from hawthornpier.table._commit import read_head

QUEUE = QueuePolicy(name='orders', service='desk')
PLAN = JobPlan(
    job_id='a' * 16, payload='', steps=(StepPlan(task_count=1),), queue=QUEUE
)
WORKER = MappingProxyType(
    {
        'service': 'desk',
        'address': '10.0.0.1:80',
        'state': 'ready',
        'capacity': {'cpu': 8_000, 'ram_mb': 32_000},
        'born': 5,
    }
)
DEEP = b'{"unknown":%s1%s}' % (b'[' * 5_000, b']' * 5_000)


def decode_workers(content):
    row = StoredRow(table='servers', part='', key='i-1', content=content)
    return PlatformDecoder().workers([row])


def http_reply(content):
    return HttpReply(status=200, body=content)


PRESENCE = MappingProxyType({'process_id': 'n0/1', 'epoch': 3})
PROGRESS = MappingProxyType(
    {
        'phase': 'failed',
        'has_started': True,
        'steps': {'0.0': {'done': '1', 'failed': {'0': [1]}}},
    }
)
# Each decoder, the error with which it rejects a document, and a valid one.
DECODERS = MappingProxyType(
    {
        'order reply': (
            lambda content: _decode_order_reply(http_reply(content)),
            WorkerReplyLostError,
            {'clock_ms': 1},
        ),
        'listing': (
            lambda content: _decode_listing(http_reply(content)),
            WorkerReplyLostError,
            {
                'clock_ms': 1,
                'born': 1,
                'running': [['t', 1, 'c', 1, 1]],
                'finished': [[1, 't', 1, 'done', 'c']],
            },
        ),
        'store reply': (
            lambda content: _decode_rows(decode_store(http_reply(content))),
            StoreReplyLostError,
            {'ver': 1, 'now_ms': 1, 'rows': [{'table': 't', 'value': 'YQ=='}]},
        ),
        'peer reply': (
            lambda content: decode_peer(http_reply(content), Presence),
            PeerReplyLostError,
            dict(PRESENCE),
        ),
        'call batch': (
            lambda content: decode_json(content, CallBatch),
            DecodingError,
            {'sent_ms': 1, 'calls': [[1, 2, ['stop', 't', 1, 1]]]},
        ),
        'submission': (
            lambda content: decode_job(
                'a' * 16, content, queue=QUEUE, submitted_ms=0
            ),
            BodyError,
            {'phases': [{'count': 1, 'cpu': 1, 'after': []}], 'start_at_ms': 1},
        ),
        'plan': (
            decode_plan,
            RecordError,
            json.loads(msgspec.json.encode(PLAN)),
        ),
        'phase': (decode_phase, RecordError, dict(PROGRESS)),
        'progress': (
            lambda content: restore_progress(Job(PLAN, 0), content),
            RecordError,
            dict(PROGRESS),
        ),
        'message': (
            lambda content: decode_message(content, Presence),
            MessageError,
            dict(PRESENCE),
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
        decode, error_type, _ = DECODERS[name]
        with pytest.raises(error_type):
            decode(DEEP)

    def test_a_deeply_nested_row(self):
        """
        Guards against an owner that ends whenever it reads the registry.
        """
        assert not decode_workers(DEEP)
        assert decode_configuration(DEEP) is None


class TestImplausibleValues:
    """
    Numbers and addresses that cannot be true make a document unreadable.
    """

    @pytest.mark.parametrize(
        'fields',
        [
            {'capacity': {'cpu': 10**40, 'ram_mb': 1}},
            {'capacity': {'cpu': 1, 'ram_mb': -1}},
            {'born': 10**30},
            {'born': -1},
            {'remaining_ms': 10**30},
            {'address': '10.0.0.1:70000'},
            {'address': '10.0.0.1:0'},
            {'address': '10.0.0.1'},
            {'address': 'user@10.0.0.1:80'},
            {'labels': ['a' * 10_000]},
        ],
    )
    def test_a_row_of_a_worker(self, fields):
        """
        Guards against starts on a worker that cannot exist.
        """
        assert decode_workers(msgspec.json.encode({**WORKER, **fields})) == []

    def test_a_worker_without_free_capacity(self):
        """
        Guards against a worker that is dropped because its capacity shrank.
        """
        row = {**WORKER, 'capacity': {'cpu': 0, 'ram_mb': 0}}
        assert len(decode_workers(msgspec.json.encode(row))) == 1

    @pytest.mark.parametrize(
        ('name', 'content'),
        [
            ('order reply', b'{"clock_ms":1%s}' % (b'0' * 400)),
            ('listing', b'{"clock_ms":-1}'),
            ('listing', b'{"clock_ms":1,"running":[["t",1,"",1,1e300]]}'),
            ('listing', b'{"clock_ms":1,"finished":[[-1,"t",1,"done"]]}'),
            (
                'submission',
                b'{"phases":[{"count":1}],"start_at_ms":1%s}' % (b'0' * 400),
            ),
        ],
    )
    def test_a_message(self, name, content):
        """
        Guards against arithmetic that overflows in the owner.
        """
        decode, error_type, _ = DECODERS[name]
        with pytest.raises(error_type):
            decode(content)

    def test_a_configuration(self):
        """
        Guards against deadlines of jobs that overflow in the owner.
        """
        route = dict.fromkeys(('name', 'host', 'path_prefix', 'service'), 'a')
        row = {'version': 1, 'routes': [{**route, 'target_latency_ms': 1e300}]}
        assert decode_configuration(msgspec.json.encode(row)) is None


TEXT = st.text(max_size=8)
NUMBER = st.integers() | st.sampled_from((-(10**40), 10**30, 10**400, 2**63))
JSON = st.recursive(
    st.none() | st.booleans() | st.floats(allow_nan=False) | NUMBER | TEXT,
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(TEXT, inner, max_size=3)
    ),
    max_leaves=8,
)
ANYTHING = TEXT | NUMBER | JSON


@st.composite
def variants(draw, document):
    """
    Generate a document in which a value at any depth is replaced.
    """
    if not document or not isinstance(document, (dict, list)):
        return draw(ANYTHING)
    is_list = isinstance(document, list)
    key = draw(
        st.sampled_from(range(len(document)) if is_list else tuple(document))
    )
    copy = document.copy()
    copy[key] = draw(ANYTHING | variants(document[key]))
    return copy


class TestAnyContent:
    """
    Whatever a document contains, it is decoded or rejected as unreadable.
    """

    @given(data=st.data())
    @pytest.mark.parametrize('name', DECODERS)
    def test_a_message(self, name, data):
        """
        Guards against one malformed message that ends a part of a process.
        """
        decode, error_type, valid = DECODERS[name]
        decode(json.dumps(valid).encode())
        encoded = variants(valid).map(json.dumps).map(str.encode)
        with contextlib.suppress(error_type):
            decode(data.draw(encoded | st.binary(max_size=40)))

    @given(row=variants(dict(WORKER)))
    def test_a_row(self, row):
        """
        Guards against one malformed row that stops the reader of a table.
        """
        content = json.dumps(row).encode()
        for entry in decode_workers(content):
            assert entry.processor_millis >= 0
        decode_configuration(content)


class RowLink:
    """
    A connection to a store that holds the same text in all rows.
    """

    is_out = False
    text = ''

    async def read(self, key):
        return Row(key=key, version=1, text=self.text)

    async def scan(self, prefix):
        return (Row(key=f'{prefix}d/0', version=1, text=self.text),)


class TestStoredRows:
    """
    An unreadable row of one process or shard does not hide the others.
    """

    def test_an_unreadable_row(self):
        """
        Guards against one malformed row that ends every process.
        """

        async def scenario():
            link, clock = RowLink(), VirtualClock()
            link.text = DEEP.decode()
            directory = co.ProcessDirectory(link, clock, co.LeaseTimings())
            await directory.refresh()
            assert directory.is_expired('d/0')
            owners = OwnerRows(link, clock, co.OwnershipTimings(), 'd')
            await owners.read()
            assert not owners.owners

        run_virtual(scenario())

    def test_an_unreadable_row_of_the_table(self):
        """
        Guards against an error that ends the synchronization of the table.
        """
        link = RowLink()
        link.text = DEEP.decode()
        with pytest.raises(TableUnavailableError):
            asyncio.run(read_head(link))
