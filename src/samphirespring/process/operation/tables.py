"""Formats the output of `samphirectl` as tables."""

from collections.abc import Iterable

from rich.markup import escape
from rich.table import Table

from samphirespring.connection.operator_messages import (
    DocumentView,
    HistoryView,
    HostView,
    InForceView,
    StatusView,
)
from samphirespring.process.document.in_force import DomainProgress
from samphirespring.process.operation.dump_tables import format_value
from samphirespring.process.operation.explanation import ExplanationStep
from samphirespring.version.document_check import DocumentReport

DIGEST_CHARACTERS = 12


def make_document_table(view: DocumentView) -> Table:
    """Return a table of the sections of a document.

    Args:
        view: The document.
    """
    table = Table("section", "version", "bytes", title=f"document version {view.version}")
    for name, section in view.sections.items():
        table.add_row(name, str(section.version), str(len(bytes(section.content))))
    return table


def make_report_table(report: DocumentReport) -> Table:
    """Return a table of what a check of a document found, and of its differences from another.

    Args:
        report: The result of the check.
    """
    table = Table("what", "where", "detail")
    for finding in report.findings:
        table.add_row(finding.kind.value, escape(finding.path), escape(finding.detail))
    for change in report.changes:
        table.add_row(change.kind.value, escape(change.entry), ", ".join(change.fields))
    return table


def make_history_table(view: HistoryView) -> Table:
    """Return a table of accepted changes.

    Args:
        view: The changes.
    """
    table = Table("version", "section", "team", "at", "change id", "sha256")
    for change in view.changes:
        digest = "deleted" if change.deleted else change.sha256[:DIGEST_CHARACTERS]
        table.add_row(
            str(change.version), change.section, change.team, change.at, change.change_id, digest
        )
    return table


def make_progress_table(view: InForceView) -> Table:
    """Return how many hosts have a version in force, by failure domain with a sum for each region.

    Args:
        view: The progress.
    """
    state = "in force everywhere" if view.complete else "not in force everywhere"
    table = Table("region", "failure domain", "in force", "behind", "hosts")
    table.title = f"version {view.version}: {state}"
    for region in dict.fromkeys(domain.region for domain in view.domains):
        domains = [domain for domain in view.domains if domain.region == region]
        for domain in domains:
            table.add_row(region, domain.failure_domain, *_format_counts(domain))
        table.add_row(region, "all", *_sum_counts(domains), style="bold", end_section=True)
    return table


def make_status_table(view: StatusView) -> Table:
    """Return a table of the replica groups and their members.

    Args:
        view: The status.
    """
    table = Table("group", "replica", "standing", "synced index", "last contact s")
    table.title = f"{view.replica}: document version {view.document_version}, {view.hosts} hosts"
    for group in view.groups:
        role = "disk failed" if group.role is None else group.role.value
        leader = group.leader or "none"
        table.add_row(
            group.group, f"{view.replica} ({role})", f"term {group.term}, leader {leader}", "", ""
        )
        for member in group.members:
            index = "" if member.match_index is None else str(member.match_index)
            contact = "" if member.contact_age_s is None else f"{member.contact_age_s:.1f}"
            table.add_row("", member.replica, member.standing.value, index, contact)
        table.add_section()
    return table


def make_host_table(hosts: Iterable[HostView]) -> Table:
    """Return a table of the hosts in the registry.

    Args:
        hosts: The hosts.
    """
    table = Table("host", "region", "failure domain", "link address", "targets")
    for host in hosts:
        table.add_row(
            host.host, host.region, host.failure_domain, host.link_address, str(len(host.targets))
        )
    return table


def make_explanation_table(request: str, steps: Iterable[ExplanationStep]) -> Table:
    """Return a table of the steps of a request.

    Args:
        request: Its id.
        steps: The steps.
    """
    table = Table("at", "process", "step", "details", title=f"request {escape(request)}")
    for step in steps:
        details = ", ".join(f"{name} {format_value(value)}" for name, value in step.details.items())
        at = step.at.time().isoformat(timespec="milliseconds")
        table.add_row(at, step.process, step.step, escape(details))
    return table


def _format_counts(domain: DomainProgress) -> tuple[str, str, str]:
    return str(domain.in_force), str(domain.behind), str(domain.hosts)


def _sum_counts(domains: Iterable[DomainProgress]) -> tuple[str, str, str]:
    rows = [(domain.in_force, domain.behind, domain.hosts) for domain in domains]
    in_force, behind, hosts = (sum(column) for column in zip(*rows, strict=True))
    return str(in_force), str(behind), str(hosts)
