"""
The commands ``table show``, ``set``, ``diff``, ``history`` and ``approve``.
"""

import argparse
import datetime
import sys
from collections.abc import Iterator, Mapping, Sequence
from typing import Any

from hawthornpier import table
from hawthornpier.cli import _keys, _options
from hawthornpier.cli._errors import CommandError, ExitCode
from hawthornpier.cli._inputs import read_rows

_PATH = '/v1/table'
_MS_PER_S = 1000


def add_commands(commands: Any) -> None:
    """
    Add the commands to the subparsers *commands*.
    """
    group = commands.add_parser('table', help='show and edit the shared table')
    tables = group.add_subparsers(metavar='COMMAND', required=True)
    parser = _options.add_command(
        tables,
        'show',
        show,
        summary='print the table; for CSV, its version goes to standard error',
    )
    _add_format(parser, 'csv', 'json')
    _add_set(tables)
    parser = _options.add_command(
        tables,
        'diff',
        diff,
        summary='show what "table set --file" would change',
    )
    _add_file(parser, is_required=True)
    parser = _options.add_command(
        tables,
        'history',
        show_history,
        summary='show the accepted edits, oldest first',
    )
    parser.add_argument('--since', type=int, default=0, metavar='VERSION')
    parser.add_argument('--limit', type=int, default=100, metavar='N')
    _add_format(parser, 'text', 'json')
    parser = _options.add_command(
        tables,
        'approve',
        approve,
        summary='approve the proposal for a member, on behalf of your member',
    )
    parser.add_argument('subject', metavar='MEMBER')
    _add_base_version(parser)
    _keys.add_commands(tables)


def show(arguments: argparse.Namespace) -> ExitCode:
    """
    Print the whole table.
    """
    snapshot = _fetch_snapshot(arguments)
    if arguments.format == 'json':
        _options.print_json(table.snapshot_to_document(snapshot))
    else:
        sys.stdout.write(table.rows_to_csv(snapshot.rows))
        sys.stderr.write(f'version {snapshot.version}\n')
    return ExitCode.OK


def edit_table(arguments: argparse.Namespace) -> ExitCode:
    """
    Edit one row of the table, or all rows listed in a file.
    """
    if bool(arguments.file) == bool(arguments.key):
        raise CommandError('give either KEY or --file', code=ExitCode.USAGE)
    snapshot = _fetch_snapshot(arguments)
    if arguments.file:
        changes, known_version = _file_changes(arguments, snapshot)
    else:
        changes, known_version = _cell_changes(arguments, snapshot)
    base_version = arguments.base_version or known_version
    if not base_version and snapshot.version:
        raise CommandError(
            'a CSV file needs --base-version, the version that "table show" '
            'printed with it',
            code=ExitCode.USAGE,
        )
    if not changes:
        _options.print_lines(['no change'])
        return ExitCode.OK
    document = {
        'base_version': base_version,
        'edits': [
            table.edit_to_document(_change_to_edit(change))
            for change in changes
        ],
    }
    response = _options.create_client(arguments).change('PUT', _PATH, document)
    # An edit that raises the weight or a quota of the operator's own member
    # becomes a proposal, so the accepted changes can differ from the request.
    delta = response.get('delta')
    if delta is not None:
        changes = table.delta_from_document(delta).changes
    _print_changes(changes)
    _print_version(response)
    return ExitCode.OK


def diff(arguments: argparse.Namespace) -> ExitCode:
    """
    Print the differences between the table and a file.
    """
    changes, _ = _file_changes(arguments, _fetch_snapshot(arguments))
    _print_changes(changes)
    return ExitCode.DIFFERENT if changes else ExitCode.OK


def show_history(arguments: argparse.Namespace) -> ExitCode:
    """
    Print the accepted edits.
    """
    path = f'{_PATH}/history?since={arguments.since}&limit={arguments.limit}'
    document = _options.create_client(arguments).get(path)
    deltas = document.get('deltas') if isinstance(document, dict) else document
    if arguments.format == 'json':
        _options.print_json(deltas)
        return ExitCode.OK
    for delta in map(table.delta_from_document, deltas or ()):
        _options.print_lines(_describe_delta(delta))
    return ExitCode.OK


def approve(arguments: argparse.Namespace) -> ExitCode:
    """
    Print the proposal for a member and approve exactly this proposal.
    """
    snapshot = _fetch_snapshot(arguments)
    key = f'proposal/{arguments.subject}'
    proposal = _rows_by_key(snapshot).get(key)
    if proposal is None:
        raise CommandError(
            f'there is no proposal for member {arguments.subject}',
            code=ExitCode.NOT_FOUND,
        )
    _print_changes([table.Change(key=key, before=None, after=proposal)])
    document = {
        'member': arguments.subject,
        'base_version': arguments.base_version or snapshot.version,
    }
    client = _options.create_client(arguments)
    _print_version(client.change('POST', f'{_PATH}/approvals', document))
    return ExitCode.OK


