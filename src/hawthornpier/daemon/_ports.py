"""
The ports of an entry process and their HTTP implementations.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from hawthornpier.adapters import (
    HttpHostList,
    HttpPeer,
    HttpTableStore,
    HttpWorker,
    SigningKey,
    SystemClock,
)
from hawthornpier.messages import HostRecord
from hawthornpier.ports import (
    Clock,
    HostList,
    PeerPort,
    TableStore,
    WorkerPort,
)
from hawthornpier.settings import Settings

# The limit for each peer; a forwarded request occupies a connection while it
# waits and runs.
PEER_CONNECTIONS = 256
# The limit for the store; group commits of all shards, lease renewals and reads
# share these connections.
STORE_CONNECTIONS = 16


class Connections(Protocol):
    """
    Access to the clock, the platform, the workers and the peers.
    """

    @property
    def clock(self) -> Clock:
        """
        Return the clock of the process.
        """
        ...

    @property
    def signing_keys(self) -> Sequence[SigningKey]:
        """
        Return the keys that peers may sign with.

        This process signs its own messages with the first key.
        """
        ...

    def store(self) -> TableStore:
        """
        Return the platform's table service.
        """
        ...

    def host_list(self) -> HostList:
        """
        Return the platform's host list.
        """
        ...

    def worker(self, host: HostRecord) -> WorkerPort:
        """
        Return the port of a worker.
        """
        ...

    def peer(self, address: str) -> PeerPort:
        """
        Return the port of the entry process at *address*.
        """
        ...


@dataclass(slots=True)
class HttpConnections:
    """
    Creates HTTP clients, one for each peer and each worker at first use.
    """

    settings: Settings
    clock: SystemClock
    signing_keys: Sequence[SigningKey]
    _peers: dict[str, HttpPeer]
    _workers: dict[str, HttpWorker]

    @classmethod
    def from_settings(cls, settings: Settings) -> 'HttpConnections':
        """
        Return connections for these settings, without opening any.
        """
        keys = tuple(
            SigningKey(key_id=key.key_id, secret=key.secret)
            for key in settings.security.peer_keys
        )
        return cls(settings, SystemClock(), keys, {}, {})

    @property
    def ca_certs(self) -> str:
        """
        Return the path of the trusted CA certificates, or an empty string.
        """
        return self.settings.security.tls_authority_file

    def store(self) -> HttpTableStore:
        """
        Return the platform's table service.
        """
        return HttpTableStore(
            self.settings.platform.store_address,
            deadline_ms=self.settings.timing.store_timeout_ms,
            connection_limit=STORE_CONNECTIONS,
            ca_certs=self.ca_certs,
        )

    def host_list(self) -> HttpHostList:
        """
        Return the platform's host list.
        """
        return HttpHostList(
            self.settings.platform.host_list_address,
            deadline_ms=self.settings.timing.store_timeout_ms,
            ca_certs=self.ca_certs,
        )

    def worker(self, host: HostRecord) -> HttpWorker:
        """
        Return the port of a worker.

        All owners that run in this process, one after another, share it.
        """
        port = self._workers.get(host.address)
        if port is None:
            port = HttpWorker(
                host.address,
                deadline_ms=self.settings.timing.silent_after_ms,
                connection_limit=self.settings.platform.worker_connections,
                ca_certs=self.ca_certs,
            )
            self._workers[host.address] = port
        return port

    def peer(self, address: str) -> HttpPeer:
        """
        Return the port of the entry process at *address*.
        """
        port = self._peers.get(address)
        if port is None:
            port = self._new_peer(address)
            self._peers[address] = port
        return port

    def close(self) -> None:
        """
        Close all connections.
        """
        for peer in self._peers.values():
            peer.close()
        for worker in self._workers.values():
            worker.close()

    def _new_peer(self, address: str) -> HttpPeer:
        unsigned = SigningKey(key_id='', secret=b'')
        scheme = 'https' if self.settings.security.is_tls_enabled else 'http'
        return HttpPeer(
            f'{scheme}://{address}',
            key=self.signing_keys[0] if self.signing_keys else unsigned,
            clock=self.clock,
            deadline_ms=self.settings.timing.peer_timeout_ms,
            connection_limit=PEER_CONNECTIONS,
            ca_certs=self.ca_certs,
        )
