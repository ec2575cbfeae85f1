"""Settings of the processes: checked JSON files."""

import sys
from pathlib import Path
from typing import Annotated, NoReturn, TypeVar

import msgspec

from samphirespring.process.errors import ErrorCode, SamphireError
from samphirespring.process.ids import FailureDomainName, HostId, RegionName, ReplicaId

SETTINGS_EXIT_STATUS = 2
"""Exit status of a program whose settings are invalid."""

ListenAddress = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")]
"""`IP:port`."""

Bytes = Annotated[int, msgspec.Meta(ge=1, le=1 << 30)]
Seconds = Annotated[float, msgspec.Meta(gt=0.0, le=86_400.0)]

SettingsT = TypeVar("SettingsT", bound=msgspec.Struct)


class SettingsInvalidError(SamphireError):
    """A settings file can't be read or has an invalid field."""

    code = ErrorCode.SETTINGS_INVALID


class _Part(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of all parts of the settings: unknown fields are errors."""


class TlsSettings(_Part, frozen=True, kw_only=True):
    """Files of one TLS identity, in PEM format."""

    certificate_file: str
    """Certificate, with the chain up to the authority."""

    key_file: str
    """Private key of the certificate."""

    authority_file: str | None = None
    """Authority that peers' certificates must come from; required for mutual TLS."""


class LogSettings(_Part, frozen=True, kw_only=True):
    """What is logged."""

    level: Annotated[str, msgspec.Meta(pattern="^(debug|info|warning|error)$")] = "info"
    """Lowest level that is written."""


class StatsdSettings(_Part, frozen=True, kw_only=True):
    """Where metrics are sent to."""

    address: ListenAddress
    """`IP:port` of the statsd server."""

    prefix: str = "samphire"
    """First part of every metric's name."""


class LocalitySettings(_Part, frozen=True, kw_only=True):
    """Where the process stands."""

    region: RegionName
    """Region of the host."""

    failure_domain: FailureDomainName
    """Failure domain of the host, unique in the fleet."""

    host: HostId
    """Name of the host, unique in the fleet."""


class CallerLimits(_Part, frozen=True, kw_only=True):
    """Bounds on callers' requests and on what is buffered for them."""

    body_bytes: Bytes = 1 << 20
    """Largest body of a request, in bytes."""

    header_bytes: Bytes = 1 << 16
    """Largest head of a request, in bytes."""

    replay_buffer_bytes: Bytes = 1 << 16
    """Part of an answer that is held back, so that a cut one can be retried."""

    concurrent_requests: Annotated[int, msgspec.Meta(ge=1)] = 2_000
    """Requests in flight at one node; more are shed."""


class NodeSettings(_Part, frozen=True, kw_only=True):
    """Settings of `samphire-node`."""

    locality: LocalitySettings
    """Where the node stands."""

    caller_listen: ListenAddress
    """`IP:port` for callers' HTTP."""

    link_listen: ListenAddress
    """`IP:port` for links of the fleet's processes."""

    link_advertised: ListenAddress | None = None
    """`IP:port` where other processes reach the links; null takes `link_listen`."""

    local_listen: ListenAddress
    """Where backend servers of this host announce themselves, and where the dump is read."""

    control_links: Annotated[tuple[ListenAddress, ...], msgspec.Meta(min_length=1)]
    """Link addresses of the control hosts."""

    report_interval_s: Seconds = 1.0
    """Time between two reports to the registry, in seconds."""

    peer_links: tuple[ListenAddress, ...] = ()
    """Link addresses of nodes that give this one its first target table, and the document while
    control is away."""

    document_wait_s: Annotated[float, msgspec.Meta(gt=0.0, le=60.0)] = 10.0
    """Longest wait for a notice of a new document before asking again, in seconds."""

    announcement_lease_s: Seconds = 5.0
    """How long a target stays without a renewed announcement, in seconds."""

    drain_grace_s: Seconds = 2.0
    """How long a stopping node refuses new work before it stops to listen, in seconds."""

    drain_timeout_s: Seconds = 30.0
    """Longest wait for requests in flight at a planned stop, in seconds."""

    limits: CallerLimits = CallerLimits()
    """Bounds on callers' requests."""

    data_folder: str | None = None
    """Folder that keeps the last document; null keeps nothing."""

    caller_tls: TlsSettings | None = None
    """Identity towards callers; null serves plain HTTP."""

    link_tls: TlsSettings | None = None
    """Identity on links, for mutual TLS; null uses plain TCP, where whoever reaches the port is
    trusted.
    """

    log: LogSettings = LogSettings()
    """What is logged."""

    statsd: StatsdSettings | None = None
    """Where metrics go; null sends none."""

    metrics_listen: ListenAddress | None = None
    """`IP:port` where `/metrics` gives the metrics as text; null serves none."""


class ReplicaPeer(_Part, frozen=True, kw_only=True):
    """One control host as its peers reach it."""

    replica: ReplicaId
    """Name of the control host."""

    link_address: ListenAddress
    """`IP:port` of its link server."""

    operator_address: ListenAddress | None = None
    """Where operators reach the host, for redirects to the leader."""

    region: RegionName | None = None
    """Region of the host, which places the ledger's groups; null for one region for all."""

    failure_domain: FailureDomainName | None = None
    """Failure domain of the host, which places the ledger's groups; null for one of its own."""


class DiscoverySettings(_Part, frozen=True, kw_only=True):
    """How control hosts find each other where the settings name only some of them."""

    seeds: Annotated[tuple[ListenAddress, ...], msgspec.Meta(min_length=1)]
    """Link addresses of some control hosts, the same on all hosts at the first start."""

    first_start: bool = False
    """Whether the whole fleet starts for the first time; only then an empty folder may be part of
    a new group."""

    voters: Annotated[int, msgspec.Meta(ge=1, le=15)] = 5
    """Voters that each group grows to."""


class ControlSettings(_Part, frozen=True, kw_only=True):
    """Settings of `samphire-control`."""

    locality: LocalitySettings
    """Where the control host stands."""

    replica: ReplicaId
    """Name of the control host, unique among them."""

    link_listen: ListenAddress
    """`IP:port` for links of the fleet's processes."""

    operator_listen: ListenAddress
    """`IP:port` for operators' HTTP."""

    peers: tuple[ReplicaPeer, ...] = ()
    """All control hosts, this one included; empty where `discovery` finds them."""

    discovery: DiscoverySettings | None = None
    """How control hosts find each other; null takes `peers`. With it, `replica` must be the host's
    link address."""

    data_folder: str
    """Folder that keeps the replicated state; the only one that is written."""

    initial_document_file: str | None = None
    """Document that a new, empty group of replicas starts with."""

    lease_reads: bool = True
    """Whether answers that must be the newest may rely on a leader's lease, which needs clocks that
    never stop. Without it each takes a round of messages, and a group that starts again as a whole
    has a leader within half a second instead of two."""

    host_lease_s: Seconds = 5.0
    """How long a host stays in the registry without a report, in seconds."""

    operator_tls: TlsSettings | None = None
    """Identity towards operators; null serves plain HTTP, where tokens can be read on the way."""

    link_tls: TlsSettings | None = None
    """Identity on links, for mutual TLS; null uses plain TCP, where whoever reaches the port is
    trusted.
    """

    log: LogSettings = LogSettings()
    """What is logged."""

    statsd: StatsdSettings | None = None
    """Where metrics go; null sends none."""

    metrics_listen: ListenAddress | None = None
    """`IP:port` where `/metrics` gives the metrics as text; null serves none."""

    def __post_init__(self) -> None:
        """Compare the fields that depend on each other."""
        if bool(self.peers) is (self.discovery is not None):
            raise ValueError("either `$.peers` or `$.discovery` is needed, and not both")
        if self.discovery is not None and self.replica != self.link_listen:
            raise ValueError("with `discovery`, `replica` must be the same as `link_listen`")
        for peer in self.peers:
            if peer.replica != self.replica:
                continue
            if peer.failure_domain not in (None, self.locality.failure_domain):
                raise ValueError("the own failure domain differs from the one in `locality`")
            if peer.region not in (None, self.locality.region):
                raise ValueError("the own region differs from the one in `locality`")


def load_settings(path: Path, settings_type: type[SettingsT]) -> SettingsT:
    """Read and check a settings file.

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
    except msgspec.MsgspecError as error:
        raise SettingsInvalidError(f"{path}: {error}") from None
    except UnicodeDecodeError as error:
        raise SettingsInvalidError(f"{path}: {error}") from None


def exit_on_invalid_settings(error: SamphireError) -> NoReturn:
    """Print an error on one line and end the program with the status for invalid settings.

    Args:
        error: What is wrong with the settings.
    """
    print(str(error).replace("\n", " "), file=sys.stderr)
    sys.exit(SETTINGS_EXIT_STATUS)
