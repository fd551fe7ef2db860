"""
The settings file that the platform provides to an entry process.
"""

import math
import os
import pathlib
from collections.abc import Mapping
from dataclasses import dataclass, field

from hawthornpier.errors import HawthornpierError
from hawthornpier.fleet import PlatformBounds

SETTINGS_VARIABLE = 'HAWTHORNPIER_NODE_FILE'
DEFAULT_SETTINGS_PATH = '/etc/hawthornpier/boot.conf'
_MAX_PORT = 65_535


class PlatformSettingsError(HawthornpierError):
    """
    A field of the platform's settings file is missing or malformed.
    """


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeSettings:
    """
    The settings of an entry process, which are read at start and reload.
    """

    node_name: str
    host_address: str
    failure_domain: str
    frontend_address: str
    readiness_address: str
    # Port for requests between entry processes: the first of the platform's
    # internal ports, which are the same on all hosts.
    peer_port: int
    store_address: str
    region: str = ''
    processor_cores: float = 1
    link_mbps: float = 1_000
    advice_address: str = ''
    cloud_api_address: str = ''
    memory_mb: int = 0
    bounds: PlatformBounds = field(default_factory=PlatformBounds)

    @property
    def peer_address(self) -> str:
        """
        Return the address at which other entry processes reach this one.
        """
        return f'{self.host_address}:{self.peer_port}'


def settings_path() -> pathlib.Path:
    """
    Return the path of the settings file that the platform specifies.
    """
    return pathlib.Path(
        os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS_PATH),
    )


def load_settings(path: pathlib.Path) -> NodeSettings:
    """
    Read and parse a settings file.

    Raises:
        ExceptionGroup: Contains a `PlatformSettingsError` for each missing or
            malformed field, or one if the file cannot be read.
    """
    try:
        content = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        fault = PlatformSettingsError(f'{path}: {error}')
        raise ExceptionGroup('settings', [fault]) from error
    return parse_settings(content, str(path))


def check_file(path: str) -> None:
    """
    Check a settings file.

    Raises:
        ExceptionGroup: Contains a `PlatformSettingsError` for each missing or
            malformed field, or one if the file cannot be read.
    """
    load_settings(pathlib.Path(path))


def parse_settings(content: str, name: str) -> NodeSettings:
    """
    Parse settings from lines of the form ``a.b=value``.

    Unknown fields are ignored.

    Args:
        content: The content of the settings file.
        name: The path of the file, for error messages.

    Raises:
        ExceptionGroup: Contains a `PlatformSettingsError` for each missing or
            malformed field.
    """
    reader = _FieldReader(_fields(content), name)
    settings = NodeSettings(
        node_name=reader.text('node_name'),
        host_address=reader.text('ip'),
        failure_domain=reader.text('zone'),
        region=reader.text('region', ''),
        processor_cores=reader.number('limits.cpu_share', 1)
        * reader.number('limits.cores', 1),
        link_mbps=reader.number('limits.link_mbps', 1_000),
        frontend_address=reader.text('bind_addresses.frontend'),
        readiness_address=reader.text('bind_addresses.readiness_addr'),
        peer_port=reader.first_port('internal_ports'),
        store_address=reader.text('platform.address'),
        advice_address=reader.text('advice', ''),
        cloud_api_address=reader.text('cloud_api.address', ''),
        memory_mb=int(reader.number('limits.memory_mb', 0)),
        bounds=_bounds(reader),
    )
    if reader.errors:
        raise ExceptionGroup('settings', reader.errors)
    return settings


def _fields(content: str) -> dict[str, tuple[int, str]]:
    found: dict[str, tuple[int, str]] = {}
    for number, line in enumerate(content.splitlines(), start=1):
        name, separator, text = line.partition('=')
        if separator and not line.lstrip().startswith('#'):
            found[name.strip()] = (number, text.strip())
    return found


class _FieldReader:
    """
    Converts the values of fields and collects errors.

    Args:
        fields: The line number and the value of each field.
        name: The path of the file, for error messages.
    """

    def __init__(
        self,
        fields: Mapping[str, tuple[int, str]],
        name: str,
    ) -> None:
        self.errors: list[PlatformSettingsError] = []
        self._fields = fields
        self._name = name

    def text(self, field_name: str, default: str | None = None) -> str:
        """
        Return a field as text; it is required if there is no default.
        """
        _, text = self._fields.get(field_name, (0, ''))
        if not text and default is None:
            self._fail(field_name, 'is missing')
        return text or default or ''

    def number(self, field_name: str, default: float) -> float:
        """
        Return a field as a number.
        """
        _, text = self._fields.get(field_name, (0, ''))
        if not text:
            return default
        try:
            number = float(text)
        except ValueError:
            number = math.nan
        if math.isfinite(number):
            return number
        self._fail(field_name, f'is not a number: {text!r}')
        return default

    def first_port(self, field_name: str) -> int:
        """
        Return the first number of a required list of ports.
        """
        text = self.text(field_name)
        first = text.split(',')[0].strip()
        is_short = first.isdecimal() and len(first) <= len(str(_MAX_PORT))
        if is_short and int(first) <= _MAX_PORT:
            return int(first)
        self._fail(field_name, f'does not begin with a port: {text!r}')
        return 0

    def _fail(self, field_name: str, problem: str) -> None:
        line, _ = self._fields.get(field_name, (0, ''))
        location = f'{self._name}:{line}' if line else self._name
        self.errors.append(
            PlatformSettingsError(f'{location}: {field_name} {problem}'),
        )


def _bounds(reader: _FieldReader) -> PlatformBounds:
    defaults = PlatformBounds()
    return PlatformBounds(
        lease_max_ms=int(
            reader.number('bounds.hold_max_ms', defaults.lease_max_ms),
        ),
        stop_ms=int(reader.number('bounds.stop_ms', defaults.stop_ms)),
        remote_factor=reader.number(
            'bounds.remote_factor',
            defaults.remote_factor,
        ),
        early_ms=int(reader.number('bounds.early_ms', defaults.early_ms)),
        interference_ms=int(
            reader.number('bounds.interference_ms', defaults.interference_ms),
        ),
        notice_ms=int(reader.number('bounds.notice_ms', defaults.notice_ms)),
        restore_ms=int(
            reader.number('bounds.restore_ms', defaults.restore_ms),
        ),
        status_ms=int(
            reader.number('bounds.status_s', defaults.status_ms / 1000) * 1000,
        ),
        grace_ms=int(
            reader.number('bounds.grace_s', defaults.grace_ms / 1000) * 1000,
        ),
        gang_timeout_ms=int(
            reader.number('bounds.gang_timeout_ms', defaults.gang_timeout_ms),
        ),
        contact_ms=int(
            reader.number('bounds.contact_ms', defaults.contact_ms),
        ),
        row_bytes=int(
            reader.number('platform.row_bytes', defaults.row_bytes),
        ),
    )
