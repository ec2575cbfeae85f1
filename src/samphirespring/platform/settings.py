"""Settings rendered from the templates under `deploy/`, converted to the programs' settings."""

import os
from pathlib import Path

import msgspec

from samphirespring.platform.units import parse_seconds
from samphirespring.process.addresses import parse_address
from samphirespring.process.ids import FailureDomainName, HostId, RegionName, ReplicaId
from samphirespring.process.settings import (
    CallerLimits,
    ControlSettings,
    DiscoverySettings,
    LocalitySettings,
    NodeSettings,
    load_settings,
)
from samphirespring.process.settings_watch import SeedReader, WatchedFile
from samphirespring.version.ids import ServiceName

SETTINGS_VARIABLE = "SAMPHIRESPRING_CONFIG"
"""Environment variable that names the settings file."""

MAX_BODY_BYTES = 64 << 20
"""Largest body of a request, in bytes; the configuration sets the same limit."""

HELD_SHARE = 0.25
"""Share of the process's memory that is held for callers; the rest is for the process itself and
for attempts at the target of its host."""

BYTES_PER_MB = 1_000_000

MAX_ACCEPTING_S = 2.6
"""Longest time for which a stopping node accepts connections, in seconds.

Callers leave a node after two failed readiness checks, which are a second apart. A connection that
was just accepted may still send a request; all requests are to come within 3 s, because callers
expect later ones to be complete when the node ends, however long they take.
"""

MAX_ACCEPTING_SHARE = 0.45
"""Largest share of the time from SIGTERM to SIGKILL in which requests are accepted."""

EXIT_TIME_S = 0.2
"""Time before SIGKILL that the process keeps for its own end, in seconds."""

DOCUMENT_WAIT_S = 10.0
REPORT_INTERVAL_S = 1.0


class PlatformSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings common to all programs; fields that are added later are ignored."""

    host: HostId
    failure_domain: FailureDomainName
    region: RegionName
    address: str
    """IP address of the host."""

    link_port: int
    """Port for links between the fleet's processes, the same on all hosts."""

    metrics_port: int
    """Port on which metrics are served."""

    seeds: tuple[str, ...]
    """`IP:port` of the operator API of some control hosts."""

    bounds: dict[str, str | float | bool] = {}
    """Limits of the deployment by name; durations are strings with a unit."""

    @property
    def link_address(self) -> str:
        """`IP:port` for links to this process."""
        return f"{self.address}:{self.link_port}"

    @property
    def metrics_address(self) -> str:
        """`IP:port` of the metrics."""
        return f"{self.address}:{self.metrics_port}"

    @property
    def seed_links(self) -> tuple[str, ...]:
        """Link addresses of the seeds: all hosts use the same link port."""
        return tuple(sorted(f"{parse_address(seed).host}:{self.link_port}" for seed in self.seeds))

    @property
    def locality(self) -> LocalitySettings:
        """Region, failure domain and host of the process."""
        return LocalitySettings(
            region=self.region, failure_domain=self.failure_domain, host=self.host
        )

    def read_termination_grace_s(self) -> float:
        """Return the time between SIGTERM and SIGKILL, in seconds."""
        return parse_seconds(str(self.bounds.get("grace", "6s")))


class PlatformNodeSettings(PlatformSettings, frozen=True, kw_only=True):
    """Settings of a node."""

    caller_listen: str
    announcement_listen: str
    readiness_listen: str
    target_address: str
    """`IP:port` of the target on this host."""

    service: ServiceName
    """Service of that target, which sends the requests of this host."""

    memory_mb: float | None = None
    """Memory that the process may use, in megabytes; null if the platform states none."""

    @property
    def caller_limits(self) -> CallerLimits:
        """Limits on callers' requests."""
        if self.memory_mb is None:
            return CallerLimits(body_bytes=MAX_BODY_BYTES)
        held_bytes = int(self.memory_mb * BYTES_PER_MB * HELD_SHARE)
        return CallerLimits(body_bytes=MAX_BODY_BYTES, held_bytes=held_bytes)

    def make_node_settings(self) -> NodeSettings:
        """Return the settings of the node program."""
        grace_s = self.read_termination_grace_s()
        accepting_s = min(MAX_ACCEPTING_S, grace_s * MAX_ACCEPTING_SHARE)
        return NodeSettings(
            locality=self.locality,
            caller_listen=self.caller_listen,
            link_listen=self.link_address,
            local_listen=self.announcement_listen,
            control_links=self.seed_links,
            report_interval_s=REPORT_INTERVAL_S,
            document_wait_s=DOCUMENT_WAIT_S,
            metrics_listen=self.metrics_address,
            drain_grace_s=accepting_s,
            drain_timeout_s=max(EXIT_TIME_S, grace_s - accepting_s - EXIT_TIME_S),
            limits=self.caller_limits,
        )


class PlatformControlSettings(PlatformSettings, frozen=True, kw_only=True):
    """Settings of a control host."""

    operator_listen: str
    data_folder: str
    first_start: bool
    contracts: tuple[str, ...] = ()
    """Parts of the platform's rules that are in force."""

    tolerated_losses: int = 2
    """Control hosts that may be lost at the same time."""

    @property
    def operator_port(self) -> int:
        """Port of the operator API, the same on all control hosts."""
        return parse_address(self.operator_listen).port

    def make_control_settings(self) -> ControlSettings:
        """Return the settings of the control program."""
        return ControlSettings(
            locality=self.locality,
            replica=ReplicaId(self.link_address),
            link_listen=self.link_address,
            operator_listen=self.operator_listen,
            metrics_listen=self.metrics_address,
            discovery=DiscoverySettings(
                seeds=self.seed_links,
                first_start=self.first_start,
                voters=2 * self.tolerated_losses + 1,
            ),
            data_folder=self.data_folder,
            lease_reads=False,
        )


class PlatformSeedReader(SeedReader):
    """Reads the seeds from a rendered settings file."""

    def read_seeds(self, path: Path) -> tuple[str, ...]:
        """Return the link addresses of the control hosts that the file names."""
        return load_settings(path, PlatformSettings).seed_links


def watch_settings_file() -> WatchedFile:
    """Return the settings file of this process, to be watched for changes."""
    return WatchedFile(path=find_settings_file(), reader=PlatformSeedReader())


def find_settings_file() -> Path:
    """Return the path of the settings file from the environment variable."""
    return Path(os.environ.get(SETTINGS_VARIABLE, ""))
