"""
Tests of the command line against a simulated entry process in a thread.
"""

import asyncio
import json
import pathlib
import socket
import struct
import threading
from collections.abc import Iterator

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from table_fakes import FOUNDERS, FakeStore, SystemClock
from tornado import httpserver, netutil, web

from hawthornpier.cli import ExitCode, main
from hawthornpier.messages import JobSpec, JobView, TaskState, TaskView
from hawthornpier.table import (
    TableError,
    VersionedTable,
    delta_to_document,
    edits_from_documents,
    error_response,
    snapshot_to_document,
)

EXAMPLES = pathlib.Path(__file__).parents[1] / 'examples'


class Handler(web.RequestHandler):
    """
    Serves the operators' paths of an entry process from one table.
    """

    def initialize(
        self,
        table: VersionedTable,
        jobs: dict[str, JobView],
    ) -> None:
        self.table = table
        self.jobs = jobs
        self.member = self.request.headers.get('X-Member', '')

    async def prepare(self) -> None:
        await self.table.refresh()
        key = self.request.headers.get('X-Operator-Key', '')
        if not self.table.is_operator(self.member, key):
            self.set_status(401)
            self.finish({'reason': 'not an operator'})

    async def get(self, name: str) -> None:
        if name == 'table/history':
            deltas = await self.table.history(
                since=int(self.get_argument('since')),
            )
            documents = [delta_to_document(delta) for delta in deltas]
            self.finish({'deltas': documents})
        elif name == 'table':
            self.finish(snapshot_to_document(self.table.snapshot()))
        elif name == 'jobs':
            self.finish({'jobs': msgspec.to_builtins(list(self.jobs.values()))})
        elif name == 'status':
            self.finish('not JSON')
        else:
            self._finish_job(name)

    async def put(self, name: str) -> None:
        request_body = json.loads(self.request.body)
        try:
            delta = await self.table.edit(
                edits_from_documents(request_body['edits']),
                member=self.member,
                base_version=request_body['base_version'],
            )
        except TableError as error:
            self._fail(error)
        else:
            document = delta_to_document(delta)
            self.finish({'version': delta.version, 'delta': document})

    async def post(self, name: str) -> None:
        request_body = json.loads(self.request.body)
        if name == 'jobs':
            return self._submit(request_body)
        try:
            delta = await self.table.approve(
                request_body['member'],
                member=self.member,
                base_version=request_body['base_version'],
            )
        except TableError as error:
            return self._fail(error)
        return self.finish({'version': delta.version})

    async def delete(self, name: str) -> None:
        # The request was read completely, but its reply is lost: the
        # connection is closed, or reset if the linger time is zero.
        connection = self.request.connection.stream
        linger = struct.pack('ii', int(name == 'jobs/reset'), 0)
        connection.socket.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_LINGER,
            linger,
        )
        connection.close()

    def _submit(self, request_body: object) -> None:
        spec = msgspec.convert(request_body, JobSpec)
        task = TaskView(task_id='7.t0', state=TaskState.QUEUED)
        self.jobs['7'] = JobView(
            job_id='7',
            spec=spec,
            is_cancelled=False,
            tasks=(task,),
            waits_for='memory',
        )
        self._finish_job('jobs/7')

    def _finish_job(self, name: str) -> None:
        job = self.jobs.get(name.removeprefix('jobs/'))
        if job is None:
            self.set_status(404)
            self.finish({'reason': 'no such job'})
        else:
            self.finish(msgspec.json.encode(job))

    def _fail(self, error: TableError) -> None:
        response = error_response(error)
        self.set_status(response.status)
        self.finish(response.body)


def serve(
    sockets: list[object],
    stop: threading.Event,
    jobs: dict[str, JobView],
) -> None:
    """
    Run the entry process in this thread until *stop* is set.
    """

    async def serving() -> None:
        table = VersionedTable(
            store=FakeStore(),
            clock=SystemClock(),
            founders=FOUNDERS,
        )
        application = web.Application(
            [('/v1/(.*)', Handler, {'table': table, 'jobs': jobs})],
            log_function=lambda handler: None,
        )
        server = httpserver.HTTPServer(application)
        server.add_sockets(sockets)
        await asyncio.to_thread(stop.wait)
        server.stop()
        await server.close_all_connections()

    asyncio.run(serving())


