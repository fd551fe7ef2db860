"""
Virtual time on simulated hosts whose processor and network link cost time.

All hosts share one event loop.  Each callback belongs to the host that its
context names, if any.  The callbacks of a host run one after another, each for
as long as it takes on that host; those of other hosts go on meanwhile.
"""

import asyncio
import collections
import contextvars
import cProfile
import itertools

# The time that a whole core takes for an event: a call of a function in Python
# or its return. These are counted and not measured, so that all runs of a test
# are the same.
EVENT_MS = 0.0002
# The callbacks of a host run early by less than this, to save timers.
SLACK_S = 0.0005
BITS_PER_BYTE = 8
LINK_SLACK_MS = 0.2

_HOST = contextvars.ContextVar('host', default=None)
# The context of what is no host: workers, the store and the network.
_NETWORK = contextvars.Context()


class _NoProfile:
    """
    Counts no calls.
    """

    def enable(self):
        """
        Do nothing.
        """

    def disable(self):
        """
        Do nothing.
        """


_NO_PROFILE = _NoProfile()


class Host:
    """
    A host whose callbacks run one after another, each taking its time.

    Args:
        cores: The size of its processor; one process uses one core at most.
        link_mbps: The bandwidth of its network link, each way.
        counts_calls: Whether function calls take time, too.  To count them
            makes a test slower.
    """

    def __init__(self, *, cores=1, link_mbps=1_000, counts_calls=True):
        self.cores = cores
        # How long the host takes for the work of one ms of a whole core.
        self._ms_per_core_ms = 1 / min(1, cores)
        self.context = contextvars.copy_context()
        self.context.run(_HOST.set, self)
        self.sending = _Link(self, link_mbps)
        self.receiving = _Link(self, link_mbps)
        # The processor time used, in seconds of the host.
        self.used_s = 0
        self._loop = asyncio.get_running_loop()
        self._busy_until_s = self._loop.now_s
        self._waiting = collections.deque()
        self._is_armed = False
        self._is_stopped = False
        self._events = itertools.count()
        self._profile = _NO_PROFILE
        if counts_calls:
            self._profile = cProfile.Profile(
                self._events.__next__, 1, builtins=False
            )
        # During a callback: the number of its first event.
        self._first_event = None
        self._event_s = EVENT_MS * self._ms_per_core_ms / 1000

    def time(self):
        """
        Return the time of the host, which is later than that of the loop while
        its processor is busy.
        """
        now_s = max(self._loop.now_s, self._busy_until_s)
        if self._first_event is None:
            return now_s
        return now_s + (next(self._events) - self._first_event) * self._event_s

    def slow_down(self, factor):
        """
        Multiply the time of all that the processor does from now on.
        """
        self._ms_per_core_ms = factor / min(1, self.cores)
        self._event_s = EVENT_MS * self._ms_per_core_ms / 1000

    def charge(self, core_ms):
        """
        Use the processor for a time, given in ms of a whole core.
        """
        if self._is_stopped:
            return
        spent_s = core_ms * self._ms_per_core_ms / 1000
        self.used_s += spent_s
        self._busy_until_s = spent_s + max(self._loop.now_s, self._busy_until_s)

    async def work(self, core_ms):
        """
        Use the processor for a time, once it has come to that.
        """
        await self._loop.create_task(
            self._charge_later(core_ms), context=self.context
        )

    def stop(self):
        """
        End the process: what it still does costs no time.
        """
        self._is_stopped = True
        self._busy_until_s = 0
        self._arm()

    def accept(self, job):
        """
        Run a callback, or queue it while the processor is busy.
        """
        if self._waiting or self._lag_s() > SLACK_S:
            self._waiting.append(job)
            self._arm()
        else:
            self._run(job)

    def _lag_s(self):
        return self._busy_until_s - self._loop.now_s

    def _arm(self):
        if not self._is_armed:
            self._is_armed = True
            self._loop.call_at(
                self._busy_until_s, self._run_waiting, context=_NETWORK
            )

    def _run_waiting(self):
        self._is_armed = False
        while self._waiting and self._lag_s() <= SLACK_S:
            self._run(self._waiting.popleft())
        if self._waiting:
            self._arm()

    def _run(self, job):
        if job.handle.cancelled():
            return
        self._first_event = next(self._events)
        self._profile.enable()
        try:
            job.call._run()
        finally:
            self._profile.disable()
            count = next(self._events) - self._first_event
            self._first_event = None
        counted_s = count * self._event_s
        if not self._is_stopped:
            self.used_s += counted_s
            self._busy_until_s = counted_s + max(
                self._loop.now_s, self._busy_until_s
            )

    async def _charge_later(self, core_ms):
        self.charge(core_ms)


class _Link:
    """
    One direction of a host's network link, which sends one by one.
    """

    def __init__(self, host, mbps):
        self._host = host
        self._mbps = mbps
        self._free_at_s = 0

    async def carry(self, byte_count):
        """
        Return once so many bytes have passed, after those before them.
        """
        loop = asyncio.get_running_loop()
        now_s = loop.now_s
        spent_s = byte_count * BITS_PER_BYTE / self._mbps / 1_000_000
        self._free_at_s = max(now_s, self._free_at_s) + spent_s
        left_s = self._free_at_s - now_s
        if left_s * 1000 > LINK_SLACK_MS:
            await asyncio.sleep(left_s)


class _Job:
    """
    A callback of a host, and the handle by which it can be cancelled.
    """

    def __init__(self, call):
        self.call = call
        self.handle = None


class HostLoop(asyncio.SelectorEventLoop):
    """
    An event loop in virtual time whose callbacks run on hosts.

    It waits for nothing but its timers.
    """

    def __init__(self):
        # The time outside of all hosts.
        self.now_s = 0
        super().__init__()
        self._selector.select = self._skip_time

    def time(self):
        host = _HOST.get()
        return self.now_s if host is None else host.time()

    def call_soon(self, callback, *args, context=None):
        # A context without variables is false.
        context = contextvars.copy_context() if context is None else context
        host = context.get(_HOST)
        if host is None:
            return super().call_soon(callback, *args, context=context)
        job = _Job(asyncio.Handle(callback, args, self, context))
        job.handle = super().call_soon(host.accept, job, context=_NETWORK)
        return job.handle

    def call_at(self, when, callback, *args, context=None):
        # A context without variables is false.
        context = contextvars.copy_context() if context is None else context
        host = context.get(_HOST)
        if host is None:
            return super().call_at(when, callback, *args, context=context)
        job = _Job(asyncio.Handle(callback, args, self, context))
        job.handle = super().call_at(when, host.accept, job, context=_NETWORK)
        return job.handle

    def _skip_time(self, timeout_s):
        if timeout_s is None:
            raise RuntimeError('nothing is left that could happen')
        self.now_s += timeout_s
        return ()


async def on_network(coroutine):
    """
    Run a coroutine outside of all hosts, without cost, and return its result.
    """
    loop = asyncio.get_running_loop()
    return await loop.create_task(coroutine, context=_NETWORK)


def run_on_hosts(coroutine):
    """
    Run *coroutine* in the virtual time of hosts, and return its result.
    """
    with asyncio.Runner(loop_factory=HostLoop) as runner:
        return runner.run(coroutine)
