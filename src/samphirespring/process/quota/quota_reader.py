"""Reads the quotas from the sections of the document, without the rest of them."""

from collections.abc import Iterator

import msgspec

from samphirespring.version.document import RateLimit
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
                self._quotas[name] = _read_section(section)
                yield
            self._sections[name] = section

    def list_quotas(self) -> dict[WorkspaceId, RateLimit]:
        """Return all quotas by workspace."""
        found: dict[WorkspaceId, RateLimit] = {}
        for quotas in self._quotas.values():
            found.update(quotas)
        return found


def _read_section(section: StoredSection) -> dict[WorkspaceId, RateLimit]:
    decoded = msgspec.json.decode(section.read_text(), type=_SectionQuotas)
    return {
        workspace: policy.quota
        for workspace, policy in decoded.workspaces.items()
        if policy.quota is not None
    }
