"""
The definitions of all instruments.
"""

import enum
import types
from collections.abc import Mapping
from dataclasses import dataclass


class InstrumentName(enum.StrEnum):
    """
    The names of the instruments, which follow OpenTelemetry's conventions.
    """

    REQUESTS = 'hawthornpier.requests'
    REQUEST_DURATION = 'hawthornpier.request.duration'
    QUEUE_WAIT = 'hawthornpier.queue.wait'
    REQUESTS_SHED = 'hawthornpier.requests.shed'
    REQUESTS_FORWARDED = 'hawthornpier.requests.forwarded'
    RETRIES = 'hawthornpier.retries'
    TASKS_STARTED = 'hawthornpier.tasks.started'
    TASKS_ENDED = 'hawthornpier.tasks.ended'
    TASKS_EVICTED = 'hawthornpier.tasks.evicted'
    TASKS_THROTTLED = 'hawthornpier.tasks.throttled'
    STORE_TRANSACTIONS = 'hawthornpier.store.transactions'
    STORE_COMMIT_SIZE = 'hawthornpier.store.commit.size'
    STORE_COMMIT_DURATION = 'hawthornpier.store.commit.duration'
    STORE_OUTAGE = 'hawthornpier.store.outage'
    LEASE_RENEWALS = 'hawthornpier.lease.renewals'
    HEARTBEATS = 'hawthornpier.heartbeats'
    CROSS_REGION_BYTES = 'hawthornpier.network.cross_region.io'
    EVENTS_DROPPED = 'hawthornpier.events.dropped'
    SHARDS_OWNED = 'hawthornpier.shards.owned'
    TABLE_VERSION = 'hawthornpier.table.version'
    WORKERS = 'hawthornpier.workers'


class InstrumentKind(enum.StrEnum):
    """
    The kinds of instruments.
    """

    COUNTER = 'counter'
    HISTOGRAM = 'histogram'
    GAUGE = 'gauge'


@dataclass(frozen=True, slots=True, kw_only=True)
class Definition:
    """
    The definition of one instrument.

    *unit* is a UCUM code or an annotation in braces.  Recorded attributes that
    *attributes* does not name are dropped.  *bounds* holds the upper bounds of
    a histogram's buckets.
    """

    kind: InstrumentKind
    unit: str
    description: str
    attributes: tuple[str, ...] = ()
    bounds: tuple[float, ...] = ()


# Bucket bounds from a loopback round trip to the longest request deadline.
_DURATION_BOUNDS_S = (
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30,
)  # fmt: skip
_COMMIT_SIZE_BOUNDS_ROWS = (
    1.0,
    2.0,
    4.0,
    8.0,
    16.0,
    32.0,
    64.0,
    128.0,
    256.0,
    512.0,
)


def _counter(unit: str, description: str, *attributes: str) -> Definition:
    return Definition(
        kind=InstrumentKind.COUNTER,
        unit=unit,
        description=description,
        attributes=attributes,
    )


def _histogram(
    unit: str,
    description: str,
    bounds: tuple[float, ...],
    *attributes: str,
) -> Definition:
    return Definition(
        kind=InstrumentKind.HISTOGRAM,
        unit=unit,
        description=description,
        attributes=attributes,
        bounds=bounds,
    )


def _gauge(unit: str, description: str, *attributes: str) -> Definition:
    return Definition(
        kind=InstrumentKind.GAUGE,
        unit=unit,
        description=description,
        attributes=attributes,
    )


DEFINITIONS: Mapping[InstrumentName, Definition] = types.MappingProxyType(
    {
        InstrumentName.REQUESTS: _counter(
            '{request}',
            'Caller requests that were completed, with any outcome.',
            'outcome',
            'service',
        ),
        InstrumentName.REQUEST_DURATION: _histogram(
            's',
            'Time from the arrival of a caller request to its outcome.',
            _DURATION_BOUNDS_S,
            'outcome',
            'service',
        ),
        InstrumentName.QUEUE_WAIT: _histogram(
            's',
            'Time that a request or task waited for a worker.',
            _DURATION_BOUNDS_S,
            'workload',
        ),
        InstrumentName.REQUESTS_SHED: _counter(
            '{request}',
            'Requests rejected without being run because of overload.',
            'reason',
            'service',
        ),
        InstrumentName.REQUESTS_FORWARDED: _counter(
            '{request}',
            'Requests forwarded to the owner of their shard.',
            'result',
        ),
        InstrumentName.RETRIES: _counter(
            '{retry}',
            'Retries of failed attempts.',
            'target',
        ),
        InstrumentName.TASKS_STARTED: _counter(
            '{task}',
            'Task runs that a worker accepted.',
            'workload',
        ),
        InstrumentName.TASKS_ENDED: _counter(
            '{task}',
            'Task runs that ended.',
            'result',
            'workload',
        ),
        InstrumentName.TASKS_EVICTED: _counter(
            '{task}',
            'Task runs that were evicted.',
            'reason',
            'workload',
        ),
        InstrumentName.TASKS_THROTTLED: _counter(
            '{task}',
            'Task runs that were throttled.',
            'result',
            'workload',
        ),
        InstrumentName.STORE_TRANSACTIONS: _counter(
            '{transaction}',
            "Transactions sent to the platform's table service.",
            'result',
        ),
        InstrumentName.STORE_COMMIT_SIZE: _histogram(
            '{row}',
            'Rows written in one group commit.',
            _COMMIT_SIZE_BOUNDS_ROWS,
        ),
        InstrumentName.STORE_COMMIT_DURATION: _histogram(
            's',
            'Duration of one group commit, including retries.',
            _DURATION_BOUNDS_S,
            'result',
        ),
        InstrumentName.STORE_OUTAGE: _counter(
            's',
            "Time during which the platform's table service did not respond.",
        ),
        InstrumentName.LEASE_RENEWALS: _counter(
            '{renewal}',
            "Renewals of the process's lease.",
            'result',
        ),
        InstrumentName.HEARTBEATS: _counter(
            '{heartbeat}',
            'Heartbeats sent to other entry processes.',
            'result',
        ),
        InstrumentName.CROSS_REGION_BYTES: _counter(
            'By',
            'Bytes of message bodies exchanged with another region.',
            'direction',
            'region',
        ),
        InstrumentName.EVENTS_DROPPED: _gauge(
            '{event}',
            'Events that newer ones replaced in the ring buffer.',
        ),
        InstrumentName.SHARDS_OWNED: _gauge(
            '{shard}',
            'Shards that the process owns.',
        ),
        InstrumentName.TABLE_VERSION: _gauge(
            '1',
            'Version of the shared table that the process applies.',
        ),
        InstrumentName.WORKERS: _gauge(
            '{worker}',
            'Workers in the shards that the process owns.',
            'state',
        ),
    }
)

_REFERENCE_HEAD = """# Metrics

This page is generated from the definitions of the instruments by
`hawthornpier.metrics.render_reference`. Attribute sets beyond the limit of an
instrument are combined into one set with the attribute `otel.metric.overflow`.

| instrument | kind | unit | attributes | meaning |
|---|---|---|---|---|
"""


def render_reference() -> str:
    """
    Return the text of ``docs/metrics.md``.
    """
    rows = (
        f'| `{name}` | {definition.kind} | `{definition.unit}`'
        f' | {", ".join(definition.attributes) or "–"}'  # noqa: RUF001
        f' | {definition.description} |\n'
        for name, definition in DEFINITIONS.items()
    )
    return _REFERENCE_HEAD + ''.join(rows)
