"""
The operator's configuration: queues, and routes from requests to queues.
"""

import functools
from dataclasses import dataclass

from hawthornpier.steps import QueuePolicy


@dataclass(frozen=True, slots=True, kw_only=True)
class QueueRoute:
    """
    Assigns requests for a host and a path prefix to a queue.
    """

    host: str
    path_prefix: str
    policy: QueuePolicy


@dataclass(frozen=True, kw_only=True)
class Configuration:
    """
    One version of the operator's configuration.
    """

    version: int
    routes: tuple[QueueRoute, ...] = ()
    # Services whose workers execute every start, also beyond their capacity.
    unguarded_services: frozenset[str] = frozenset()

    @functools.cached_property
    def queues(self) -> dict[str, QueuePolicy]:
        """
        Return the policies of the queues, by name of the queue.
        """
        return {route.policy.name: route.policy for route in self.routes}

    def match(self, host: str, path: str) -> QueueRoute | None:
        """
        Return the matching route with the longest path prefix, or None.

        Args:
            host: The Host header of a request, with or without a port.
            path: The path of the request.
        """
        best: QueueRoute | None = None
        for route in self._by_host.get(host.partition(':')[0].lower(), ()):
            if path.startswith(route.path_prefix) and (
                best is None or len(route.path_prefix) > len(best.path_prefix)
            ):
                best = route
        return best

    @functools.cached_property
    def _by_host(self) -> dict[str, list[QueueRoute]]:
        hosts: dict[str, list[QueueRoute]] = {}
        for route in self.routes:
            hosts.setdefault(route.host, []).append(route)
        return hosts
