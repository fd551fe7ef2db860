"""
Tests of the settings file.
"""

import contextlib
import pathlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hawthornpier.policy import Placement
from hawthornpier.settings import (
    Settings,
    SettingsError,
    SettingsErrorGroup,
    load_settings,
    parse_settings,
)

EXAMPLES = pathlib.Path(__file__).parents[1] / 'examples'
BASE = """\
[process]
process_id = ipoh-1
region = semenanjung
failure_domain = ipoh
listen_port = 8801
[platform]
store_address = 127.0.0.1:8700
host_list_address = [::1]:8700
[cluster]
failure_domains =
    # A comment within a value.
    ipoh: semenanjung
    kuching: borneo
"""


def errors_of(text: str, directory: str | pathlib.Path = '') -> list[str]:
    """
    Return the error messages for an invalid settings file, one per mistake.
    """
    with pytest.raises(SettingsErrorGroup) as caught:
        parse_settings(text, path='x.ini', directory=directory)
    assert all(
        isinstance(error, SettingsError) for error in caught.value.exceptions
    )
    return [str(error) for error in caught.value.exceptions]


class TestValidFiles:
    """
    Valid files give settings with the defaults filled in.
    """

    @pytest.mark.parametrize('name', ['yayasan', 'picking'])
    def test_examples_load(self, name: str) -> None:
        """
        The example files are valid for the current settings.
        """
        loaded = load_settings(EXAMPLES / f'{name}.ini')
        assert len(loaded.cluster.failure_domains) == 3
        assert loaded.timing.lease_ms == 3000
        assert loaded.platform.worker_connections == 60

    def test_defaults_and_own_address(self) -> None:
        """
        A file with only the required keys is valid, and the advertised address
        is that of the listener.
        """
        loaded = parse_settings(BASE)
        assert loaded.process.advertised_address == '127.0.0.1:8801'
        assert loaded.policy.placement is Placement.SAMPLED
        assert loaded.cluster.region_of('kuching') == 'borneo'
        assert loaded.security.peer_keys == ()

    def test_key_files_are_read(self, tmp_path: pathlib.Path) -> None:
        """
        The final newline of a key file is dropped, and no key is in the repr.
        """
        (tmp_path / 'peer.key').write_text('0123456789abcdef\n')
        loaded = parse_settings(
            f'{BASE}[security]\npeer_key_id = k2\npeer_key_file = peer.key\n'
            'previous_peer_key_id = k1\n'
            'previous_peer_key = fedcba9876543210\n',
            directory=tmp_path,
        )
        current, previous = loaded.security.peer_keys
        assert (current.key_id, current.secret) == ('k2', b'0123456789abcdef')
        assert previous.key_id == 'k1'
        assert 'fedcba' not in repr(loaded)
        assert 'abcdef' not in repr(loaded)


