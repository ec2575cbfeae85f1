"""Counts the hosts that have each version of the document in force."""

from collections.abc import Iterable

import msgspec

from samphirespring.process.ids import FailureDomainName, HostId, RegionName
from samphirespring.version.stamp import DocumentStamp

REPORT_LEASE_S = 30.0
"""Time after which a report that isn't renewed is dropped, in seconds."""


class VersionCount(msgspec.Struct, frozen=True, kw_only=True, gc=False, array_like=True):
    """Hosts that have one version in force."""

    stamp: DocumentStamp
    hosts: int


class InForceReport(msgspec.Struct, frozen=True, kw_only=True):
    """Versions in force on a host and on the hosts below it in the relay tree."""

    region: RegionName
    failure_domain: FailureDomainName
    host: HostId
    counts: tuple[VersionCount, ...]
    """Empty once the host reports to another source."""


class _Entry(msgspec.Struct, frozen=True, kw_only=True):
    report: InForceReport
    expires_s: float


class InForceTally:
    """The last report of each host directly below in the relay tree, until its lease ends.

    Args:
        lease_s: Time after which a report is dropped, in seconds.
    """

    def __init__(self, *, lease_s: float = REPORT_LEASE_S) -> None:
        self._lease_s = lease_s
        self._entries: dict[HostId, _Entry] = {}

    def record(self, report: InForceReport, *, now_s: float) -> None:
        """Replace a host's report; an empty one is dropped.

        Args:
            report: The report.
            now_s: Monotonic time, in seconds.
        """
        if report.counts:
            self._entries[report.host] = _Entry(report=report, expires_s=now_s + self._lease_s)
        else:
            self._entries.pop(report.host, None)

    def expire(self, *, now_s: float) -> None:
        """Drop the reports whose lease has ended.

        Args:
            now_s: Monotonic time, in seconds.
        """
        for host, entry in tuple(self._entries.items()):
            if entry.expires_s <= now_s:
                del self._entries[host]

    def read_reports(self) -> tuple[InForceReport, ...]:
        """Return the current reports."""
        return tuple(entry.report for entry in self._entries.values())


def sum_counts(counts: Iterable[VersionCount]) -> tuple[VersionCount, ...]:
    """Return one count per version, oldest version first.

    Args:
        counts: Counts; a version may occur several times.
    """
    totals: dict[DocumentStamp, int] = {}
    for count in counts:
        totals[count.stamp] = totals.get(count.stamp, 0) + count.hosts
    return tuple(VersionCount(stamp=stamp, hosts=totals[stamp]) for stamp in sorted(totals))


class DomainProgress(msgspec.Struct, frozen=True, kw_only=True):
    """How many hosts of a failure domain have a version in force."""

    region: RegionName
    failure_domain: FailureDomainName
    hosts: int
    """Hosts with a lease in the registry."""

    in_force: int
    """Hosts that reported this version or a higher one."""

    behind: int
    """Hosts that reported a lower version."""

    @property
    def complete(self) -> bool:
        """Whether the version is in force on every registered host."""
        return self.behind == 0 and self.in_force >= self.hosts


class HostLocation(msgspec.Struct, frozen=True, kw_only=True):
    """Region and failure domain of a registered host."""

    region: RegionName
    failure_domain: FailureDomainName
    host: HostId


def summarize_progress(
    stamp: DocumentStamp, hosts: Iterable[HostLocation], reports: Iterable[InForceReport]
) -> tuple[DomainProgress, ...]:
    """Return the progress of a version by region and failure domain.

    Args:
        stamp: The version.
        hosts: Hosts with a lease in the registry.
        reports: Reports of the relays.
    """
    totals: dict[FailureDomainName, list[int]] = {}
    regions: dict[FailureDomainName, RegionName] = {}
    for location in hosts:
        regions[location.failure_domain] = location.region
        totals.setdefault(location.failure_domain, [0, 0, 0])[0] += 1
    for report in reports:
        regions.setdefault(report.failure_domain, report.region)
        total = totals.setdefault(report.failure_domain, [0, 0, 0])
        for count in report.counts:
            total[1 if count.stamp >= stamp else 2] += count.hosts
    return tuple(
        DomainProgress(
            region=regions[domain],
            failure_domain=domain,
            hosts=totals[domain][0],
            in_force=totals[domain][1],
            behind=totals[domain][2],
        )
        for domain in sorted(totals, key=lambda name: (regions[name], name))
    )
