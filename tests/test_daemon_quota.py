"""
Tests of the division of the table's limits among the shards.
"""

from hypothesis import given, settings
from hypothesis import strategies as st

from hawthornpier.daemon._quota import limits_of_shard, share_of
from hawthornpier.policy import WorkloadLimits

_SHARDS = ('ipoh/0', 'kuching/0', 'melaka/0')


class TestShares:
    """
    The shares of a limit in each shard.
    """

    @settings(derandomize=True, deadline=None)
    @given(
        limit=st.integers(0, 10**12),
        count=st.integers(1, 40),
        member=st.text(max_size=8),
    )
    def test_shares_add_up_to_the_limit(
        self,
        limit: int,
        count: int,
        member: str,
    ) -> None:
        """
        G9: owners that admit work independently never exceed a limit together.

        Guards against owners that each apply the whole limit: in the demo,
        three shards ran three times the limit.
        """
        shards = [f'ipoh/{number}' for number in range(count)]
        shares = [
            share_of(limit, member=member, shard=shard, shards=shards)
            for shard in shards
        ]
        assert sum(shares) == limit
        assert max(shares) - min(shares) <= 1

    def test_limits_of_a_member_share_one_shard(self) -> None:
        """
        Limits below the number of shards have their shares in the same shard.

        Otherwise no shard would have a share of both the workload's and the
        member's limit, and the workload could not run at all.
        """
        rows = [
            WorkloadLimits(name=name, member='m', max_running_count=1)
            for name in ('m', 'carving-plan')
        ]
        shares = [
            {
                row.max_running_count
                for row in limits_of_shard(rows, shard=shard, shards=_SHARDS)
            }
            for shard in _SHARDS
        ]
        assert sorted(map(sorted, shares)) == [[0], [0], [1]]
