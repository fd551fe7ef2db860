"""
Tests over HTTP with callers, entry processes, the store and workers.
"""

import json

import msgspec
from platform_installation import JOB_ID, job_body, run

from hawthornpier import fleet


class TestPath:
    """
    A job is accepted, run and shown through the platform's HTTP interfaces.
    """

    def test_a_job_completes_at_any_process(self):
        """
        Guards against field names and formats of the platform that the adapter
        encodes or decodes incorrectly.
        """

        async def scenario(installation):
            first = installation.start_process('a')
            second = installation.start_process('b')
            await installation.wait_ready(first)
            await installation.wait_ready(second)
            path = f'/jobs/{JOB_ID}'
            code, _ = await installation.call(first, 'POST', path, job_body())
            assert code == 200
            await installation.wait_state(second, JOB_ID, 'completed')
            assert sorted(installation.started) == sorted(
                f'{JOB_ID}.0.{step}.{index}'
                for step in range(2)
                for index in range(4)
            )
            code, body = await installation.call(second, 'GET', '/jobs/')
            assert json.loads(body) == {'pending': 0}

        run(scenario)

    def test_the_owner_is_killed(self):
        """
        Guards against jobs that stop progressing, or tasks that run twice,
        after the owner was killed.
        """

        async def scenario(installation):
            settings = {
                name: installation.start_process(name) for name in 'abc'
            }
            for each in settings.values():
                await installation.wait_ready(each)
            ids = [f'{number:016x}' for number in range(6)]
            for job_id in ids:
                code, _ = await installation.call(
                    settings['a'],
                    'POST',
                    f'/jobs/{job_id}',
                    job_body(),
                )
                assert code == 200
            owner = await installation.wait_owner()
            installation.kill(owner)
            survivor = settings[next(iter(installation.processes))]
            for job_id in ids:
                await installation.wait_state(survivor, job_id, 'completed')
            assert len(installation.started) == len(set(installation.started))

        run(scenario)

    def test_bad_input_is_refused_with_a_reason(self):
        """
        Guards against malformed jobs that are stored or crash a process.
        """

        async def scenario(installation):
            settings = installation.start_process('a')
            await installation.wait_ready(settings)
            path = f'/jobs/{JOB_ID}'
            negative = {'count': 1, 'cpu': -1}
            later = {'count': 1, 'after': [1]}
            bodies = (
                '{',
                '[]',
                '{"spec":"x"}',
                job_body(phases=[]),
                job_body(phases=[negative]),
                job_body(phases=[later, later]),
                job_body(phases=[{'count': 10**9}]),
                job_body(spec='x' * 5_000),
                job_body(repeat_count=-1),
            )
            for body in bodies:
                code, reply = await installation.call(
                    settings,
                    'POST',
                    path,
                    body,
                )
                assert code == 400, body
                assert json.loads(reply)['error']
            code, _ = await installation.call(
                settings,
                'POST',
                '/jobs/not-an-id',
                job_body(),
            )
            assert code == 400
            code, _ = await installation.call(settings, 'GET', path)
            assert code == 410
            code, _ = await installation.call(settings, 'DELETE', path)
            assert code == 410
            code, _ = await installation.call(settings, 'GET', '/else/')
            assert code == 404

        run(scenario)


class TestRows:
    """
    Malformed rows of other writers are skipped.
    """

    def test_unreadable_entries_name_no_worker(self):
        """
        Guards against a malformed registry row that crashes the owner.
        """
        from hawthornpier.platform import PlatformDecoder

        good = {
            'service': 'desk',
            'address': '10.0.0.1:80',
            'state': 'draining',
            'remaining_ms': 1_500,
            'labels': ['a', 'r1-3'],
            'capacity': {'cpu': 8_000, 'ram_mb': 32_000, 'gpu': 0},
            'born': 5,
            'new_field': [1],
        }
        contents = (
            msgspec.json.encode(good),
            b'\xff\xfe',
            msgspec.json.encode({**good, 'state': 'gone'}),
            msgspec.json.encode({**good, 'capacity': 7}),
            msgspec.json.encode({'service': 'desk'}),
        )
        decoder = PlatformDecoder()
        entries = decoder.workers(
            [
                fleet.StoredRow(
                    table='servers',
                    part='',
                    key=f'i-{number}',
                    content=content,
                )
                for number, content in enumerate(contents)
            ],
        )
        assert [entry.worker_id for entry in entries] == ['i-0']
        assert entries[0].is_draining
        assert entries[0].rack == 'r1-3'
        assert decoder.unreadable_count == 4


class TestSettings:
    """
    All errors in the platform's settings file are reported together.
    """

    def test_all_faults_are_named_with_line_and_field(self):
        """
        Guards against reporting only the first of several errors.
        """
        import pytest

        from hawthornpier.platform import parse_settings

        content = 'node_name=a\nip=10.0.0.1\nbounds.stop_ms=soon\nnew=1\n'
        with pytest.raises(ExceptionGroup) as caught:
            parse_settings(content, 'boot.conf')
        lines = [str(error) for error in caught.value.exceptions]
        assert "boot.conf:3: bounds.stop_ms is not a number: 'soon'" in lines
        assert 'boot.conf: platform.address is missing' in lines
        assert len(lines) > 4
