"""
Tests of the example in the page on embedding.
"""

import json
import pathlib
from collections import defaultdict
from importlib import util
from types import ModuleType

import pytest
from virtual_time import VirtualClock, run_virtual

from hawthornpier.messages import Transaction, TransactionResult
from hawthornpier.ports import StoreReplyLostError
from hawthornpier_standin.platform import MemoryStore

_ROOT = pathlib.Path(__file__).resolve().parents[1]
_EXAMPLE = _ROOT / 'examples' / 'embed_ownership.py'
_PAGE = _ROOT / 'docs' / 'library.md'


def _load_example() -> ModuleType:
    spec = util.spec_from_file_location(_EXAMPLE.stem, _EXAMPLE)
    assert spec is not None
    assert spec.loader is not None
    module = util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


class _RecordingStore(MemoryStore):
    """
    Keeps the counts that were written to each shard's row, in order.

    Loses the answer to every transaction with a number that is divisible by
    *lose_every*, among those that write counts; 0 loses none.
    """

    def __init__(self, *, clock: VirtualClock, lose_every: int) -> None:
        super().__init__(clock=clock)
        self.counts: dict[str, list[dict]] = defaultdict(list)
        self.lost_reply_count = 0
        self._lose_every = lose_every
        self._seen_versions: set[int] = set()
        self._transaction_count = 0

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """
        Apply the transaction, and perhaps lose its answer.
        """
        outcome = await super().transact(transaction)
        rows = [row for row in outcome.rows if row.key.startswith('count/')]
        if not outcome.is_committed or not rows:
            return outcome
        for row in rows:
            # A repeated transaction id returns the first result again.
            if row.version not in self._seen_versions:
                self._seen_versions.add(row.version)
                self.counts[row.key].append(json.loads(row.text))
        self._transaction_count += 1
        every = self._lose_every
        if every and self._transaction_count % every == 0:
            self.lost_reply_count += 1
            raise StoreReplyLostError('the answer was lost on purpose')
        return outcome


async def _run_example(
    seed: int,
    lose_every: int = 0,
) -> tuple[_RecordingStore, list[str]]:
    clock = VirtualClock()
    store = _RecordingStore(clock=clock, lose_every=lose_every)
    lines: list[str] = []
    await _load_example().demonstrate(
        store,
        clock,
        seed=seed,
        report=lines.append,
    )
    return store, lines


class TestExample:
    """
    The example file, on virtual time.
    """

    @pytest.mark.parametrize('seed', [1, 2, 3])
    def test_killed_process_is_replaced(self, seed: int) -> None:
        """
        G2: each shard has one owner, and the survivor's epoch is higher.

        Guards against an example that leaves shards of a killed process
        without an owner.
        """
        store, lines = run_virtual(_run_example(seed))
        shards = list(_load_example().SHARDS)
        first_owned = sum(shard in lines[0] for shard in shards)
        second_owned = sum(shard in lines[1] for shard in shards)
        assert (first_owned, second_owned) == (2, 2)
        assert lines[2] == f'second owns {shards}'
        for shard in shards:
            written = store.counts[f'count/{shard}']
            epochs = [each['epoch'] for each in written]
            writers = {each['epoch']: each['process_id'] for each in written}
            assert epochs == sorted(epochs)
            assert all(
                each['process_id'] == writers[each['epoch']] for each in written
            )
            assert written[-1]['process_id'] == 'second'
            if shard in lines[0]:
                assert 'first' in writers.values()

    @pytest.mark.parametrize('losing_every', [0, 3])
    def test_counts_grow_by_one(self, lose_every: int) -> None:
        """
        G2, G6: no write is lost or applied twice, even if answers are lost.

        Guards against an example that repeats a write that was applied.
        """
        store, _ = run_virtual(_run_example(1, lose_every))
        assert bool(store.lost_reply_count) == bool(lose_every)
        assert len(store.counts) == len(_load_example().SHARDS)
        for written in store.counts.values():
            counts = [each['count'] for each in written]
            assert counts == list(range(1, len(counts) + 1))

    def test_stopped_process_leaves_nothing(self) -> None:
        """
        G8, its part in coordination: a planned stop gives up everything.

        Guards against an example after whose stop the next owner would have
        to wait until the lease expires.
        """

        async def scenario() -> list[str]:
            store, _ = await _run_example(1)
            assert not await store.scan('process/')
            rows = await store.scan('owner/')
            return [json.loads(row.text)['process_id'] for row in rows]

        assert run_virtual(scenario()) == ['', '', '', '']


class TestPage:
    """
    The page that shows the example.
    """

    def test_example_is_included_verbatim(self) -> None:
        """
        Guards against a page that shows other code than the tested file.
        """
        assert f'```python\n{_EXAMPLE.read_text()}```\n' in _PAGE.read_text()
