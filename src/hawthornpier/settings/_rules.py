"""
Allowed ranges of single values and rules between several values.
"""

import functools
import ipaddress
import pathlib
from collections.abc import Callable, Iterator, Mapping
from dataclasses import replace
from types import MappingProxyType
from typing import Any

from hawthornpier.settings import _convert
from hawthornpier.settings._errors import (
    ConflictingValuesError,
    InvalidValueError,
    UnreadableFileError,
)
from hawthornpier.settings._model import (
    MAX_WORKER_CONNECTIONS,
    ClusterSettings,
    LinkSettings,
    ProcessSettings,
    SecuritySettings,
    TimingSettings,
)
from hawthornpier.settings._source import Source

# One day: a longer interval is most likely a mistake in the unit.
_MAX_INTERVAL_MS = 86400000
_MAX_SHARDS = 4096
_MAX_EVENT_COUNT = 1048576
_MAX_BYTES_PER_S = 10**12
# Three renewals must fit into a lease, so that it does not expire after one
# lost and one late reply.
_RENEWALS_PER_LEASE = 3
# 16 bytes resist guessing; more than 32 bytes do not strengthen HMAC-SHA256.
_MIN_KEY_LENGTH = 16
_TLS_KEYS = (
    'tls_certificate_file',
    'tls_private_key_file',
    'tls_authority_file',
)

_Check = Callable[[Any], Any]
# The section, the key and the reason.
_Violation = tuple[str, str, str]


def _check_range(number: int, *, highest: int) -> int:
    if not 1 <= number <= highest:
        raise ValueError(f'{number} is not within 1 to {highest}')
    return number


def _up_to(highest: int) -> _Check:
    return functools.partial(_check_range, highest=highest)


