"""
Tests of the example that docs/library.md shows.

G1 to G9 are the guarantees in README.md.
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
    A store that records the counts written to each shard's row, in order.

    If *lose_every* is not 0, it loses the reply to every *lose_every*-th
    transaction that writes counts.
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
        Apply the transaction; its reply may be lost.
        """
        outcome = await super().transact(transaction)
        rows = [row for row in outcome.rows if row.key.startswith('count/')]
        if not outcome.is_committed or not rows:
            return outcome
        for row in rows:
            # A repeated transaction id returns the result of the first one.
            if row.version not in self._seen_versions:
                self._seen_versions.add(row.version)
                self.counts[row.key].append(json.loads(row.text))
        self._transaction_count += 1
        every = self._lose_every
        if every and self._transaction_count % every == 0:
            self.lost_reply_count += 1
            raise StoreReplyLostError('the test discards this reply')
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
    The example file, run on virtual time.
    """

    @pytest.mark.parametrize('seed', [1, 2, 3])
    def test_killed_process_is_replaced(self, seed: int) -> None:
        """
        G2: each epoch has one owner, and that of the survivor is higher.

        The survivor must take over all shards of the killed process.
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

    @pytest.mark.parametrize('lose_every', [0, 3])
    def test_counts_grow_by_one(self, lose_every: int) -> None:
        """
        G2, G6: no write is lost or applied twice, even if replies are lost.

        The example must not repeat a write that was applied.
        """
        store, _ = run_virtual(_run_example(1, lose_every))
        assert bool(store.lost_reply_count) == bool(lose_every)
        assert len(store.counts) == len(_load_example().SHARDS)
        for written in store.counts.values():
            counts = [each['count'] for each in written]
            assert counts == list(range(1, len(counts) + 1))

    def test_stopped_process_leaves_nothing(self) -> None:
        """
        G8, the coordination part: a graceful stop gives up lease and shards.

        Otherwise the next owner would wait until the lease expires.
        """

        async def scenario() -> list[str]:
            store, _ = await _run_example(1)
            assert not await store.scan('process/')
            rows = await store.scan('owner/')
            return [json.loads(row.text)['process_id'] for row in rows]

        assert run_virtual(scenario()) == ['', '', '', '']


class TestPage:
    """
    The documentation page that shows the example.
    """

    def test_example_is_included_verbatim(self) -> None:
        """
        The page must show exactly the code that is tested.
        """
        assert f'```python\n{_EXAMPLE.read_text()}```\n' in _PAGE.read_text()
