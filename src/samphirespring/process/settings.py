"""Settings of the processes, which are read from JSON files and validated."""

import sys
from pathlib import Path
from typing import Annotated, NoReturn, TypeVar

import msgspec

from samphirespring.process.bounds import IpPort
from samphirespring.process.errors import DECODE_ERRORS, ErrorCode, SamphireError
from samphirespring.process.ids import FailureDomainName, HostId, RegionName, ReplicaId

SETTINGS_EXIT_STATUS = 2
"""Exit status of a program whose settings are invalid."""

Bytes = Annotated[int, msgspec.Meta(ge=1, le=1 << 30)]
Seconds = Annotated[float, msgspec.Meta(gt=0.0, le=86_400.0)]

SettingsT = TypeVar("SettingsT", bound=msgspec.Struct)


class SettingsInvalidError(SamphireError):
    """A settings file can't be read or has an invalid field."""

    code = ErrorCode.SETTINGS_INVALID


class _SettingsBase(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base class of all settings; unknown fields are errors."""


class TlsSettings(_SettingsBase, frozen=True, kw_only=True):
    """Files of one TLS identity, in PEM format."""

    certificate_file: str
    """Certificate, with the chain up to the certificate authority."""

    key_file: str
    """Private key of the certificate."""

    authority_file: str | None = None
    """Authority that must have issued the certificates of peers; required for mutual TLS."""


class LogSettings(_SettingsBase, frozen=True, kw_only=True):
    """Settings of the log."""

    level: Annotated[str, msgspec.Meta(pattern="^(debug|info|warning|error)$")] = "info"
    """Lowest level that is logged."""


class StatsdSettings(_SettingsBase, frozen=True, kw_only=True):
    """Where metrics are sent."""

    address: IpPort
    """`IP:port` of the statsd server."""

    prefix: str = "samphire"
    """Prefix of every metric's name."""


class LocalitySettings(_SettingsBase, frozen=True, kw_only=True):
    """Location of the process."""

    region: RegionName
    """Region of the host."""

    failure_domain: FailureDomainName
    """Failure domain of the host, unique in the fleet."""

    host: HostId
    """Name of the host, unique in the fleet."""


class CallerLimits(_SettingsBase, frozen=True, kw_only=True):
    """Limits on callers' requests and on the data that is buffered for them."""

    body_bytes: Bytes = 1 << 20
    """Largest body of a request, in bytes."""

    header_bytes: Bytes = 1 << 16
    """Largest head of a request, in bytes."""

    replay_buffer_bytes: Bytes = 1 << 16
    """Largest beginning of a response that is buffered before it is passed on, in bytes, so that a
    request whose response is truncated within it can be retried."""

    concurrent_requests: Annotated[int, msgspec.Meta(ge=1)] = 2_000
    """Largest number of requests in flight at one node; more are shed."""

    held_bytes: Bytes = 1 << 26
    """Largest memory that the node holds for all callers together, in bytes: their connections,
    requests sent ahead, bodies that aren't passed on, and responses that they haven't read. An
    action with a key holds its whole body: use four times the largest such body, or more."""

    connections: Annotated[int, msgspec.Meta(ge=1)] = 3_000
    """Largest number of callers' connections; beyond it, or beyond three quarters of the
    descriptors that the process may open, those that stand still or are idle are closed."""

    unread_s: Seconds = 30.0
    """Longest time for which a caller reads nothing of a response before its connection is closed,
    in seconds."""


class ManagementLimits(_SettingsBase, frozen=True, kw_only=True):
    """Limits on what is held for the clients of the ports that aren't meant for callers."""

    held_bytes: Bytes = 1 << 26
    """Largest memory that the process holds for all these clients together, in bytes. A document
    that is submitted as a whole is held until it is accepted: use four times its size, or more."""

    connections: Annotated[int, msgspec.Meta(ge=1)] = 256
    """Largest number of their connections; beyond it, those that stand still or are idle are
    closed."""

    unread_s: Seconds = 30.0
    """Longest time for which a client reads nothing of a response before its connection is closed,
    in seconds."""


NODE_MANAGEMENT_LIMITS = ManagementLimits(held_bytes=1 << 23)
"""Limits at a node, which takes short announcements only."""


class NodeSettings(_SettingsBase, frozen=True, kw_only=True):
    """Settings of `samphire-node`."""

    locality: LocalitySettings
    """Location of the node."""

    caller_listen: IpPort
    """`IP:port` for callers' HTTP."""

    link_listen: IpPort
    """`IP:port` for links of the fleet's processes."""

    link_advertised: IpPort | None = None
    """`IP:port` where other processes reach the links; null means `link_listen`."""

    local_listen: IpPort
    """`IP:port` where backend servers of this host announce themselves and the dump is read."""

    control_links: Annotated[tuple[IpPort, ...], msgspec.Meta(min_length=1)]
    """Link addresses of the control hosts."""

    report_interval_s: Seconds = 1.0
    """Time between two reports to the registry, in seconds."""

    peer_links: tuple[IpPort, ...] = ()
    """Link addresses of nodes from which this node gets its first target table, and the document
    while no control host is reachable."""

    document_wait_s: Annotated[float, msgspec.Meta(gt=0.0, le=60.0)] = 10.0
    """Longest wait for a notification of a new document before the next request, in seconds."""

    announcement_lease_s: Seconds = 5.0
    """How long a target stays listed without a renewed announcement, in seconds."""

    drain_grace_s: Seconds = 2.0
    """How long a stopping node refuses new work before it stops listening, in seconds."""

    drain_timeout_s: Seconds = 30.0
    """Longest wait for requests in flight at a planned stop, in seconds."""

    limits: CallerLimits = CallerLimits()
    """Limits on callers' requests."""

    management_limits: ManagementLimits = NODE_MANAGEMENT_LIMITS
    """Limits on what is held for clients of `local_listen` and `metrics_listen`; without this
    field, `held_bytes` is 8 MiB."""

    data_folder: str | None = None
    """Folder where the latest document is saved; null saves nothing."""

    caller_tls: TlsSettings | None = None
    """TLS identity of the callers' HTTP server; null serves plain HTTP."""

    link_tls: TlsSettings | None = None
    """TLS identity on links, for mutual TLS; null uses plain TCP, where anyone who can reach the
    port is trusted.
    """

    log: LogSettings = LogSettings()
    """Settings of the log."""

    statsd: StatsdSettings | None = None
    """Where metrics are sent; null sends none."""

    metrics_listen: IpPort | None = None
    """`IP:port` where `/metrics` serves the metrics as text; null serves none."""


class ReplicaPeer(_SettingsBase, frozen=True, kw_only=True):
    """A control host and the addresses at which others reach it."""

    replica: ReplicaId
    """Name of the control host."""

    link_address: IpPort
    """`IP:port` of its link server."""

    operator_address: IpPort | None = None
    """`IP:port` where operators reach the host, for redirects to the leader."""

    region: RegionName | None = None
    """Region of the host, for the placement of the ledger's groups; null if all hosts are in
    one region."""

    failure_domain: FailureDomainName | None = None
    """Failure domain of the host, for the placement of the ledger's groups; null if the host is
    a failure domain of its own."""


class DiscoverySettings(_SettingsBase, frozen=True, kw_only=True):
    """How control hosts find each other when the settings name only some of them."""

    seeds: Annotated[tuple[IpPort, ...], msgspec.Meta(min_length=1)]
    """Link addresses of some control hosts; at the first start, the same on all hosts."""

    first_start: bool = False
    """Whether the whole fleet starts for the first time; only then may a host with an empty folder
    take part in forming a new group."""

    voters: Annotated[int, msgspec.Meta(ge=1, le=15)] = 5
    """Number of voters that each group grows to."""


class ControlSettings(_SettingsBase, frozen=True, kw_only=True):
    """Settings of `samphire-control`."""

    locality: LocalitySettings
    """Location of the control host."""

    replica: ReplicaId
    """Name of the control host, unique among the control hosts."""

    link_listen: IpPort
    """`IP:port` for links of the fleet's processes."""

    operator_listen: IpPort
    """`IP:port` for operators' HTTP."""

    peers: tuple[ReplicaPeer, ...] = ()
    """All control hosts, including this one; empty if `discovery` finds them."""

    discovery: DiscoverySettings | None = None
    """How control hosts find each other; null uses `peers`. With it, `replica` must be the host's
    link address."""

    data_folder: str
    """Folder that keeps the replicated state; the only folder that the process writes to."""

    initial_document_file: str | None = None
    """Document with which a new, empty group of replicas starts."""

    lease_reads: bool = True
    """Whether linearizable reads may rely on the leader's lease, which requires clocks that never
    stop. Otherwise each such read takes a round of messages, and a group that restarts as a whole
    has a leader within half a second instead of two."""

    host_lease_s: Seconds = 5.0
    """How long a host stays in the registry without a report, in seconds."""

    management_limits: ManagementLimits = ManagementLimits()
    """Limits on what is held for clients of `operator_listen` and `metrics_listen`."""

    operator_tls: TlsSettings | None = None
    """TLS identity of the operators' HTTP server; null serves plain HTTP, where tokens can be
    intercepted."""

    link_tls: TlsSettings | None = None
    """TLS identity on links, for mutual TLS; null uses plain TCP, where anyone who can reach the
    port is trusted.
    """

    log: LogSettings = LogSettings()
    """Settings of the log."""

    statsd: StatsdSettings | None = None
    """Where metrics are sent; null sends none."""

    metrics_listen: IpPort | None = None
    """`IP:port` where `/metrics` serves the metrics as text; null serves none."""

    def __post_init__(self) -> None:
        """Check the fields that depend on each other."""
        if bool(self.peers) is (self.discovery is not None):
            raise ValueError("either `$.peers` or `$.discovery` is needed, and not both")
        if self.discovery is not None and self.replica != self.link_listen:
            raise ValueError("with `discovery`, `replica` must be the same as `link_listen`")
        for peer in self.peers:
            if peer.replica != self.replica:
                continue
            if peer.failure_domain not in (None, self.locality.failure_domain):
                raise ValueError(
                    "this host's failure domain in `peers` differs from the one in `locality`"
                )
            if peer.region not in (None, self.locality.region):
                raise ValueError("this host's region in `peers` differs from the one in `locality`")


def load_settings(path: Path, settings_type: type[SettingsT]) -> SettingsT:
    """Read and validate a settings file.

    Args:
        path: The JSON file.
        settings_type: The settings' type.

    Returns:
        The settings.

    Raises:
        SettingsInvalidError: The file can't be read, or a field is invalid.
    """
    try:
        return msgspec.json.decode(path.read_bytes(), type=settings_type)
    except OSError as error:
        raise SettingsInvalidError(f"{path}: {error.strerror}") from None
    except DECODE_ERRORS as error:
        raise SettingsInvalidError(f"{path}: {error}") from None


def exit_on_invalid_settings(error: SamphireError) -> NoReturn:
    """Print an error on one line and end the program with the status for invalid settings.

    Args:
        error: The error in the settings.
    """
    print(str(error).replace("\n", " "), file=sys.stderr)
    sys.exit(SETTINGS_EXIT_STATUS)
