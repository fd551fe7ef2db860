"""
Operator keys and files that the command line refers to.
"""

import os
import pathlib

import msgspec

from hawthornpier import table
from hawthornpier.cli._errors import CommandError, ExitCode


def read_key(key_file: str) -> str:
    """
    Return the operator key in a file, or in the environment.

    The environment is used if *key_file* is empty.  No option accepts the key
    itself, since other users of the machine can see a process's arguments.
    """
    if not key_file:
        return os.environ.get('HAWTHORNPIER_OPERATOR_KEY', '').strip()
    return read_text(key_file).strip()


def read_text(path: str) -> str:
    """
    Return the content of a UTF-8 text file.

    Raises:
        CommandError: The file cannot be read or is not UTF-8 text.
    """
    try:
        return pathlib.Path(path).read_text(encoding='utf-8-sig')
    except (OSError, ValueError) as error:
        reason = (
            getattr(error, 'strerror', None) or 'the file is not UTF-8 text'
        )
        raise CommandError(f'{path}: {reason}', code=ExitCode.INPUT) from error


def read_rows(path: str) -> tuple[tuple[table.TableRow, ...], int]:
    """
    Return the rows in a CSV or JSON file and the table version in the file.

    The version for a CSV file is 0, since the format does not contain it.

    Raises:
        CommandError: The file cannot be read or a row is invalid.
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
