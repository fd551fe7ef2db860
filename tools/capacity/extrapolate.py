"""
Extrapolation of the measured unit costs to whole deployments.

The derived figures are calculated, not measured.  docs/CAPACITY.md lists the
assumptions.
"""

from collections.abc import Mapping
from dataclasses import dataclass

# Assumed size of the HTTP headers of a request and its response together.
_HEADER_BYTES = 500
# Assumed fraction of a core that a process can use before its queues grow.
_USABLE_CORE_FRACTION = 0.7
_CORE_US = 1_000_000
_MEMORY_LIMIT_BYTES = 64_000_000
_MEBIBYTE = 1_048_576
_RING_EVENT_COUNT = 4_096
# Assumed limit of the store, which sustains "several hundred" writes/s.
_STORE_WRITES_PER_S = 500

# Rates that follow from the intervals in the settings.
_REPORTS_PER_S = 1
_RENEWALS_PER_S = 1
_SAME_DOMAIN_HEARTBEATS_PER_S = 2
_OTHER_DOMAIN_HEARTBEATS_PER_S = 1
_STORE_OBSERVATIONS_PER_S = 1 / 0.45
_SCANS_PER_OBSERVATION = 3
# Renewal of the lease and, in the process that reads the table for its failure
# domain, the read of the table head.
_BACKGROUND_CALLS_PER_S = 2
_COMMIT_INTERVAL_S = 0.005
_TICKS_PER_S = 50


@dataclass(frozen=True, slots=True, kw_only=True)
class Scale:
    """
    A deployment whose costs are derived.

    *processes* is zero if the number of entry processes is to be derived.
    """

    name: str
    workers: int
    starts_per_s: float
    running_tasks: int
    failure_domains: int
    processes: int = 0


SCALES = (
    Scale(
        name='design scale',
        workers=22_000,
        starts_per_s=14_000,
        running_tasks=664_000,
        failure_domains=12,
    ),
    Scale(
        name='one member today',
        workers=24,
        starts_per_s=24,
        running_tasks=192,
        failure_domains=3,
        processes=8,
    ),
)


class UnitCosts:
    """
    Measured costs of single steps, by name.
    """

    def __init__(self, measured: Mapping[str, float]) -> None:
        self._measured = measured

    def __getitem__(self, name: str) -> float:
        return self._measured[name]

    def message(self, name: str, aspect: str, part: str, count: float) -> float:
        """
        Return the cost or size of a message with *count* parts.

        Args:
            name: Name of the message.
            aspect: "encode" or "decode" in us, or "size" in bytes.
            part: Name of the repeated part of the message.
            count: Number of parts; fractions are allowed.
        """
        first = self._measured[f'{name}.{aspect}']
        further = self._measured[f'{name}.{aspect} per further {part}']
        return first + further * max(0, count - 1)

    @property
    def concurrent_client_us(self) -> float:
        """
        CPU time in us to send a POST while 15 others are in flight.
        """
        return self._measured['POST.client (300 B, 16 connections)']

    @property
    def concurrent_server_us(self) -> float:
        """
        CPU time in us to serve a POST while 15 others are in flight.
        """
        return self._measured['POST.server (300 B, 16 connections)']

    @property
    def client_us(self) -> float:
        """
        CPU time in us to send a POST while no other is in flight.
        """
        return self._measured['POST.client (300 B, 1 connections)']

    @property
    def server_us(self) -> float:
        """
        CPU time in us to serve a POST while no other is in flight.
        """
        return self._measured['POST.server (300 B, 1 connections)']


def extrapolate(measured: Mapping[str, float]) -> dict[str, dict[str, float]]:
    """
    Return the derived figures by scale and name.

    Args:
        measured: Amounts of the measurements by name.
    """
    costs = UnitCosts(measured)
    return {scale.name: _derive(costs, scale) for scale in SCALES}


def _derive(costs: UnitCosts, scale: Scale) -> dict[str, float]:
    per_worker = _worker_costs(costs, scale)
    memory = _memory_costs(costs, scale)
    workers_by_cpu = (
        _USABLE_CORE_FRACTION * _CORE_US / per_worker['owner us/s per worker']
    )
    workers_each = min(workers_by_cpu, memory['workers that fit in 64 MB'])
    processes = scale.processes or scale.workers / workers_each
    return {
        **per_worker,
        'workers per process by processor time': workers_by_cpu,
        **memory,
        'processes': processes,
        **_request_costs(costs),
        **_process_costs(costs, scale, processes),
        **_store_load(scale, processes),
    }


def _worker_costs(costs: UnitCosts, scale: Scale) -> dict[str, float]:
    runs = scale.running_tasks / scale.workers
    starts = scale.starts_per_s / scale.workers
    exchanges = _REPORTS_PER_S + _RENEWALS_PER_S + starts
    report = ('report', 'run and sample', runs)
    renewal = ('lease renewal', 'run', runs)
    codec_us = (
        _message_cost(costs, 'decode', report)
        + _message_cost(costs, 'encode', renewal)
        + _message_cost(costs, 'decode', renewal)
        + starts * costs['start batch.encode']
    )
    observability_us = costs['events.record with its log line']
    observability_us += costs['metrics.count']
    task_us = costs['policy.task (512 workers)'] + 2 * observability_us
    body_bytes = (
        _message_cost(costs, 'size', report)
        + 2 * _message_cost(costs, 'size', renewal)
        + starts * costs['start batch.size']
    )
    return {
        'runs per worker': runs,
        'owner us/s per worker': (
            exchanges * costs.concurrent_client_us + codec_us + starts * task_us
        ),
        "worker's control exchanges per s": exchanges,
        "worker's control B/s": body_bytes + exchanges * _HEADER_BYTES,
        "worker's control us/s": (
            exchanges * costs.server_us + _message_cost(costs, 'encode', report)
        ),
    }


