"""
Tests of settings files with malformed content.
"""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hawthornpier.platform import PlatformProcess, parse_settings
from hawthornpier.platform._settings import SETTINGS_VARIABLE, load_settings

VALID = """\
node_name=a
ip=127.0.0.1
zone=z
bind_addresses.frontend=127.0.0.1:1
bind_addresses.readiness_addr=127.0.0.1:2
internal_ports=3
platform.address=127.0.0.1:4
"""
# The last one has more digits than an integer is parsed from.
ODD_VALUES = ('nan', 'inf', '-inf', '1e999', f'{"9" * 5_000}')
PORT = 'internal_ports=3'


class TestMalformedContent:
    """
    Any malformed content is reported as such, and not as another error.
    """

    @given(content=st.binary(max_size=80))
    def test_any_content(self, tmp_path_factory, content):
        """
        Guards against a process that ends with a traceback at its start.
        """
        path = tmp_path_factory.mktemp('settings') / 'boot.conf'
        path.write_bytes(content)
        with pytest.raises(ExceptionGroup):
            load_settings(path)

    @pytest.mark.parametrize('odd', ODD_VALUES)
    @pytest.mark.parametrize('field', ['bounds.grace_s', 'bounds.stop_ms'])
    def test_odd_numbers(self, field, odd):
        """
        Guards against numbers that no conversion to an integer accepts.
        """
        with pytest.raises(ExceptionGroup, match='settings'):
            parse_settings(f'{VALID}{field}={odd}\n', 'boot.conf')

    @pytest.mark.parametrize('odd', [*ODD_VALUES, '70000'])
    def test_odd_ports(self, odd):
        """
        Guards against a port that no socket accepts.
        """
        content = VALID.replace(PORT, f'internal_ports={odd}')
        with pytest.raises(ExceptionGroup, match='settings'):
            parse_settings(content, 'boot.conf')


class TestReload:
    """
    A malformed settings file does not stop the process from reading the next.
    """

    @pytest.mark.parametrize('bad', [b'\xff', b'bounds.grace_s=inf\n'])
    def test_next_file_is_read(self, tmp_path, monkeypatch, bad):
        """
        Guards against settings that are never read again.
        """
        path = tmp_path / 'boot.conf'
        path.write_text(VALID)
        monkeypatch.setenv(SETTINGS_VARIABLE, str(path))

        async def scenario():
            process = PlatformProcess(load_settings(path))
            reload = asyncio.Event()
            watch = asyncio.ensure_future(process._watch_settings(reload))
            for content in (bad, b'bounds.grace_s=9\n'):
                path.write_bytes(VALID.encode() + content)
                reload.set()
                await asyncio.sleep(0.05)
            watch.cancel()
            assert process.settings.bounds.grace_ms == 9_000

        asyncio.run(scenario())
