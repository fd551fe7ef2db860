"""
Routes of the daemon with valid and malformed input for them.
"""

import json
from collections.abc import Mapping
from types import MappingProxyType

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from node_world import IDEMPOTENT, ORDER

from hawthornpier.adapters import SigningKey, SystemClock, sign_headers

OPERATOR_ROUTES = (
    ('POST', '/v1/jobs'),
    ('GET', '/v1/jobs'),
    ('GET', '/v1/jobs/ipoh.0~1'),
    ('DELETE', '/v1/jobs/ipoh.0~1'),
    ('GET', '/v1/table'),
    ('PUT', '/v1/table'),
    ('GET', '/v1/table/history'),
    ('POST', '/v1/table/approvals'),
    ('GET', '/v1/status'),
    ('GET', '/v1/timeline'),
)
PEER_ROUTES = (
    ('POST', '/peer/v1/heartbeat'),
    ('POST', '/peer/v1/forward'),
    ('POST', '/peer/v1/jobs/submit'),
    ('POST', '/peer/v1/jobs/show'),
    ('POST', '/peer/v1/jobs/cancel'),
    ('GET', '/peer/v1/events'),
)
BODY_ROUTES = tuple(
    (method, path)
    for method, path in (*OPERATOR_ROUTES, *PEER_ROUTES)
    if method in {'POST', 'PUT'}
)
NEW_KEY = SigningKey(key_id='new', secret=b'n' * 32)
OLD_KEY = SigningKey(key_id='old', secret=b'o' * 32)
IDEMPOTENT_PATH = f'/v1/services/{IDEMPOTENT}/requests'
ORDER_PATH = f'/v1/services/{ORDER}/requests'
CALLER_HEADERS = MappingProxyType({'X-Member': 'yayasan'})
HUGE = 10**30
JOB = MappingProxyType(
    {
        'member': 'yayasan',
        'workload': 'carving-plan',
        'task_count': 1,
        'demand': {'slot_count': 1, 'processor_millis': 100},
        'declared_work_ms': 10,
    }
)
STAMP = MappingProxyType({'wall_ms': 1, 'counter': 0, 'process_id': 'p2'})
HEARTBEAT = MappingProxyType(
    {
        'process_id': 'p2',
        'incarnation': 'i',
        'address': '127.0.0.1:1',
        'region': 'semenanjung',
        'failure_domain': 'ipoh',
        'table_version': 0,
        'table_age_ms': 0,
        'is_store_out': False,
        'is_leaving': False,
        'stamp': dict(STAMP),
    }
)
FORWARD = MappingProxyType(
    {
        'request_id': 'r',
        'shard': 'ipoh/0',
        'member': 'yayasan',
        'service': IDEMPOTENT,
        'body': '',
        'remaining_ms': 100,
    }
)


def encoded(document: object, **changes: object) -> bytes:
    """
    Return a document as JSON, with the fields in *changes* replaced.
    """
    if isinstance(document, Mapping):
        document = {**document, **changes}
    return json.dumps(document).encode()