def _message_cost(
    costs: UnitCosts,
    aspect: str,
    message: tuple[str, str, float],
) -> float:
    name, part, count = message
    return costs.message(name, aspect, part, count)


def _memory_costs(costs: UnitCosts, scale: Scale) -> dict[str, float]:
    process = costs['idle process.memory'] * _MEBIBYTE
    ring = _RING_EVENT_COUNT * costs['state.event in the ring']
    hosts = scale.workers * costs['state.host record']
    each_run = costs['state.running task in the policy']
    each_run += costs['state.task view']
    runs = scale.running_tasks / scale.workers
    each_worker = costs['state.worker in the policy'] + runs * each_run
    free = _MEMORY_LIMIT_BYTES - process - ring - hosts
    return {
        'B of an idle process': process,
        'B of the event ring': ring,
        'B of the host list': hosts,
        'B per worker with its runs': each_worker,
        'workers that fit in 64 MB': free / each_worker,
    }


def _request_costs(costs: UnitCosts) -> dict[str, float]:
    observability_us = costs['events.record with its log line']
    observability_us += costs['metrics.count']
    local_us = (
        costs.concurrent_server_us
        + costs.concurrent_client_us
        + costs['policy.request (64 workers)']
        + 3 * observability_us
    )
    forward_us = costs.concurrent_server_us + costs.concurrent_client_us
    return {
        'us per request served by its owner': local_us,
        'us per forwarded request, both processes': local_us + forward_us,
        'requests/s of a process, all forwarded': (
            _USABLE_CORE_FRACTION * _CORE_US / (local_us + forward_us)
        ),
    }


def _process_costs(
    costs: UnitCosts,
    scale: Scale,
    processes: float,
) -> dict[str, float]:
    parts = {
        'heartbeats': _heartbeat_costs(costs, scale, processes),
        'scans': _scan_costs(costs, processes),
        'host list': _host_list_costs(costs, scale),
        'lease, table and idle policy': _background_costs(costs),
    }
    total_us = sum(cost_us for cost_us, _ in parts.values())
    total_bytes = sum(size for _, size in parts.values())
    figures = {}
    for name, (cost_us, size) in parts.items():
        figures[f'{name}, us/s'] = cost_us
        figures[f'{name}, B/s'] = size
    return {
        **figures,
        'control of a process, % of a core': total_us / _CORE_US * 100,
        'control of a process, B/s': total_bytes,
    }


def _heartbeat_costs(
    costs: UnitCosts,
    scale: Scale,
    processes: float,
) -> tuple[float, float]:
    same_domain_peers = processes / scale.failure_domains - 1
    other_peers = processes - same_domain_peers - 1
    sent = (
        same_domain_peers * _SAME_DOMAIN_HEARTBEATS_PER_S
        + other_peers * _OTHER_DOMAIN_HEARTBEATS_PER_S
    )
    heartbeat = ('heartbeat', 'shard load', 1)
    # Each process both sends to and receives from every peer.  Request and
    # response of an exchange are both heartbeats.
    codec_us = _message_cost(costs, 'encode', heartbeat)
    codec_us += _message_cost(costs, 'decode', heartbeat)
    exchange_us = costs.client_us + costs.server_us + 2 * codec_us
    exchange_bytes = 2 * _message_cost(costs, 'size', heartbeat) + _HEADER_BYTES
    return sent * exchange_us, 2 * sent * exchange_bytes


def _scan_costs(costs: UnitCosts, processes: float) -> tuple[float, float]:
    # With one shard per process, there are as many owner rows as process rows.
    rows = ('scan reply', 'row', processes * 2)
    scans = _STORE_OBSERVATIONS_PER_S * _SCANS_PER_OBSERVATION
    codec_us = _STORE_OBSERVATIONS_PER_S * _message_cost(costs, 'decode', rows)
    size = _STORE_OBSERVATIONS_PER_S * _message_cost(costs, 'size', rows)
    return scans * costs.client_us + codec_us, size + scans * _HEADER_BYTES


def _host_list_costs(costs: UnitCosts, scale: Scale) -> tuple[float, float]:
    hosts = ('host list', 'host', scale.workers)
    size = _message_cost(costs, 'size', hosts)
    return (
        costs.client_us + _message_cost(costs, 'decode', hosts),
        size + _HEADER_BYTES,
    )


def _background_costs(costs: UnitCosts) -> tuple[float, float]:
    idle_us = _TICKS_PER_S * costs['policy.idle decision (64 workers)']
    return (
        _BACKGROUND_CALLS_PER_S * costs.client_us + idle_us,
        _BACKGROUND_CALLS_PER_S * _HEADER_BYTES,
    )


def _store_load(scale: Scale, processes: float) -> dict[str, float]:
    ends = scale.starts_per_s / processes
    # A process commits at most once per interval: task ends within the same
    # interval share a transaction.
    commits = min(ends, 1 / _COMMIT_INTERVAL_S) * processes
    free_writes = _STORE_WRITES_PER_S - processes
    return {
        'store scans/s': (
            processes * _STORE_OBSERVATIONS_PER_S * _SCANS_PER_OBSERVATION
        ),
        'store rows read/s': processes**2 * 2 * _STORE_OBSERVATIONS_PER_S,
        'store transactions/s, at most': commits + processes,
        'commit interval ms that keeps 500 writes/s': (
            processes / free_writes * 1000
        ),
    }
