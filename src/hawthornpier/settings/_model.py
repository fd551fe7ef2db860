"""
The data classes of the settings: one per section, with a field per key.

A field without a default must be set in the file.
"""

from dataclasses import dataclass, field

from hawthornpier.policy import PolicySettings

# A worker accepts 64 connections; four are left free for the fencing requests
# of a new owner.
MAX_WORKER_CONNECTIONS = 60


@dataclass(frozen=True, slots=True, kw_only=True)
class FailureDomain:
    """
    A failure domain and the region that it belongs to.
    """

    name: str
    region: str


@dataclass(frozen=True, slots=True, kw_only=True)
class BootstrapOperator:
    """
    A founding member and the salted hash of its operators' key.
    """

    member: str
    key_hash: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerKey:
    """
    A shared key that signs requests between processes.
    """

    key_id: str
    secret: bytes = field(repr=False)


@dataclass(frozen=True, slots=True, kw_only=True)
class ProcessSettings:
    """
    The identity and the addresses of this process.

    *advertised_address* is the ``ip:port`` that peers and callers use; by
    default it is the listener's own.
    """

    process_id: str
    region: str
    failure_domain: str
    listen_port: int
    listen_address: str = '127.0.0.1'
    advertised_address: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformSettings:
    """
    The addresses of the platform's services and properties of its workers.

    *has_worker_guards* states whether workers reject requests with a lower
    epoch and work above their capacity.
    """

    store_address: str
    host_list_address: str
    has_worker_guards: bool = True
    worker_connections: int = MAX_WORKER_CONNECTIONS


@dataclass(frozen=True, slots=True, kw_only=True)
class ClusterSettings:
    """
    The failure domains, their shards and the addresses of entry processes.

    *seed_addresses* is only validated; processes find each other through the
    store.
    """

    failure_domains: tuple[FailureDomain, ...]
    shards_per_failure_domain: int = 1
    seed_addresses: tuple[str, ...] = ()

    def region_of(self, failure_domain: str) -> str | None:
        """
        Return the region of *failure_domain*, or None if it is unknown.
        """
        regions = {
            domain.name: domain.region for domain in self.failure_domains
        }
        return regions.get(failure_domain)


@dataclass(frozen=True, slots=True, kw_only=True)
class TimingSettings:
    """
    All intervals and timeouts, in milliseconds.
    """

    lease_ms: int = 3000
    renew_interval_ms: int = 1000
    # The clocks of two hosts may drift apart by this much during one lease.
    clock_error_ms: int = 200
    # A request may arrive up to this long after it was sent.
    delivery_delay_ms: int = 500
    commit_interval_ms: int = 5
    start_interval_ms: int = 5
    task_lease_ms: int = 15000
    task_renew_interval_ms: int = 1000
    heartbeat_interval_ms: int = 500
    suspect_after_ms: int = 2000
    table_read_interval_ms: int = 1000
    table_confirm_ms: int = 4000
    host_list_interval_ms: int = 1000
    report_interval_ms: int = 1000
    silent_after_ms: int = 2000
    connect_timeout_ms: int = 1000
    store_timeout_ms: int = 1000
    peer_timeout_ms: int = 1000
    default_deadline_ms: int = 2000
    drain_timeout_ms: int = 30000


@dataclass(frozen=True, slots=True, kw_only=True)
class LinkSettings:
    """
    The bandwidth of the link between regions and this process's part of it.

    The defaults are 15 Mbit/s and a quarter of that: the link is shared with
    the members' own traffic and billed by volume.
    """

    link_bytes_per_s: int = 1875000
    budget_bytes_per_s: int = 468750


@dataclass(frozen=True, slots=True, kw_only=True)
class SecuritySettings:
    """
    Keys of the requests between processes, TLS files and founding operators.

    A key is given in the settings file itself or as the name of a key file;
    after loading, *peer_key* and *previous_peer_key* hold the keys in both
    cases.
    """

    peer_key_id: str = ''
    peer_key: str = field(default='', repr=False)
    peer_key_file: str = ''
    previous_peer_key_id: str = ''
    previous_peer_key: str = field(default='', repr=False)
    previous_peer_key_file: str = ''
    tls_certificate_file: str = ''
    tls_private_key_file: str = ''
    tls_authority_file: str = ''
    bootstrap_operators: tuple[BootstrapOperator, ...] = ()

    @property
    def peer_keys(self) -> tuple[PeerKey, ...]:
        """
        Return the accepted keys; the first one signs, and none means unsigned.
        """
        pairs = (
            (self.peer_key_id, self.peer_key),
            (self.previous_peer_key_id, self.previous_peer_key),
        )
        return tuple(
            PeerKey(key_id=key_id, secret=secret.encode())
            for key_id, secret in pairs
            if secret
        )

    @property
    def founders(self) -> dict[str, str]:
        """
        Return the key hashes of the founding members by name.
        """
        return {
            operator.member: operator.key_hash
            for operator in self.bootstrap_operators
        }

    @property
    def is_tls_enabled(self) -> bool:
        """
        Return whether listeners and clients use TLS.
        """
        return bool(self.tls_certificate_file)


@dataclass(frozen=True, slots=True, kw_only=True)
class ObservabilitySettings:
    """
    Metrics, events and logs; an empty *log_file* means standard error.
    """

    is_metrics_enabled: bool = True
    otlp_address: str = ''
    otlp_interval_ms: int = 10000
    event_ring_count: int = 16384
    log_file: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """
    The settings of one process; each field is a section of the file.
    """

    process: ProcessSettings
    platform: PlatformSettings
    cluster: ClusterSettings
    timing: TimingSettings = TimingSettings()
    policy: PolicySettings = PolicySettings()
    link: LinkSettings = LinkSettings()
    security: SecuritySettings = SecuritySettings()
    observability: ObservabilitySettings = ObservabilitySettings()
