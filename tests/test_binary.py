"""
Tests of the executable archive.
"""

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from urllib import error, request

import pytest

_ROOT = pathlib.Path(__file__).resolve().parents[1]
_MAX_ATTEMPTS = 600


class BuiltExecutable:
    """
    The built executable and the processes that the test starts.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._file = folder / 'hawthornpier'
        self._processes: list[subprocess.Popen[bytes]] = []
        subprocess.run(
            [sys.executable, _ROOT / 'tools' / 'build_binary.py', self._file],
            check=True,
            stdout=subprocess.DEVNULL,
        )

    def start(self, *arguments: str) -> 'subprocess.Popen[bytes]':
        """
        Start a command of the executable.
        """
        # An empty PYTHONPATH keeps the source tree from being imported.
        return self._start(str(self._file), *arguments, source_path='')

    def start_platform(self) -> 'subprocess.Popen[bytes]':
        """
        Start the platform stand-in, which the executable does not contain.
        """
        module = ('-m', 'hawthornpier', 'standin-platform', '--port=0')
        return self._start(
            sys.executable,
            *module,
            source_path=str(_ROOT / 'src'),
        )

    def _start(
        self,
        *command: str,
        source_path: str,
    ) -> 'subprocess.Popen[bytes]':
        process = subprocess.Popen(
            command,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            env={
                **os.environ,
                'PYTHONPATH': source_path,
                'HAWTHORNPIER_UNPACK_ROOT': str(self._folder / 'unpacked'),
            },
        )
        self._processes.append(process)
        return process

    def settings(self, store: str, port: int) -> str:
        """
        Write a settings file and return its path.
        """
        path = self._folder / 'entry.ini'
        path.write_text(
            '[process]\nprocess_id = a\nregion = r\nfailure_domain = d\n'
            f'listen_port = {port}\n[platform]\nstore_address = {store}\n'
            f'host_list_address = {store}\n'
            '[cluster]\nfailure_domains =\n    d: r\n',
        )
        return str(path)

    def close(self) -> None:
        """
        Kill and wait for the processes that are still running.
        """
        for process in self._processes:
            if process.poll() is None:
                process.kill()
            process.wait()
            if process.stdout:
                process.stdout.close()


@pytest.fixture
def built_executable(tmp_path: pathlib.Path) -> Iterator[BuiltExecutable]:
    """
    Build the executable; end all processes after the test.
    """
    built = BuiltExecutable(tmp_path)
    yield built
    built.close()


def _free_port() -> int:
    with socket.socket() as listener:
        listener.bind(('127.0.0.1', 0))
        return int(listener.getsockname()[1])


def _wait_until_healthy(port: int) -> None:
    for _ in range(_MAX_ATTEMPTS):
        try:
            request.urlopen(f'http://127.0.0.1:{port}/healthz').close()
        except (error.URLError, ConnectionError):
            time.sleep(0.05)
        else:
            return
    raise AssertionError('the daemon did not start')


class TestShippedFile:
    """
    The executable archive runs the daemon.
    """

    def test_daemon_runs_in_one_process_and_stops(
        self,
        built_executable: BuiltExecutable,
    ) -> None:
        """
        The daemon has no child processes and exits with code 0 on SIGTERM.
        """
        platform = built_executable.start_platform()
        assert platform.stdout is not None
        store = json.loads(platform.stdout.readline())['address']
        port = _free_port()
        daemon = built_executable.start(
            'daemon', built_executable.settings(store, port)
        )
        _wait_until_healthy(port)
        tasks = pathlib.Path(f'/proc/{daemon.pid}/task').iterdir()
        children = [(task / 'children').read_text() for task in tasks]
        daemon.send_signal(signal.SIGTERM)
        assert daemon.wait() == 0
        assert not any(children)