# Bodies that every route with a body must refuse.
BAD_DOCUMENTS = (
    b'[' * 50_000,
    b'{"base_version":1,"edits":%s' % (b'[' * 50_000),
    b'{"member":"\xff"}',
    b'{"base_version":1,"edits":[{"put":{"kind":[]}}]}',
)
# Bodies that are malformed for the given route only.
_BAD_POSTS = (
    *(
        ('/v1/jobs', encoded(JOB, **{name: amount}))
        for name in ('task_count', 'declared_work_ms', 'work_ms')
        for amount in (-1, HUGE, 1.5, '1', None)
    ),
    ('/v1/jobs', encoded(JOB, demand={'memory_bytes': -1})),
    ('/v1/jobs', encoded(JOB, demand={'memory_bytes': HUGE})),
    ('/v1/jobs', encoded(JOB, job_id='../row')),
    ('/v1/jobs', encoded(JOB, workload='x' * 1_000)),
    (
        '/peer/v1/jobs/submit',
        encoded({'job_id': 'ipoh.0~/', 'spec': dict(JOB)}),
    ),
    (
        '/peer/v1/jobs/submit',
        encoded({'job_id': 'ipoh.0~1', 'spec': {**JOB, 'task_count': HUGE}}),
    ),
    ('/peer/v1/jobs/show', encoded({'job_id': 'x'})),
    ('/peer/v1/jobs/cancel', encoded({'job_id': 'x/y'})),
    ('/peer/v1/forward', encoded(FORWARD, remaining_ms=-1)),
    ('/peer/v1/forward', encoded(FORWARD, remaining_ms=HUGE)),
    ('/peer/v1/heartbeat', encoded(HEARTBEAT, table_version=HUGE)),
    (
        '/peer/v1/heartbeat',
        encoded(HEARTBEAT, stamp={**STAMP, 'counter': HUGE}),
    ),
    ('/v1/table/approvals', encoded({'member': 'x', 'base_version': HUGE})),
)
BAD_MESSAGES = (
    *(('POST', path, body) for path, body in _BAD_POSTS),
    *((*route, body) for route in BODY_ROUTES for body in BAD_DOCUMENTS),
)
BAD_BODIES = st.one_of(
    st.binary(max_size=60),
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(
                st.sampled_from(('member', 'edits', 'job_id', 'base_version')),
                inner,
            )
        ),
        max_leaves=6,
    ).map(encoded),
)
BAD_DEADLINES = st.text(
    # tornado refuses control characters in headers before it calls a handler.
    st.characters(
        min_codepoint=0x21, max_codepoint=0xFF, exclude_categories=['Cc']
    ),
    min_size=1,
    max_size=40,
).filter(lambda text: not (text.isascii() and text.isdigit()))

# Malformed headers and bodies for the service that is not idempotent.  No
# request has a valid idempotency key, so none may run.
BAD_CALLS = (
    ({}, b''),
    ({'X-Member': ''}, b''),
    ({'X-Member': '\xff%s'}, b''),
    ({'X-Member': 'm' * 9_000}, b''),
    (CALLER_HEADERS | {'Idempotency-Key': 'k' * 201}, b''),
    (CALLER_HEADERS | {'Idempotency-Key': 'k\xff'}, b''),
    (CALLER_HEADERS | {'Idempotency-Key': 'k\tk'}, b''),
    (CALLER_HEADERS, b'\xff\xfe'),
)

BAD_PATHS = (
    ('GET', '/'),
    ('POST', '/v1/services/%ff/requests'),
    ('POST', '/v1/services/none%25/requests'),
    ('GET', '/v1/table/approvals'),
    ('PUT', '/v1/table/history'),
    ('PATCH', '/v1/table'),
    ('ODD', '/healthz'),
    ('GET', '/v1/jobs/%ff'),
    ('GET', '/v1/jobs/..%2f..'),
    ('DELETE', '/v1/jobs/x~y'),
    ('GET', '/v1/table/history?since=-1'),
    ('GET', '/v1/table/history?limit=%ff'),
    ('GET', '/v1/timeline?format=odd'),
)

HYPOTHESIS = settings(
    derandomize=True,
    max_examples=40,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


def signature(
    key: SigningKey,
    *,
    method: str,
    path: str,
    body: bytes,
    fault: str = '',
) -> dict[str, str]:
    """
    Return the signature headers of a message, with at most one fault.
    """
    if fault == 'missing':
        return {}
    headers = sign_headers(
        key,
        method=method,
        path='/peer/v1/other' if fault == 'path' else path,
        timestamp_ms=SystemClock().wall_ms() - 60_000 * (fault == 'expired'),
        body=b'other' if fault == 'body' else body,
    )
    if fault == 'timestamp':
        headers['X-Hawthornpier-Timestamp-Ms'] = f'-{"9" * 4_300}'
    return headers
