"""
CPU time, memory and network traffic of idle entry processes.

Runs the stand-in platform, workers and entry processes of one member on
loopback without load, and reads the counters of the entry processes.
"""

import contextlib
import functools
import os
import pathlib
import re
import shutil
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator, Mapping, Sequence
from urllib import error, request

import msgspec
from capacity.measurement import Measurement

from hawthornpier.table import hash_operator_key, new_operator_key

_DOMAIN_REGIONS: Sequence[tuple[str, str]] = (
    ('moose-jaw', 'south-saskatchewan'),
    ('swift-current', 'south-saskatchewan'),
    ('morden', 'red-river'),
)
_WORKERS_PER_DOMAIN = 8
_PROCESS_COUNT = 8
_START_TIMEOUT_S = 30
# Long enough for all shards to be claimed and all peers to send heartbeats.
_SETTLING_S = 10
_OBSERVATION_S = 30
_CLOCK_TICKS_PER_S = os.sysconf('SC_CLK_TCK')


def measure() -> Iterator[Measurement]:
    """
    Yield CPU time, memory and traffic of an idle entry process.

    Traffic is left out if it cannot be read.
    """
    pairs = _sample_processes()
    core_percentages = [
        (late.cpu_s - early.cpu_s) / _OBSERVATION_S * 100
        for early, late in pairs
    ]
    # Three of the eight processes own a shard with eight workers each, so their
    # CPU time differs from that of the others.
    for statistic, aggregate in (
        ('mean', statistics.mean),
        ('least', min),
        ('most', max),
    ):
        yield Measurement(
            name=f'idle process.processor time, {statistic}',
            amount=aggregate(core_percentages),
            unit='% of a core',
        )
    yield Measurement(
        name='idle process.memory',
        amount=statistics.mean(late.memory_mib for _, late in pairs),
        unit='MiB',
    )
    if all(late.traffic_bytes for _, late in pairs):
        yield Measurement(
            name='idle process.bytes in both directions',
            amount=statistics.mean(
                (late.traffic_bytes - early.traffic_bytes) / _OBSERVATION_S
                for early, late in pairs
            ),
            unit='B/s',
        )


def _sample_processes() -> list[tuple['_ProcessUsage', '_ProcessUsage']]:
    """
    Return the usage of each entry process before and after the observation.
    """
    with (
        tempfile.TemporaryDirectory() as folder,
        _Deployment(folder) as deployment,
    ):
        pids = deployment.start_all()
        time.sleep(_SETTLING_S)
        before = _read_usage(pids)
        time.sleep(_OBSERVATION_S)
        after = _read_usage(pids)
    return list(zip(before, after, strict=True))


class _ProcessUsage(msgspec.Struct, frozen=True, kw_only=True):
    """
    CPU time, resident memory and traffic of one process so far.
    """

    cpu_s: float
    memory_mib: float
    traffic_bytes: int


def _read_usage(pids: Sequence[int]) -> list[_ProcessUsage]:
    traffic = _traffic_bytes()
    return [
        _ProcessUsage(
            cpu_s=_cpu_seconds(pid),
            memory_mib=_resident_mebibytes(pid),
            traffic_bytes=traffic.get(pid, 0),
        )
        for pid in pids
    ]


