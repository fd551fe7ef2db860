"""
Tests of processes whose reader sends a configuration that they cannot use.
"""

import base64
import zlib

from fake_store import virtual_tests
from test_fleet_configuration import (
    IN_FORCE_MS,
    READER_COUNT,
    _ManyNodes,
)

from hawthornpier.fleet import ConfigurationReply

OLD = b'{"version": 1, "queues": [], "unguarded": []}'


class _OddReaders:
    """
    Makes the readers send a configuration of a high version, and counts that.
    """

    def __init__(self, world, content):
        self.reply_count = 0
        self._content = content
        for name in sorted(world.nodes)[:READER_COUNT]:
            world.nodes[name].wait_configuration = self._reply

    async def _reply(self, after_version, wait_ms):
        self.reply_count += 1
        return ConfigurationReply(version=99, content=self._content)


@virtual_tests(_ManyNodes)
class TestOddReaders:
    """
    A configuration that cannot be used is not taken for a current one.
    """

    async def test_content_of_an_old_version(self, world):
        """
        Guards against an old configuration, and requests without a pause.
        """
        content = base64.b64encode(zlib.compress(OLD)).decode()
        await self._check(world, content)

    async def test_missing_content(self, world):
        """
        Guards against the same by a reply without the announced version.
        """
        await self._check(world, '')

    async def _check(self, world, content):
        await world.run_for(3_000)
        readers = _OddReaders(world, content)
        # Until the readers have answered the requests from before.
        await world.run_for(1_000)
        world.configure(7)
        await world.run_for(IN_FORCE_MS)
        assert set(world.versions().values()) == {7}
        assert readers.reply_count < 100
