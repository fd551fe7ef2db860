"""
Conversion of setting values from text to the types of their fields.
"""

import enum
import ipaddress
import re
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any

from hawthornpier.settings._model import BootstrapOperator, FailureDomain

# Names are used in row keys, paths and header fields.
_NAME_PATTERN = re.compile('[A-Za-z0-9][A-Za-z0-9_.-]{0,63}')
_BOOLEANS: Mapping[str, bool] = MappingProxyType(
    {
        'yes': True,
        'true': True,
        'on': True,
        '1': True,
        'no': False,
        'false': False,
        'off': False,
        '0': False,
    }
)
_MAX_PORT = 65535


def convert(annotation: Any, text: str) -> Any:
    """
    Return *text* as a value of the field type *annotation*.

    Raises:
        ValueError: If the text has the wrong form; the message is written for
            operators.
    """
    if isinstance(annotation, type) and issubclass(annotation, enum.StrEnum):
        return _to_choice(annotation, text)
    return _CONVERTERS[annotation](text)


def to_name(text: str) -> str:
    """
    Return *text* if it is a valid name; raise ValueError otherwise.
    """
    if not _NAME_PATTERN.fullmatch(text):
        raise ValueError(
            f'{text!r} is not a valid name: use 1 to 64 letters, digits, ".", '
            '"_" and "-", with a letter or digit first',
        )
    return text


def to_ip(text: str) -> str:
    """
    Return *text* if it is an IP address; raise ValueError otherwise.
    """
    try:
        ipaddress.ip_address(text)
    except ValueError as error:
        raise ValueError(f'{text!r} is not an IP address') from error
    return text


def to_address(text: str) -> str:
    """
    Return *text* if it has the form ``ip:port`` or ``[ipv6]:port``.

    Raises:
        ValueError: If it has another form.
    """
    host, colon, port = text.rpartition(':')
    if not colon:
        raise ValueError(f'{text!r} is not of the form ip:port or [ipv6]:port')
    address = host.removeprefix('[').removesuffix(']')
    to_ip(address)
    if (':' in address) != (host != address):
        raise ValueError(
            f'{text!r}: an IPv6 address must be in brackets, and an '
            'IPv4 address must not be'
        )
    to_port(_to_int(port))
    return text


def to_port(port: int) -> int:
    """
    Return *port* if it is a valid TCP port; raise ValueError otherwise.
    """
    if not 1 <= port <= _MAX_PORT:
        raise ValueError(f'port {port} is not within 1 to {_MAX_PORT}')
    return port


def _to_choice(choices: type[enum.StrEnum], text: str) -> enum.StrEnum:
    try:
        return choices(text)
    except ValueError as error:
        allowed = ', '.join(choices)
        raise ValueError(f'{text!r} is not one of {allowed}') from error


def _to_int(text: str) -> int:
    # int() would also accept underscores, "+" and digits of other scripts.
    if not re.fullmatch('-?[0-9]{1,18}', text):
        raise ValueError(f'{text!r} is not a whole number')
    return int(text)


def _to_bool(text: str) -> bool:
    if text.lower() not in _BOOLEANS:
        raise ValueError(
            f'{text!r} is neither yes nor no (or true, on, 1, false, off or 0)'
        )
    return _BOOLEANS[text.lower()]


def _to_items(text: str) -> tuple[str, ...]:
    parts = (part.strip() for part in re.split('[,\n]', text))
    return tuple(part for part in parts if part)


def _to_pairs(text: str) -> list[tuple[str, str]]:
    pairs: list[tuple[str, str]] = []
    for item in _to_items(text):
        name, colon, rest = (part.strip() for part in item.partition(':'))
        if not colon or not rest:
            raise ValueError(f'{item!r} is not of the form "name: value"')
        pairs.append((to_name(name), rest))
    names = [name for name, _ in pairs]
    repeated = sorted({name for name in names if names.count(name) > 1})
    if repeated:
        raise ValueError(f'names listed more than once: {", ".join(repeated)}')
    return pairs


def _to_domains(text: str) -> tuple[FailureDomain, ...]:
    return tuple(
        FailureDomain(name=name, region=to_name(region))
        for name, region in _to_pairs(text)
    )


def _to_operators(text: str) -> tuple[BootstrapOperator, ...]:
    return tuple(
        BootstrapOperator(member=member, key_hash=key_hash)
        for member, key_hash in _to_pairs(text)
    )


_CONVERTERS: Mapping[Any, Callable[[str], Any]] = MappingProxyType(
    {
        str: str,
        int: _to_int,
        bool: _to_bool,
        tuple[str, ...]: _to_items,
        tuple[FailureDomain, ...]: _to_domains,
        tuple[BootstrapOperator, ...]: _to_operators,
    }
)
