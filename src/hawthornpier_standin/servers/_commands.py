"""
Commands that run the simulated platform, workers and callers.
"""

import asyncio
import signal
import sys
from argparse import ArgumentParser, Namespace
from contextlib import ExitStack
from pathlib import Path
from types import MappingProxyType
from typing import Any

import msgspec

from hawthornpier.adapters import SystemClock
from hawthornpier.messages import Resources
from hawthornpier_standin import callers
from hawthornpier_standin.history import HistoryWriter
from hawthornpier_standin.platform import MemoryStore
from hawthornpier_standin.servers._host_list_publisher import HostListPublisher
from hawthornpier_standin.servers._platform import PlatformServer
from hawthornpier_standin.servers._pool import WorkerPool, WorkerPoolOptions
from hawthornpier_standin.workers import (
    Recorder,
    WorkerModel,
    ignore_record,
)

_MILLIS_PER_CORE = 1_000
_BYTES_PER_GB = 1_000_000_000

# The throughput of the platform according to its specification in
# docs/design.md; 0 means no limit.
_PLATFORM_RATE_OPTIONS = MappingProxyType(
    {'--writes-per-s': 400, '--reads-per-s': 2_000},
)
_WORKER_STRING_OPTIONS = MappingProxyType(
    {
        '--host': '127.0.0.1',
        '--region': '',
        '--failure-domain': '',
        '--rack': '',
    },
)
_WORKER_INTEGER_OPTIONS = MappingProxyType(
    {
        '--first-port': 0,
        '--control-port': 0,
        '--count': 1,
        '--rack-size': 8,
        '--cores': 32,
        '--memory-gb': 125,
        '--accelerators': 0,
        '--slots': 8,
        '--seed': 0,
    },
)


def add_commands(subparsers: Any) -> None:
    """
    Add the stand-in commands to an argument parser.

    Each command sets *run*, a function that takes the parsed arguments and
    returns the exit status.

    Args:
        subparsers: The result of `ArgumentParser.add_subparsers`.
    """
    _add_platform(
        subparsers.add_parser(
            'standin-platform', help='run a simulated platform'
        ),
    )
    _add_workers(
        subparsers.add_parser('standin-workers', help='run simulated workers'),
    )
    callers.add_commands(subparsers)


def _add_platform(parser: ArgumentParser) -> None:
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, default=0)
    for flag, rate in _PLATFORM_RATE_OPTIONS.items():
        parser.add_argument(flag, type=float, default=rate)
    parser.set_defaults(run=run_platform)


def _add_workers(parser: ArgumentParser) -> None:
    parser.add_argument(
        '--name', required=True, help='prefix of the worker ids'
    )
    for flag, default in _WORKER_STRING_OPTIONS.items():
        parser.add_argument(flag, default=default)
    for number_flag, number in _WORKER_INTEGER_OPTIONS.items():
        parser.add_argument(number_flag, type=int, default=number)
    parser.add_argument('--no-guards', action='store_true')
    parser.add_argument(
        '--model', type=Path, help='JSON file with a WorkerModel'
    )
    parser.add_argument(
        '--platform',
        help='address of the platform whose host list gets the workers',
    )
    parser.add_argument(
        '--history',
        type=Path,
        help='file to write history records to, as JSON lines',
    )
    parser.set_defaults(run=run_workers)


def run_platform(arguments: Namespace) -> int:
    """
    Run the platform until SIGINT or SIGTERM.
    """
    asyncio.run(_serve_platform(arguments))
    return 0


def run_workers(arguments: Namespace) -> int:
    """
    Run workers until SIGINT or SIGTERM.
    """
    with ExitStack() as stack:
        recorder: Recorder = ignore_record
        if arguments.history:
            history = stack.enter_context(HistoryWriter(arguments.history))
            recorder = history.write
        asyncio.run(_serve_workers(arguments, recorder))
    return 0


def pool_options(arguments: Namespace) -> WorkerPoolOptions:
    """
    Convert parsed arguments to the options of a worker pool.
    """
    model = WorkerModel()
    if arguments.model:
        model = msgspec.json.decode(
            arguments.model.read_bytes(),
            type=WorkerModel,
        )
    return WorkerPoolOptions(
        name=arguments.name,
        host=arguments.host,
        first_port=arguments.first_port,
        worker_count=arguments.count,
        region=arguments.region,
        failure_domain=arguments.failure_domain,
        rack=arguments.rack,
        rack_size=arguments.rack_size,
        capacity=Resources(
            processor_millis=arguments.cores * _MILLIS_PER_CORE,
            memory_bytes=arguments.memory_gb * _BYTES_PER_GB,
            accelerator_count=arguments.accelerators,
            slot_count=arguments.slots,
        ),
        seed=arguments.seed,
        has_guards=not arguments.no_guards,
        model=model,
    )


async def _serve_platform(arguments: Namespace) -> None:
    store = MemoryStore(
        clock=SystemClock(),
        writes_per_s=arguments.writes_per_s,
        reads_per_s=arguments.reads_per_s,
    )
    server = PlatformServer(store)
    port = server.listen(arguments.host, arguments.port)
    _print_addresses({'address': f'{arguments.host}:{port}'})
    await _wait_for_signal()
    await server.close()


async def _serve_workers(arguments: Namespace, recorder: Recorder) -> None:
    pool = WorkerPool(
        pool_options(arguments),
        clock=SystemClock(),
        recorder=recorder,
    )
    port = pool.listen(arguments.control_port)
    publishing = None
    if arguments.platform:
        publisher = HostListPublisher(arguments.platform, pool)
        publishing = asyncio.ensure_future(publisher.run())
    _print_addresses(
        {
            'control': f'{arguments.host}:{port}',
            'workers': [host.address for host in pool.hosts()],
        },
    )
    await _wait_for_signal()
    if publishing:
        publishing.cancel()
    await pool.close()


def _print_addresses(addresses: object) -> None:
    # The process that started this one reads the chosen ports from this line.
    sys.stdout.write(f'{msgspec.json.encode(addresses).decode()}\n')
    sys.stdout.flush()


async def _wait_for_signal() -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
