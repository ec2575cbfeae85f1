"""Reads the quotas from the sections of the document, without the rest of them."""

from collections.abc import Iterator

import msgspec

from samphirespring.process.quota.terms import QuotaTerms, make_terms
from samphirespring.version.document import FLEET_SECTION, FleetSection, RateLimit
from samphirespring.version.ids import SectionName, WorkspaceId
from samphirespring.version.section_set import SectionSet, StoredSection


class _WorkspaceQuota(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    quota: RateLimit | None = None


class _SectionQuotas(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """The part of a section that holds quotas; sections of other kinds have no such field."""

    workspaces: dict[WorkspaceId, _WorkspaceQuota] = {}


class QuotaReader:
    """Keeps the quotas of each section, and reads only the sections that changed."""

    def __init__(self) -> None:
        self._sections: dict[SectionName, StoredSection] = {}
        self._quotas: dict[SectionName, dict[WorkspaceId, RateLimit]] = {}
        self._fleet = FleetSection()

    def read_steps(self, sections: SectionSet) -> Iterator[None]:
        """Read the quotas in steps of one section each.

        Args:
            sections: The committed sections.
        """
        for name in self._sections.keys() - sections.sections.keys():
            del self._sections[name], self._quotas[name]
        for name, section in sections.sections.items():
            known = self._sections.get(name)
            if known is None or known.digest != section.digest:
                self._read_section(name, section)
                yield
            self._sections[name] = section

    def list_terms(self) -> dict[WorkspaceId, QuotaTerms]:
        """Return the terms of all quotas by workspace."""
        return {
            workspace: make_terms(quota, self._fleet)
            for quotas in self._quotas.values()
            for workspace, quota in quotas.items()
        }

    def _read_section(self, name: SectionName, section: StoredSection) -> None:
        text = section.read_text()
        if name == FLEET_SECTION:
            self._fleet = msgspec.json.decode(text, type=FleetSection)
        decoded = msgspec.json.decode(text, type=_SectionQuotas)
        self._quotas[name] = {
            workspace: policy.quota
            for workspace, policy in decoded.workspaces.items()
            if policy.quota is not None
        }