class TestInvalidFiles:
    """
    All mistakes of a file are reported together, each with its line and key.
    """

    def test_invalid_value_does_not_hide_conflicting_values(self) -> None:
        """
        All three mistakes are reported, although one of them leaves its section
        incomplete and another one is a conflict between two sections.
        """
        text = (
            '[process]\nprocess_id = a\nregion = r\nfailure_domain = nowhere\n'
            'listen_port = 99999\n[platform]\nstore_address = 127.0.0.1:1\n'
            'host_list_address = 127.0.0.1:1\n'
            '[cluster]\nfailure_domains =\n    ipoh: semenanjung\n'
            '[timing]\nlease_ms = x\n'
        )
        with pytest.raises(SettingsErrorGroup) as raised:
            parse_settings(text, path='x.ini')
        keys = [error.key for error in raised.value.exceptions]
        assert keys == ['failure_domain', 'listen_port', 'lease_ms']

    def test_all_mistakes_are_reported_together(self) -> None:
        """
        An operator does not have to load the file again for each mistake.
        """
        text = (
            '[process]\nprocess_id = a b\nlisten_port = 99999\n'
            'port = 1\nlisten_port = 5\n[other]\nx = 1\n'
            '[cluster]\nfailure_domains =\n  a: b\n  a: c\nnonsense\n'
            '[timing]\nlease_ms = 100\nrenew_interval_ms = 1_000\n'
            '[platform]\nhas_worker_guards = maybe\nworker_connections = 61\n'
            '[policy]\nqueue_order = lifo\n'
        )
        locations = [line.partition(': ')[0] for line in errors_of(text)]
        joined = '\n'.join(errors_of(text))
        assert locations == [
            'x.ini:1',
            'x.ini:1',
            'x.ini:2',
            'x.ini:4',
            'x.ini:5',
            'x.ini:6',
            'x.ini:9',
            'x.ini:12',
            'x.ini:14',
            'x.ini:15',
            'x.ini:16',
            'x.ini:16',
            'x.ini:17',
            'x.ini:18',
            'x.ini:20',
        ]
        assert 'x.ini:5: [process] listen_port: already set' in joined
        assert "x.ini:20: [policy] queue_order: 'lifo' is not one of" in joined

    @pytest.mark.parametrize(
        ('addition', 'location'),
        [
            ('[timing]\nlease_ms = 2999', '15: [timing] lease_ms'),
            ('[timing]\nsuspect_after_ms = 9', '15: [timing] suspect_after_ms'),
            ('[link]\nlink_bytes_per_s = 9', '14: [link] budget_bytes_per_s'),
            ('[security]\ntls_authority_file = none', '15: [security] tls_a'),
            ('[security]\npeer_key = 0123456789abcdef', '14: [security] peer'),
            ('[security]\npeer_key_id = k', '15: [security] peer_key_id'),
            (
                '[security]\nprevious_peer_key = 0123456789abcdef\n'
                'previous_peer_key_id = k',
                '15: [security] previous_peer_key: set without',
            ),
            ('[observability]\notlp_address = host:1', '15: [observability] '),
        ],
    )
    def test_conflicting_values(self, addition: str, location: str) -> None:
        """
        Values that are valid alone but contradict each other are rejected.
        """
        assert f'x.ini:{location}' in '\n'.join(
            errors_of(f'{BASE}{addition}\n')
        )

    @pytest.mark.parametrize(
        ('old', 'new', 'location'),
        [
            ('= ipoh\n', '= perak\n', '4: [process] failure_domain'),
            ('= semenanjung', '= borneo', '3: [process] region'),
            ('8700', '8700x', '7: [platform] store_address'),
            (':8700', '', '7: [platform] store_address'),
            ('8801', '0', '5: [process] listen_port'),
            ('[process]', '', '2: no section'),
            (
                'listen_port',
                'listen_address = 0.0.0.0\nlisten_port',
                '[security] peer_key: not set',
            ),
        ],
    )
    def test_one_invalid_value(self, old: str, new: str, location: str) -> None:
        """
        Each mistake is reported at the key that has to be changed.
        """
        assert location in '\n'.join(errors_of(BASE.replace(old, new, 1)))

    def test_unreadable_file(self, tmp_path: pathlib.Path) -> None:
        """
        A missing file, a directory and a binary file raise the same type.
        """
        (tmp_path / 'binary.ini').write_bytes(b'\xff\xfe\x00')
        for path in (tmp_path, tmp_path / 'none', tmp_path / 'binary.ini'):
            with pytest.raises(SettingsErrorGroup):
                load_settings(path)

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(
        st.one_of(
            st.text(),
            st.lists(
                st.sampled_from(
                    [
                        *BASE.splitlines(),
                        '[timing]',
                        'lease_ms = -1',
                        '  = x',
                        '[]',
                        '[DEFAULT]',
                        'peer_key_file = \0',
                        '[security]',
                        'listen_port = \u0663',
                        'a = %(b)s',
                        '\x0b[x]',
                        '\x85 k = v',
                    ],
                ),
            ).map('\n'.join),
            st.tuples(st.sampled_from(BASE.split(' ')), st.text()).map(
                lambda pair: BASE.replace(*pair),
            ),
        ),
    )
    def test_any_text_gives_settings_or_typed_errors(self, text: str) -> None:
        """
        No content of a file raises anything but `SettingsErrorGroup`.
        """
        with contextlib.suppress(SettingsErrorGroup):
            assert isinstance(parse_settings(text), Settings)
