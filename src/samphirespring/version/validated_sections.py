"""Validated content of all sections, updated one section at a time."""

from collections.abc import Iterable, Iterator, Mapping

from samphirespring.version.cross_reference_index import CrossReferenceIndex
from samphirespring.version.document import (
    ACCESS_SECTION,
    FLEET_SECTION,
    AccessSection,
    FleetSection,
    TeamSection,
)
from samphirespring.version.ids import DocumentVersion, SectionName
from samphirespring.version.parser import (
    DocumentInvalidError,
    Section,
    build_document_steps,
    find_access_problems,
    parse_section,
)
from samphirespring.version.section_set import MAX_SECTIONS

REQUIRED_SECTIONS = frozenset({ACCESS_SECTION, FLEET_SECTION})
"""Sections that can be changed but not deleted."""


class ValidatedSections:
    """All sections of a valid document; an invalidating change is rejected as a whole."""

    def __init__(self) -> None:
        self.access = AccessSection()
        self.fleet = FleetSection()
        self._index = CrossReferenceIndex()
        self._names: set[SectionName] = set()

    def put(self, name: SectionName, text: bytes) -> Section:
        """Add or replace a section.

        Args:
            name: The section.
            text: Its JSON text.

        Returns:
            The decoded content of the section.

        Raises:
            DocumentInvalidError: The document would be invalid with this change; nothing changed.
        """
        section = parse_section(name, text)
        problems = self._find_problems(name, section)
        if problems:
            raise DocumentInvalidError(tuple(problems))
        self._store_section(name, section)
        return section

    def remove(self, name: SectionName) -> None:
        """Remove a section.

        Args:
            name: The section.

        Raises:
            DocumentInvalidError: The document would be invalid with this change; nothing changed.
        """
        if name in REQUIRED_SECTIONS:
            raise DocumentInvalidError((f"the section can't be deleted - at `$.{name}`",))
        problems = self._index.find_dangling_routes(name, None)
        if problems:
            raise DocumentInvalidError(tuple(problems))
        self._index.remove(name)
        self._names.discard(name)

    def replace_all(self, texts: Mapping[SectionName, bytes]) -> None:
        """Replace all sections.

        Args:
            texts: JSON text of each section.

        Raises:
            DocumentInvalidError: The document would be invalid; nothing changed.
        """
        for _ in self.replace_all_steps(texts.items()):
            pass

    def replace_all_steps(self, texts: Iterable[tuple[SectionName, bytes]]) -> Iterator[None]:
        """Replace all sections in steps that each validate one section; the last one applies them.

        Args:
            texts: Name and JSON text of each section, read one at a time.

        Raises:
            DocumentInvalidError: The document would be invalid; nothing changed.
        """
        for document in build_document_steps(texts, version=DocumentVersion(0)):
            if document is None:
                yield
                continue
            index = CrossReferenceIndex()
            for name, section in document.teams.items():
                index.put(name, section)
                yield
            self.access = document.access
            self.fleet = document.fleet
            self._names = set(document.section_versions)
            self._index = index

    def _find_problems(self, name: SectionName, section: Section) -> list[str]:
        problems: list[str] = []
        if isinstance(section, AccessSection):
            problems.extend(find_access_problems(section))
        if isinstance(section, TeamSection):
            problems.extend(self._index.find_duplicates(name, section))
            problems.extend(self._index.find_unknown_services(name, section))
            problems.extend(self._index.find_dangling_routes(name, section))
        if len(self._names | {name}) > MAX_SECTIONS:
            problems.append(f"more than {MAX_SECTIONS} sections - at `$`")
        return problems

    def _store_section(self, name: SectionName, section: Section) -> None:
        self._names.add(name)
        if isinstance(section, AccessSection):
            self.access = section
        elif isinstance(section, FleetSection):
            self.fleet = section
        else:
            self._index.put(name, section)