@pytest.fixture
def entry(
    monkeypatch: pytest.MonkeyPatch,
) -> Iterator[dict[str, JobView]]:
    """
    Run an entry process for an operator of yayasan; yield its jobs.
    """
    sockets = netutil.bind_sockets(0, '127.0.0.1')
    jobs: dict[str, JobView] = {}
    stop = threading.Event()
    thread = threading.Thread(target=serve, args=(sockets, stop, jobs))
    thread.start()
    address = f'127.0.0.1:{sockets[0].getsockname()[1]}'
    monkeypatch.setenv('HAWTHORNPIER_ENTRY', f'127.0.0.1:1,{address}')
    operate(monkeypatch, 'yayasan')
    yield jobs
    stop.set()
    thread.join()


def operate(monkeypatch: pytest.MonkeyPatch, member: str) -> None:
    """
    Make the following commands run as an operator of *member*.
    """
    monkeypatch.setenv('HAWTHORNPIER_MEMBER', member)
    monkeypatch.setenv('HAWTHORNPIER_OPERATOR_KEY', f'key of {member}')


def run(*arguments: str) -> int:
    """
    Run a command and return its exit code.
    """
    return main(list(arguments))


@pytest.mark.usefixtures('entry')
class TestTableCommands:
    """
    Operators read and edit the table; each outcome has its exit code.
    """

    def test_cells_conflicts_and_files(
        self,
        capsys: pytest.CaptureFixture[str],
        tmp_path: pathlib.Path,
    ) -> None:
        """
        An edit based on an old version is rejected and shows the newer edit.
        """
        assert run('table', 'set', 'member/yayasan', 'weight=2') == 0
        desk = 'workload/yayasan/desk'
        cells = ('workload_class=service', 'deadline_ms=900')
        assert run('table', 'set', desk, *cells) == ExitCode.OK
        capsys.readouterr()
        assert run('table', 'show') == ExitCode.OK
        shown = capsys.readouterr()
        assert shown.err == 'version 2\n'
        path = tmp_path / 'table.csv'
        path.write_text(shown.out.replace(',900,', ',800,'))
        assert run('table', 'diff', '--file', str(path)) == ExitCode.DIFFERENT
        assert 'deadline_ms: 900 -> 800' in capsys.readouterr().out
        assert run('table', 'set', '--file', str(path)) == ExitCode.USAGE
        assert run('table', 'set', desk, 'weight=3') == ExitCode.OK
        arguments = ('table', 'set', '--file', str(path), '--base-version')
        assert run(*arguments, '2') == ExitCode.CONFLICT
        assert 'version 3 by yayasan: ' in capsys.readouterr().err
        assert run(*arguments, '3') == ExitCode.OK
        assert run('table', 'diff', '--file', str(path)) == ExitCode.OK
        path.write_text(shown.out.partition('\nworkload')[0])
        assert run(*arguments, '4', '--prune') == ExitCode.OK
        capsys.readouterr()
        assert run('table', 'history', '--since', '4') == ExitCode.OK
        assert f'{desk}: deleted' in capsys.readouterr().out

    def test_approval_by_each_member(
        self,
        capsys: pytest.CaptureFixture[str],
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """
        Each member must approve a proposal, which is printed beforehand.
        """
        assert run('table', 'set', 'member/yayasan') == ExitCode.OK
        added = ('member/mill', 'operator_key_hash=hash')
        assert run('table', 'set', *added) == ExitCode.OK
        assert run('table', 'approve', 'mil') == ExitCode.NOT_FOUND
        operate(monkeypatch, 'picking')
        code = run('table', 'approve', 'mill')
        assert code == ExitCode.NOT_PERMITTED
        operate(monkeypatch, 'yayasan')
        assert run('table', 'approve', 'mill') == ExitCode.OK
        output = capsys.readouterr().out
        assert "proposed_by='yayasan'" in output
        assert 'accepted as version 3' in output
        withdrawal = ('proposal/mill', '--delete')
        assert run('table', 'set', *withdrawal) == ExitCode.NOT_FOUND
        assert run('table', 'set', 'member/pier', added[1]) == ExitCode.OK
        withdrawal = ('proposal/pier', '--delete')
        assert run('table', 'set', *withdrawal) == ExitCode.OK
        assert 'accepted as version 3' in output

    @pytest.mark.parametrize(
        ('arguments', 'code', 'message'),
        [
            (('set', 'member/yayasan', 'weight=x'), 4, 'column weight'),
            (('set', 'member/yayasan', 'weight'), 2, 'COLUMN=VALUE'),
            (('set', 'guest/a', 'weight=1'), 4, 'guest/a: not of the form'),
            (('set', 'workload/picking/p', 'workload_class=batch'), 6, 'yaya'),
            (('set', '--file', '/none.csv'), 4, '/none.csv: No such file'),
            (('set', 'member/none', '--delete'), 7, 'no such row'),
            (('set',), 2, 'give either'),
        ],
    )
    def test_refusals(
        self,
        arguments: tuple[str, ...],
        code: int,
        message: str,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        """
        An error names the invalid input and has its own exit code.
        """
        assert run('table', *arguments) == code
        assert message in capsys.readouterr().err

    def test_wrong_key(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """
        The key of one member does not give access as another member.
        """
        monkeypatch.setenv('HAWTHORNPIER_MEMBER', 'picking')
        assert run('table', 'show') == ExitCode.NOT_PERMITTED


@pytest.mark.usefixtures('entry')
class TestJobCommands:
    """
    Operators submit, show, list and cancel jobs.
    """

    def test_submit_show_list(
        self,
        entry: dict[str, JobView],
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        """
        The entry process receives the submitted job; both formats show it.
        """
        arguments = ('carving', '--task-count', '3', '--not-idempotent')
        assert run('job', 'submit', *arguments) == ExitCode.OK
        assert entry['7'].spec.task_count == 3
        assert not entry['7'].spec.is_idempotent
        assert run('job', 'list') == ExitCode.OK
        assert run('job', 'show', '7', '--format', 'json') == ExitCode.OK
        output = capsys.readouterr().out
        assert output.startswith('7 yayasan/carving: 1 queued\n')
        assert '  waits for memory\n' in output
        assert '"job_id": "7"' in output
        assert run('job', 'show', '8/9') == ExitCode.NOT_FOUND

    @pytest.mark.parametrize('job_id', ['closed', 'reset'])
    def test_lost_reply_is_not_reported_as_failure(
        self,
        job_id: str,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        """
        A script can distinguish a change that may have been applied from one
        that was not.
        """
        assert run('job', 'cancel', job_id) == ExitCode.UNKNOWN
        assert 'may have been applied' in capsys.readouterr().err

    def test_malformed_response(
        self,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        """
        A response that is not JSON gives one error line and no traceback.
        """
        assert run('status') == ExitCode.FAILURE
        assert len(capsys.readouterr().err.splitlines()) == 1


class TestLocalCommands:
    """
    Commands that need no entry process.
    """

    def test_check_reports_every_file(
        self,
        capsys: pytest.CaptureFixture[str],
        tmp_path: pathlib.Path,
    ) -> None:
        """
        The files after an invalid one are checked too.
        """
        wrong = tmp_path / 'wrong.ini'
        wrong.write_text('[process]\nport = 1\n')
        good = EXAMPLES / 'yayasan.ini'
        assert run('check', str(wrong), str(good)) == ExitCode.SETTINGS
        shown = capsys.readouterr()
        assert f'{wrong}:2: [process] port: unknown key' in shown.err
        assert shown.out == f'{good}: valid\n'
        assert run('daemon', str(wrong)) == ExitCode.SETTINGS

    def test_help_documents_every_exit_code(
        self,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        """
        The help and the operations page list every exit code.
        """
        assert run('--help') == ExitCode.OK
        shown = capsys.readouterr().out
        page = EXAMPLES.parent / 'docs' / 'OPERATIONS.md'
        documented = page.read_text()
        for code in ExitCode:
            assert f'{code.value}  {code.meaning}' in shown
            assert f'| {code.value} | {code.meaning} |' in documented

    def test_keys(
        self,
        capsys: pytest.CaptureFixture[str],
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """
        A key and its hash can be created without an entry process.
        """
        assert run('table', 'new-key') == ExitCode.OK
        assert 'operator_key_hash: scrypt$' in capsys.readouterr().out
        monkeypatch.setenv('HAWTHORNPIER_OPERATOR_KEY', '')
        assert run('table', 'hash-key') == ExitCode.USAGE

    def test_no_entry_process(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """
        A refused connection and a lost reply have different exit codes.
        """
        monkeypatch.setenv('HAWTHORNPIER_ENTRY', '127.0.0.1:1')
        assert run('job', 'cancel', '7') == ExitCode.UNAVAILABLE
        for address in ('', 'localhost', '127.0.0.1:x'):
            monkeypatch.setenv('HAWTHORNPIER_ENTRY', address)
            assert run('status') == ExitCode.USAGE

    @settings(derandomize=True, deadline=None, max_examples=50)
    @given(
        st.lists(
            st.sampled_from(
                ['table', 'set', 'job', 'check', '--file', 'a=b', 'daemon'],
            )
            | st.text(max_size=8),
            max_size=4,
        ),
    )
    def test_any_words_give_an_exit_code(self, arguments: list[str]) -> None:
        """
        No command line ends in a traceback.
        """
        assert run(*arguments) in set(ExitCode)
