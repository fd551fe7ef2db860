"""
Tests of the table's rows, their file formats and the rules between them.
"""

import json
from types import MappingProxyType

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hawthornpier.table import (
    Change,
    DeleteRow,
    Delta,
    DocumentError,
    EmptyEditError,
    MemberRow,
    NotPermittedError,
    Priority,
    ProposalRow,
    PutRow,
    RowErrorGroup,
    Snapshot,
    TableRow,
    WorkloadClass,
    WorkloadRow,
    apply_changes,
    delta_from_document,
    delta_to_document,
    diff_rows,
    edit_to_document,
    edits_from_documents,
    plan_edit,
    row_key,
    rows_from_csv,
    rows_from_json,
    rows_to_csv,
    rows_to_json,
    snapshot_from_document,
    snapshot_to_document,
)

NAMES = st.from_regex('[A-Za-z0-9][A-Za-z0-9_.-]{0,8}', fullmatch=True)
AMOUNTS = st.integers(0, 2**53 - 1)
QUOTAS = st.none() | AMOUNTS
INTERVALS = st.none() | st.integers(1, 86400000)
SHARE_CELLS = MappingProxyType(
    {
        'member': NAMES,
        'weight': st.floats(0.001, 1000),
        'max_processor_millis': QUOTAS,
        'max_memory_bytes': QUOTAS,
        'max_accelerator_count': QUOTAS,
        'max_running_count': QUOTAS,
    }
)
HASHES = st.lists(st.from_regex('[!-~]{1,20}', fullmatch=True), max_size=2)
MEMBERS = st.builds(
    MemberRow, **SHARE_CELLS, operator_key_hash=HASHES.map(tuple)
)
PROPOSALS = st.builds(
    ProposalRow,
    **SHARE_CELLS,
    operator_key_hash=HASHES.map(tuple),
    proposed_by=NAMES,
    proposed_version=AMOUNTS,
    approved_by=st.lists(NAMES, max_size=3).map(tuple),
)
WORKLOADS = st.builds(
    WorkloadRow,
    **SHARE_CELLS,
    name=NAMES,
    workload_class=st.sampled_from(WorkloadClass),
    latency_target_ms=INTERVALS,
    deadline_ms=INTERVALS,
    is_idempotent=st.booleans(),
    priority=st.sampled_from(Priority),
    processor_millis=AMOUNTS,
    memory_bytes=AMOUNTS,
)
ROWS = st.lists(MEMBERS | PROPOSALS | WORKLOADS, max_size=6)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(['kind', 'put', 'member', 'rows', 'version']),
            inner,
            max_size=3,
        )
    ),
    max_leaves=8,
)
DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=100)


def service(**cells: object) -> WorkloadRow:
    """
    Return a service of member a.
    """
    required = {'member': 'a', 'name': 's', 'workload_class': 'service'}
    return WorkloadRow(**{**required, **cells})


class TestFiles:
    """
    Rows survive CSV and JSON unchanged; invalid ones are reported by position.
    """

    @DETERMINISTIC
    @given(ROWS)
    def test_round_trips(self, rows: list[TableRow]) -> None:
        """
        CSV, JSON, snapshots and deltas preserve every cell.
        """
        assert list(rows_from_csv(rows_to_csv(rows))) == rows
        assert list(rows_from_json(rows_to_json(rows))) == rows
        snapshot = Snapshot(version=3, rows=tuple(rows))
        document = snapshot_to_document(snapshot)
        assert snapshot_from_document(document) == snapshot
        changes = tuple(
            Change(key=row_key(row), before=row, after=None) for row in rows
        )
        delta = Delta(
            version=4,
            edit_id='e',
            member='a',
            at_ms=1,
            changes=changes,
        )
        assert delta_from_document(delta_to_document(delta)) == delta

    @DETERMINISTIC
    @given(st.text(alphabet='kindmembr,"\n =1') | st.text())
    def test_any_csv_gives_rows_or_typed_errors(self, text: str) -> None:
        """
        Invalid CSV never raises anything but `RowErrorGroup`.
        """
        for content in (text, f'kind,member\n{text}'):
            try:
                rows_from_csv(content)
            except RowErrorGroup as group:
                assert group.exceptions  # noqa: PT017

    @DETERMINISTIC
    @given(JSON)
    def test_any_document_gives_typed_errors(self, document: object) -> None:
        """
        An invalid message from a peer or operator raises only typed errors.
        """
        for decode in (
            delta_from_document,
            snapshot_from_document,
            edits_from_documents,
        ):
            try:
                decode(document)
            except (DocumentError, RowErrorGroup) as error:
                assert str(error)  # noqa: PT017

    def test_errors_name_row_and_column(self) -> None:
        """
        Every invalid cell is reported with its line and column.
        """
        text = (
            'kind,member,name,workload_class,weight,deadline_ms\n'
            'workload,a,s,service,heavy,0\n'
            'member,b,,,1,5\n'
            'guest,c,,,,\n'
            'workload,a,,batch,,\n'
        )
        with pytest.raises(RowErrorGroup) as caught:
            rows_from_csv(text)
        assert [str(error) for error in caught.value.exceptions] == [
            'line 2, column deadline_ms: 0 is not within 1 to 86400000',
            "line 2, column weight: 'heavy' is not a number",
            'line 3, column deadline_ms: a member has no such column',
            "line 4, column kind: 'guest' is not one of member, workload, "
            'proposal',
            'line 5, column name: required, but not set',
        ]

    def test_only_snapshots_may_have_unknown_columns(self) -> None:
        """
        Old processes accept rows of a newer version during a rolling upgrade,
        while a mistyped column in an operator's file is an error.
        """
        document = snapshot_to_document(Snapshot(version=1, rows=(service(),)))
        document['rows'][0]['colour'] = 'red'
        assert snapshot_from_document(document).rows == (service(),)
        with pytest.raises(RowErrorGroup):
            rows_from_json(json.dumps(document['rows']))

    def test_edits_round_trip_without_proposals(self) -> None:
        """
        Operators cannot put a proposal, which could contain forged approvals.
        """
        edits = (PutRow(row=service()), DeleteRow(key='member/b'))
        documents = [edit_to_document(edit) for edit in edits]
        assert edits_from_documents(documents) == edits
        forged = ProposalRow(
            member='b',
            proposed_by='a',
            proposed_version=1,
            approved_by=('c',),
        )
        with pytest.raises(RowErrorGroup):
            edits_from_documents([edit_to_document(PutRow(row=forged))])


