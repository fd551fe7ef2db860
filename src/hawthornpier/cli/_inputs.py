"""
Keys and files that an operator names.
"""

import os
import pathlib

import msgspec

from hawthornpier import table
from hawthornpier.cli._errors import CommandError, ExitCode


def read_key(key_file: str) -> str:
    """
    Return the operator key from a file or else from the environment.

    The command line has no option for the key itself, since other users of
    the machine can see it there.
    """
    if not key_file:
        return os.environ.get('HAWTHORNPIER_OPERATOR_KEY', '').strip()
    return read_text(key_file).strip()


def read_text(path: str) -> str:
    """
    Return the content of an operator's file.

    Raises:
        CommandError: If it cannot be read.
    """
    try:
        return pathlib.Path(path).read_text(encoding='utf-8-sig')
    except (OSError, ValueError) as error:
        reason = getattr(error, 'strerror', None) or 'not text in UTF-8'
        raise CommandError(f'{path}: {reason}', code=ExitCode.INPUT) from error


def read_rows(path: str) -> tuple[tuple[table.TableRow, ...], int]:
    """
    Return the rows of a CSV or JSON file and the version that it shows.

    The version of a CSV file is 0, since the file does not tell it.

    Raises:
        CommandError: If the file or a row is wrong.
    """
    text = read_text(path)
    try:
        if pathlib.Path(path).suffix != '.json':
            return table.rows_from_csv(text), 0
        document = msgspec.json.decode(text)
        version = table.snapshot_from_document(document).version
        return table.rows_from_documents(document['rows']), version
    except table.RowErrorGroup as group:
        raise CommandError(
            *(f'{path}: {error}' for error in group.exceptions),
            code=ExitCode.INPUT,
        ) from group
    except (msgspec.DecodeError, table.DocumentError) as error:
        raise CommandError(f'{path}: {error}', code=ExitCode.INPUT) from error