def _add_set(tables: Any) -> None:
    parser = _options.add_command(
        tables,
        'set',
        edit_table,
        summary='edit one row of the table, or all rows listed in a file',
    )
    parser.add_argument(
        'key',
        metavar='KEY',
        nargs='?',
        help='row to edit, such as member/yayasan or workload/yayasan/desk',
    )
    parser.add_argument(
        'cells',
        metavar='COLUMN=VALUE',
        nargs='*',
        help='new value of a cell; an empty value restores the default',
    )
    parser.add_argument('--delete', action='store_true', help='delete the row')
    _add_file(parser, is_required=False)
    _add_base_version(parser)


def _add_file(parser: argparse.ArgumentParser, *, is_required: bool) -> None:
    parser.add_argument(
        '--file',
        required=is_required,
        default='',
        help='file as printed by "table show": JSON if its name ends in .json, '
        'otherwise CSV',
    )
    parser.add_argument(
        '--prune',
        action='store_true',
        help="delete your member's workloads that are not in the file",
    )


def _add_base_version(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--base-version',
        type=int,
        default=0,
        metavar='VERSION',
        help='table version that the edit is based on; needed with a CSV file',
    )


def _add_format(parser: argparse.ArgumentParser, *formats: str) -> None:
    parser.add_argument(
        '--format',
        choices=formats,
        default=formats[0],
        help=f'default: {formats[0]}',
    )


def _fetch_snapshot(arguments: argparse.Namespace) -> table.Snapshot:
    document = _options.create_client(arguments).get(_PATH)
    return table.snapshot_from_document(document)


def _rows_by_key(snapshot: table.Snapshot) -> dict[str, table.TableRow]:
    return {table.row_key(row): row for row in snapshot.rows}


def _cell_changes(
    arguments: argparse.Namespace,
    snapshot: table.Snapshot,
) -> tuple[Sequence[table.Change], int]:
    """
    Return the change of one row and the table version it is based on.
    """
    key = arguments.key
    before = _rows_by_key(snapshot).get(key)
    after = None
    if arguments.delete and before is None:
        raise CommandError(f'{key}: no such row', code=ExitCode.NOT_FOUND)
    if not arguments.delete:
        after = table.change_row(
            key, before, dict(_parse_cells(arguments.cells))
        )
    old_rows = {} if before is None else {key: before}
    new_rows = {} if after is None else {key: after}
    return table.diff_rows(old_rows, new_rows), snapshot.version


def _parse_cells(cells: Sequence[str]) -> Iterator[tuple[str, str]]:
    for cell in cells:
        column, equals, text = cell.partition('=')
        if not equals:
            raise CommandError(
                f'{cell!r} is not of the form COLUMN=VALUE',
                code=ExitCode.USAGE,
            )
        yield column, text


def _file_changes(
    arguments: argparse.Namespace,
    snapshot: table.Snapshot,
) -> tuple[Sequence[table.Change], int]:
    """
    Return the changes that lead to the file's rows, and the file's version.

    Proposals in the file are ignored, since they are not edited directly.
    """
    file_rows, file_version = read_rows(arguments.file)
    before = _rows_by_key(snapshot)
    after = dict(before)
    if arguments.prune:
        after = _without_workloads(before, arguments.member)
    after.update(
        {
            table.row_key(row): row
            for row in file_rows
            if not isinstance(row, table.ProposalRow)
        }
    )
    return table.diff_rows(before, after), file_version


def _without_workloads(
    rows: Mapping[str, table.TableRow],
    member: str,
) -> dict[str, table.TableRow]:
    return {
        key: row
        for key, row in rows.items()
        if not isinstance(row, table.WorkloadRow) or row.member != member
    }


def _change_to_edit(change: table.Change) -> table.Edit:
    if isinstance(change.after, table.MemberRow | table.WorkloadRow):
        return table.PutRow(row=change.after)
    return table.DeleteRow(key=change.key)


def _print_changes(changes: Sequence[table.Change]) -> None:
    for change in changes:
        _options.print_lines(table.describe_change(change))


def _print_version(response: Any) -> None:
    version = (
        response.get('version') if isinstance(response, dict) else response
    )
    _options.print_lines([f'accepted as version {version}'])


def _describe_delta(delta: table.Delta) -> Iterator[str]:
    at = datetime.datetime.fromtimestamp(delta.at_ms / _MS_PER_S, datetime.UTC)
    yield f'version {delta.version} by {delta.member} at {at.isoformat()}'
    for change in delta.changes:
        for line in table.describe_change(change):
            yield f'  {line}'
