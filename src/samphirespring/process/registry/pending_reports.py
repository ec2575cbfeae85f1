"""Reports that wait on a node until they are sent to the registry."""

from samphirespring.connection.registry_link import HostReport
from samphirespring.process.ids import HostId


class PendingReports:
    """The newest report of each host, and the hosts whose records the registry has requested."""

    def __init__(self) -> None:
        self._reports: dict[HostId, HostReport] = {}
        self._hosts_without_record: set[HostId] = set()

    @property
    def count(self) -> int:
        """Number of hosts with a pending report."""
        return len(self._reports)

    def add(self, report: HostReport) -> bool:
        """Add a report, and return whether the host must send its record.

        Args:
            report: The report.
        """
        pending = self._reports.get(report.host)
        if pending is None or _get_order(report) > _get_order(pending) or pending.record is None:
            self._reports[report.host] = report
        if report.record is not None:
            self._hosts_without_record.discard(report.host)
        return report.host in self._hosts_without_record

    def pop_all(self) -> tuple[HostReport, ...]:
        """Remove and return all pending reports."""
        reports = tuple(self._reports.values())
        self._reports.clear()
        return reports

    def add_hosts_without_record(self, hosts: tuple[HostId, ...]) -> None:
        """Record the hosts whose records the registry lacks.

        Args:
            hosts: The hosts.
        """
        self._hosts_without_record.update(hosts)


def _get_order(report: HostReport) -> tuple[int, int]:
    return (report.incarnation, report.sequence)