def _check_addresses(addresses: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(_convert.to_address(address) for address in addresses)


def _check_not_empty(domains: tuple[Any, ...]) -> tuple[Any, ...]:
    if not domains:
        raise ValueError('must list at least one failure domain')
    return domains


_CHECKS: Mapping[tuple[str, str], _Check] = MappingProxyType(
    {
        ('process', 'process_id'): _convert.to_name,
        ('process', 'region'): _convert.to_name,
        ('process', 'failure_domain'): _convert.to_name,
        ('process', 'listen_address'): _convert.to_ip,
        ('process', 'listen_port'): _convert.to_port,
        ('process', 'advertised_address'): _convert.to_address,
        ('platform', 'store_address'): _convert.to_address,
        ('platform', 'host_list_address'): _convert.to_address,
        ('platform', 'worker_connections'): _up_to(MAX_WORKER_CONNECTIONS),
        ('cluster', 'failure_domains'): _check_not_empty,
        ('cluster', 'shards_per_failure_domain'): _up_to(_MAX_SHARDS),
        ('cluster', 'seed_addresses'): _check_addresses,
        ('link', 'link_bytes_per_s'): _up_to(_MAX_BYTES_PER_S),
        ('link', 'budget_bytes_per_s'): _up_to(_MAX_BYTES_PER_S),
        ('security', 'peer_key_id'): _convert.to_name,
        ('security', 'previous_peer_key_id'): _convert.to_name,
        ('observability', 'otlp_address'): _convert.to_address,
        ('observability', 'event_ring_count'): _up_to(_MAX_EVENT_COUNT),
    }
)
_check_interval = _up_to(_MAX_INTERVAL_MS)


def check_value(section: str, key: str, value: Any) -> Any:
    """
    Return *value* if it is allowed for the key.

    Raises:
        ValueError: If it is not; the message is written for operators.
    """
    if key.endswith('_ms'):
        return _check_interval(value)
    check = _CHECKS.get((section, key))
    return check(value) if check else value


def check_sections(
    sections: dict[str, Any],
    source: Source,
    directory: pathlib.Path,
) -> None:
    """
    Check the rules between values, and fill in derived values.

    A rule is checked only if all sections that it needs are complete.

    Args:
        sections: The sections by name; None for an incomplete one.  The
            contents of key files and the advertised address are filled in.
        source: Records the mistakes.
        directory: The directory of relative file names.
    """
    sections['security'] = _read_files(sections['security'], source, directory)
    for rule, names in _RULES:
        needed = [sections[name] for name in names]
        if None not in needed:
            _record_violations(rule(*needed), source)
    if sections['process'] is not None:
        sections['process'] = _with_advertised_address(sections['process'])


def _record_violations(
    violations: Iterator[_Violation], source: Source
) -> None:
    # A key with an invalid value has its default or a placeholder here.  It is
    # not the operator's mistake if that contradicts other values.
    reported_keys = {(error.section, error.key) for error in source.errors}
    for section, key, reason in violations:
        if (section, key) not in reported_keys:
            reported_keys.add((section, key))
            source.add_error(
                ConflictingValuesError, reason, section=section, key=key
            )


def _with_advertised_address(process: ProcessSettings) -> ProcessSettings:
    if process.advertised_address:
        return process
    host = process.listen_address
    bracketed_host = f'[{host}]' if ':' in host else host
    return replace(
        process,
        advertised_address=f'{bracketed_host}:{process.listen_port}',
    )


def _check_domain(
    process: ProcessSettings,
    cluster: ClusterSettings,
) -> Iterator[_Violation]:
    region = cluster.region_of(process.failure_domain)
    if region is None:
        known = ', '.join(domain.name for domain in cluster.failure_domains)
        yield (
            'process',
            'failure_domain',
            f'{process.failure_domain!r} is not in [cluster] '
            f'failure_domains ({known})',
        )
    elif region != process.region:
        yield (
            'process',
            'region',
            f'{process.failure_domain!r} belongs to region {region!r} in '
            '[cluster] failure_domains',
        )


def _check_listener(process: ProcessSettings) -> Iterator[_Violation]:
    listen = ipaddress.ip_address(process.listen_address)
    if listen.is_unspecified and not process.advertised_address:
        yield (
            'process',
            'advertised_address',
            'required, but not set: peers cannot connect to the listen address '
            f'{listen}',
        )


def _check_timing(timing: TimingSettings) -> Iterator[_Violation]:
    renewals = _RENEWALS_PER_LEASE
    # Each entry: a key, its smallest allowed value and a description of that.
    limits = (
        (
            'lease_ms',
            renewals * timing.renew_interval_ms,
            'three times renew_interval_ms',
        ),
        (
            'task_lease_ms',
            renewals * timing.task_renew_interval_ms,
            'three times task_renew_interval_ms',
        ),
        (
            'suspect_after_ms',
            2 * timing.heartbeat_interval_ms,
            'twice heartbeat_interval_ms',
        ),
        (
            'table_confirm_ms',
            2 * timing.table_read_interval_ms,
            'twice table_read_interval_ms',
        ),
        ('lease_ms', timing.clock_error_ms + 1, 'more than clock_error_ms'),
    )
    for key, smallest, description in limits:
        actual = getattr(timing, key)
        if actual < smallest:
            reason = (
                f'{actual} is less than the minimum of {smallest} '
                f'({description})'
            )
            yield 'timing', key, reason


def _check_link(link: LinkSettings) -> Iterator[_Violation]:
    if link.budget_bytes_per_s > link.link_bytes_per_s:
        yield (
            'link',
            'budget_bytes_per_s',
            f'{link.budget_bytes_per_s} is more than link_bytes_per_s',
        )


def _check_signing(
    process: ProcessSettings,
    security: SecuritySettings,
) -> Iterator[_Violation]:
    listen = ipaddress.ip_address(process.listen_address)
    is_signed = security.peer_key or security.peer_key_file
    if not is_signed and not listen.is_loopback:
        yield (
            'security',
            'peer_key',
            'not set; processes may exchange unsigned requests only on a '
            f'loopback address, not on {listen}',
        )


def _check_keys(security: SecuritySettings) -> Iterator[_Violation]:
    is_signed = security.peer_key or security.peer_key_file
    if security.previous_peer_key and not is_signed:
        yield (
            'security',
            'previous_peer_key',
            'set without peer_key or peer_key_file, the current key',
        )
    for key in ('peer_key', 'previous_peer_key'):
        secret, key_id = getattr(security, key), getattr(security, f'{key}_id')
        if bool(secret) != bool(key_id):
            yield (
                'security',
                f'{key}_id',
                f'must be set if and only if {key} is',
            )
        if secret and len(secret) < _MIN_KEY_LENGTH:
            yield (
                'security',
                key,
                f'must not be shorter than {_MIN_KEY_LENGTH} characters',
            )
    if security.peer_key_id and (
        security.peer_key_id == security.previous_peer_key_id
    ):
        yield 'security', 'previous_peer_key_id', 'must differ from peer_key_id'


def _check_tls(security: SecuritySettings) -> Iterator[_Violation]:
    present = [key for key in _TLS_KEYS if getattr(security, key)]
    for key in _TLS_KEYS:
        if present and key not in present:
            yield (
                'security',
                key,
                f'not set, but required because {present[0]} is set',
            )


def _read_files(
    security: SecuritySettings,
    source: Source,
    directory: pathlib.Path,
) -> SecuritySettings:
    """
    Return *security* with the contents of key files and resolved file names.
    """
    changes: dict[str, Any] = {}
    for key in ('peer_key', 'previous_peer_key'):
        name = getattr(security, f'{key}_file')
        if name and getattr(security, key):
            source.add_error(
                ConflictingValuesError,
                f'must not be set together with {key}',
                section='security',
                key=f'{key}_file',
            )
        elif name:
            content = _read_file(source, f'{key}_file', directory / name)
            changes[key] = content.strip()
    for tls_key in _TLS_KEYS:
        tls_name = getattr(security, tls_key)
        if tls_name:
            changes[tls_key] = str(directory / tls_name)
            _read_file(source, tls_key, directory / tls_name)
    return replace(security, **changes)


def _read_file(source: Source, key: str, path: pathlib.Path) -> str:
    try:
        content = path.read_text(encoding='utf-8')
    except (OSError, ValueError) as error:
        source.add_error(
            UnreadableFileError,
            f'cannot read {path}: '
            f'{getattr(error, "strerror", None) or "not valid UTF-8 text"}',
            section='security',
            key=key,
        )
        return ''
    if not content.strip():
        source.add_error(
            InvalidValueError,
            f'{path} is empty',
            section='security',
            key=key,
        )
    return content


# Each rule with the sections that it needs, in the order of its arguments.
_RULES: tuple[
    tuple[Callable[..., Iterator[_Violation]], tuple[str, ...]], ...
] = (
    (_check_domain, ('process', 'cluster')),
    (_check_listener, ('process',)),
    (_check_timing, ('timing',)),
    (_check_link, ('link',)),
    (_check_signing, ('process', 'security')),
    (_check_keys, ('security',)),
    (_check_tls, ('security',)),
)
