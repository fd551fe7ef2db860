"""
Tests of the decision log and of the selection of its lines by subject.
"""

import json
import os

import eliot

from hawthornpier.cli import main
from hawthornpier.events import DecisionLog, LineWriter, collect_subject_log


def discard_kept_messages():
    """
    Discard the messages that eliot keeps for its first destination.

    They are those of all tests before, and may be more than a pipe holds.
    """
    messages = []
    eliot.add_destinations(messages.append)
    eliot.remove_destination(messages.append)


def read_lines(descriptor):
    os.set_blocking(descriptor, False)
    try:
        content = os.read(descriptor, 10**6)
    except BlockingIOError:
        return []
    return [json.loads(line) for line in content.splitlines()]


class TestVolume:
    """
    The log limits its volume and never blocks the process.
    """

    def test_lines_beyond_the_limit_are_counted(self):
        """
        Guards against a log volume that grows with the load.
        """
        discard_kept_messages()
        reader, writer = os.pipe()
        lines = LineWriter(writer)
        eliot.add_destinations(lines)
        try:
            log = DecisionLog('p', lines_per_s=5)
            for number in range(1_000):
                log.record('flood', number=number)
        finally:
            eliot.remove_destination(lines)
        written = read_lines(reader)
        flood = [line for line in written if line['message_type'] == 'flood']
        # The limit is per second, and a new second may begin in the loop.
        assert 5 <= len(flood) <= 10
        assert log.omitted_counts['flood'] == 1_000 - len(flood)

    def test_slow_reader_causes_only_dropped_lines(self):
        """
        Guards against a write that blocks because the pipe is full.
        """
        _, writer = os.pipe()
        lines = LineWriter(writer)
        for number in range(20_000):
            lines({'message_type': 'x', 'text': 'y' * 100, 'number': number})
        assert lines.dropped_count


class TestSubjectLog:
    """
    The lines about a subject are collected from the logs of all processes.
    """

    lines = (
        '{"message_type":"job_accepted","process_id":"a","wall_ms":1000,'
        '"job":"j1"}',
        '  1.0 b {"message_type":"run_placed","process_id":"b",'
        '"wall_ms":1010,"task":"j1.0.0.0","worker":"w1"}',
        '{"message_type":"worker_lapsed","process_id":"b","wall_ms":1500,'
        '"worker":"w1"}',
        '{"message_type":"worker_lapsed","process_id":"b","wall_ms":1500,'
        '"worker":"w2"}',
        '{"message_type":"job_ended","process_id":"b","wall_ms":2000,'
        '"job":"j1","phase":"completed"}',
        '{"message_type":"job_accepted","process_id":"a","wall_ms":1,'
        '"job":"j2"}',
        '{"message_type":"truncated',
    )

    def test_job_includes_its_tasks_and_their_workers(self):
        """
        Guards against a selection that omits why a run of the job ended.

        Here the lease of the run's worker expired.
        """
        subject_log = collect_subject_log('j1', reversed(self.lines))
        assert [line.kind for line in subject_log.lines] == [
            'job_accepted',
            'run_placed',
            'worker_lapsed',
            'job_ended',
        ]
        assert subject_log.damaged_count == 1

    def test_the_command_prints_all_formats(self, tmp_path, capsys):
        """
        Guards against an output format that cannot be rendered.
        """
        file = tmp_path / 'log'
        file.write_text('\n'.join(self.lines))
        for form in ('text', 'json', 'html'):
            assert main(['explain', 'j1', str(file), '--format', form]) == 0
            assert 'worker_lapsed' in capsys.readouterr().out
        assert main(['explain', 'j9', str(file)]) == 7

    def test_the_platforms_settings_are_checked(self, tmp_path, capsys):
        """
        Guards against a check that stops at the first error.
        """
        file = tmp_path / 'boot.conf'
        file.write_text('node_name=a\nbounds.stop_ms=soon\n')
        assert main(['check', '--platform', str(file)]) == 3
        errors = capsys.readouterr().err
        assert 'boot.conf:2: bounds.stop_ms' in errors
        assert 'platform.address is missing' in errors