def _cpu_seconds(pid: int) -> float:
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rsplit(')')[-1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / _CLOCK_TICKS_PER_S


def _resident_mebibytes(pid: int) -> float:
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    matched = re.search(r'VmRSS:\s+(\d+)', status)
    return int(matched.group(1)) / 1024 if matched else 0


def _traffic_bytes() -> Mapping[int, int]:
    """
    Return the bytes sent and received on open TCP connections by process id.

    Closed connections are missing, but connections are persistent and few of
    them close.  The result is empty if the tool `ss` is not installed.
    """
    if shutil.which('ss') is None:
        return {}
    listing = subprocess.run(
        ['ss', '-tinpHO'],
        check=True,
        capture_output=True,
        text=True,
    ).stdout
    totals: dict[int, int] = {}
    for line in listing.splitlines():
        owner = re.search(r'pid=(\d+)', line)
        if owner:
            sizes = re.findall(r'bytes_(?:sent|received):(\d+)', line)
            pid = int(owner.group(1))
            totals[pid] = totals.get(pid, 0) + sum(map(int, sizes))
    return totals


class _Deployment:
    """
    Start the processes of a deployment and stop them when the context ends.
    """

    def __init__(self, folder: str) -> None:
        self._folder = pathlib.Path(folder)
        self._key_hash = hash_operator_key(new_operator_key())
        self._started: list[subprocess.Popen[bytes]] = []

    def __enter__(self) -> '_Deployment':
        return self

    def __exit__(self, *_exception: object) -> None:
        for process in self._started:
            process.terminate()
        for process in self._started:
            try:
                process.wait(_START_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()

    def start_all(self) -> list[int]:
        """
        Start all processes and return the pids of the entry processes.

        Returns once all entry processes are ready.
        """
        self._start('platform', 'standin-platform')
        platform = self._read_address('platform')
        for domain, region in _DOMAIN_REGIONS:
            self._start(
                f'{domain}-workers',
                'standin-workers',
                f'--name={domain}',
                f'--region={region}',
                f'--failure-domain={domain}',
                f'--count={_WORKERS_PER_DOMAIN}',
                '--seed=1',
                f'--platform={platform}',
                f'--history={self._folder / domain}.jsonl',
            )
            self._read_address(f'{domain}-workers')
        ports = _free_ports(_PROCESS_COUNT)
        pids = [
            self._start_entry(index, port, platform)
            for index, port in enumerate(ports)
        ]
        for port in ports:
            _wait_until(functools.partial(_is_ready, port))
        return pids

    def _start_entry(self, index: int, port: int, platform: str) -> int:
        domain, region = _DOMAIN_REGIONS[index % len(_DOMAIN_REGIONS)]
        name = f'entry-{index}'
        path = self._folder / f'{name}.ini'
        domains = '\n'.join(
            f'    {listed_domain}: {listed_region}'
            for listed_domain, listed_region in _DOMAIN_REGIONS
        )
        path.write_text(
            f'[process]\nprocess_id = {name}\n'
            f'region = {region}\nfailure_domain = {domain}\n'
            f'listen_address = 127.0.0.1\nlisten_port = {port}\n'
            f'[platform]\nstore_address = {platform}\n'
            f'host_list_address = {platform}\n'
            f'[cluster]\nfailure_domains =\n{domains}\n'
            f'[security]\npeer_key_id = capacity\n'
            f'peer_key = capacity-key-for-loopback-only-012345\n'
            f'bootstrap_operators =\n    saskaton: {self._key_hash}\n',
        )
        return self._start(name, 'daemon', str(path))

    def _start(self, name: str, *arguments: str) -> int:
        output = (self._folder / f'{name}.out').open('wb')
        errors = (self._folder / f'{name}.err').open('wb')
        with output, errors:
            process = subprocess.Popen(
                [sys.executable, '-m', 'hawthornpier', *arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=errors,
            )
        self._started.append(process)
        return process.pid

    def _read_address(self, name: str) -> str:
        path = self._folder / f'{name}.out'
        _wait_until(lambda: '\n' in path.read_text())
        first, _, _ = path.read_text().partition('\n')
        return str(msgspec.json.decode(first).get('address', ''))


def _free_ports(count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for bound in sockets:
            bound.bind(('127.0.0.1', 0))
        return [reserved.getsockname()[1] for reserved in sockets]


def _is_ready(port: int) -> bool:
    try:
        with request.urlopen(f'http://127.0.0.1:{port}/readyz'):
            return True
    except (error.URLError, ConnectionError):
        return False


def _wait_until(is_done: Callable[[], bool]) -> None:
    deadline_s = time.monotonic() + _START_TIMEOUT_S
    while not is_done():
        if time.monotonic() > deadline_s:
            raise TimeoutError(
                'a process was not ready within the start timeout'
            )
        time.sleep(0.1)