class TestRules:
    """
    An edit that would make the table inconsistent is rejected as a whole.
    """

    BEFORE = {
        'member/a': MemberRow(
            member='a',
            max_memory_bytes=100,
            operator_key_hash=('h',),
        ),
    }

    @pytest.mark.parametrize(
        ('row', 'column'),
        [
            (service(max_memory_bytes=101), 'max_memory_bytes'),
            (service(max_memory_bytes=5, memory_bytes=6), 'memory_bytes'),
            (service(name='a'), 'name'),
            (service(latency_target_ms=9, deadline_ms=8), 'latency_target_ms'),
            (service(weight=0), 'weight'),
            (service(memory_bytes=-1), 'memory_bytes'),
            (
                service(
                    workload_class=WorkloadClass.BATCH,
                    latency_target_ms=9,
                ),
                'latency_target_ms',
            ),
            (
                MemberRow(member='a', max_memory_bytes=100),
                'operator_key_hash',
            ),
        ],
    )
    def test_invalid_row(self, row: TableRow, column: str) -> None:
        """
        Quotas, ranges and references hold after every edit.
        """
        with pytest.raises(RowErrorGroup) as caught:
            self.plan(PutRow(row=row))
        assert [error.column for error in caught.value.exceptions] == [column]

    def test_member_edit_must_fit_its_workloads(self) -> None:
        """
        A member with workloads cannot be deleted, nor can its quota be lowered
        below that of a workload.
        """
        rows = {
            **self.BEFORE,
            'member/b': MemberRow(member='b', operator_key_hash=('h',)),
            'workload/a/s': service(max_memory_bytes=90),
        }
        for edit in (
            DeleteRow(key='member/a'),
            PutRow(
                row=MemberRow(
                    member='a',
                    max_memory_bytes=80,
                    operator_key_hash=('h',),
                ),
            ),
        ):
            with pytest.raises(RowErrorGroup):
                self.plan(edit, rows=rows)

    def test_last_member_cannot_be_deleted(self) -> None:
        """
        The table always has a member whose operators can edit it.
        """
        with pytest.raises(NotPermittedError):
            self.plan(DeleteRow(key='member/a'))

    def test_founders_are_used_only_without_members(self) -> None:
        """
        Founders in the settings are not added to a table that has members.
        """
        row = MemberRow(member='b', operator_key_hash=('h',))
        for rows, key in ((self.BEFORE, 'proposal/b'), ({}, 'member/b')):
            changes = plan_edit(
                rows,
                [PutRow(row=row)],
                member='a',
                version=2,
                founders={'a': 'h', 'b': 'h'},
            )
            assert [change.key for change in changes] == [key]

    def test_edit_without_effect(self) -> None:
        """
        An edit that changes nothing or deletes an absent row is rejected.
        """
        with pytest.raises(EmptyEditError):
            self.plan(PutRow(row=self.BEFORE['member/a']))
        with pytest.raises(RowErrorGroup):
            self.plan(DeleteRow(key='member/x'))

    @DETERMINISTIC
    @given(ROWS, ROWS)
    def test_applied_diff_gives_the_new_table(
        self,
        before: list[TableRow],
        after: list[TableRow],
    ) -> None:
        """
        The changes between two tables contain every difference.
        """
        old = {row_key(row): row for row in before}
        new = {row_key(row): row for row in after}
        assert apply_changes(old, diff_rows(old, new)) == new

    def plan(self, edit: object, *, rows: object = None) -> object:
        """
        Return the changes of an edit by member a.
        """
        return plan_edit(
            rows or self.BEFORE,
            [edit],
            member='a',
            version=2,
            founders={},
        )
