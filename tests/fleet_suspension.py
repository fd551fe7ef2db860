"""
Suspends processes of a simulated installation, as a hypervisor does.
"""

import asyncio
import dataclasses
import functools

from fleet_world import World

from hawthornpier.errors import HawthornpierError


class Suspension:
    """
    Suspends one process: its clock, its requests and what it receives.

    Replies that arrive meanwhile are received afterwards.  What the process
    does until its next request still happens before the suspension.

    Args:
        clock: The clock of the host.
    """

    def __init__(self, clock):
        self._clock = clock
        self._since_ms = None
        self._ended = asyncio.Event()
        self._ended.set()
        # Called with the name of each request before it is sent.
        self.on_request = None

    def begin(self):
        self._since_ms = self._clock.monotonic_ms()
        self._ended.clear()

    def end(self):
        self._since_ms = None
        self._ended.set()

    @property
    def is_suspended(self):
        return not self._ended.is_set()

    def monotonic_ms(self):
        if self._since_ms is None:
            return self._clock.monotonic_ms()
        return self._since_ms

    def wall_ms(self):
        return self._clock.wall_ms()

    async def sleep_ms(self, duration_ms):
        await self._clock.sleep_ms(duration_ms)
        await self._ended.wait()

    def wrap(self, client):
        return _SuspendableClient(client, self)

    async def call(self, method, *arguments, **options):
        if self.on_request is not None:
            self.on_request(method.__name__)
        await self._ended.wait()
        try:
            reply = await method(*arguments, **options)
        except HawthornpierError:
            await self._ended.wait()
            raise
        await self._ended.wait()
        return reply


class _SuspendableClient:
    """
    A client whose requests are made by a process that may be suspended.
    """

    def __init__(self, client, suspension):
        self._client = client
        self._suspension = suspension

    def __getattr__(self, name):
        value = getattr(self._client, name)
        if name in {'close', 'card'}:
            return value
        return functools.partial(self._suspension.call, value)


class SuspendableWorld(World):
    """
    An installation whose processes can be suspended.
    """

    def prepare(self, context):
        suspension = Suspension(self.clock)
        return dataclasses.replace(
            context,
            clock=suspension,
            store=suspension.wrap(context.store),
            dial=lambda entry: suspension.wrap(context.dial(entry)),
            dial_peer=lambda card: suspension.wrap(context.dial_peer(card)),
        )

    async def suspend(self, node, duration_ms):
        """
        Suspend a process for some time.
        """
        node.is_frozen = True
        node.clock.begin()
        try:
            await self.run_for(duration_ms)
        finally:
            node.clock.end()
            node.is_frozen = False
