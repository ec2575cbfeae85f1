"""Parsing and validation of a document's text."""

import re
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

import msgspec

from samphirespring.process.errors import DECODE_ERRORS, ErrorCode, InternalError, SamphireError
from samphirespring.version.cross_reference_index import CrossReferenceIndex
from samphirespring.version.document import (
    ACCESS_SECTION,
    FLEET_SECTION,
    AccessSection,
    Document,
    FleetSection,
    TeamSection,
)
from samphirespring.version.ids import DocumentVersion, SectionName, SectionVersion
from samphirespring.version.problem_finder import find_problems
from samphirespring.version.section_set import MAX_SECTIONS, SECTION_BYTES

SECTION_NAME = re.compile(r"^[A-Za-z0-9][A-Za-z0-9_-]{0,99}$")

Section = AccessSection | FleetSection | TeamSection
"""Content of one section; the section's name determines its type."""


class DocumentInvalidError(SamphireError):
    """A document or section has invalid fields.

    Args:
        problems: Description of each problem, with its JSON path.
    """

    code = ErrorCode.DOCUMENT_INVALID

    def __init__(self, problems: tuple[str, ...]) -> None:
        super().__init__("; ".join(problems))
        self.problems = problems


def split_document(text: bytes) -> dict[SectionName, bytes]:
    """Return the texts of the sections in the JSON text of a document.

    Args:
        text: JSON object whose members are the sections.

    Raises:
        DocumentInvalidError: The text isn't a JSON object.
    """
    try:
        sections = msgspec.json.decode(text, type=dict[SectionName, msgspec.Raw])
    except DECODE_ERRORS as error:
        raise DocumentInvalidError((str(error),)) from None
    return {name: bytes(raw) for name, raw in sections.items()}


def parse_section(name: SectionName, text: bytes) -> Section:
    """Return the content of one section, validated without regard to the other sections.

    Args:
        name: The section; `access` and `fleet` have their own types, all others are team sections.
        text: Its JSON text.

    Raises:
        DocumentInvalidError: The name or the text is invalid; lists every problem.
    """
    if not SECTION_NAME.match(name):
        raise DocumentInvalidError((f"invalid section name `{name}` - at `$`",))
    if len(text) > SECTION_BYTES:
        raise DocumentInvalidError((f"more than {SECTION_BYTES} bytes - at `$.{name}`",))
    expected = _choose_type(name)
    try:
        section: Section = msgspec.json.decode(text, type=expected)
    except DECODE_ERRORS as error:
        raise DocumentInvalidError(_list_problems(name, text, expected, error)) from None
    return section


def parse_document(text: bytes, *, version: DocumentVersion) -> Document:
    """Return the document of a JSON text; each section gets the document's version.

    Args:
        text: JSON object whose members are the sections.
        version: Version to give to the document.

    Raises:
        DocumentInvalidError: The text isn't a valid document; lists every problem.
    """
    return build_document(split_document(text), version=version)


def build_document(texts: Mapping[SectionName, bytes], *, version: DocumentVersion) -> Document:
    """Return the document that consists of the given sections.

    Args:
        texts: JSON text of each section.
        version: Version to give to the document.

    Raises:
        DocumentInvalidError: The document isn't valid; lists every problem.
    """
    for document in build_document_steps(texts.items(), version=version):
        if document is not None:
            return document
    raise InternalError("the last step did not yield the document")


def build_document_steps(
    texts: Iterable[tuple[SectionName, bytes]], *, version: DocumentVersion
) -> Iterator[Document | None]:
    """Validate one section in each step; yield None after each step and the document at the end.

    Args:
        texts: Name and JSON text of each section, read one at a time.
        version: Version to give to the document.

    Raises:
        DocumentInvalidError: The document isn't valid; lists every problem.
    """
    sections: dict[SectionName, Section] = {}
    problems: list[str] = []
    count = 0
    for name, text in texts:
        count += 1
        try:
            sections[name] = parse_section(name, text)
        except DocumentInvalidError as error:
            problems.extend(error.problems)
        yield None
    if count > MAX_SECTIONS:
        problems.insert(0, f"more than {MAX_SECTIONS} sections - at `$`")
    document = _make_document(sections, version=version)
    for found in _find_conflicts_steps(document):
        problems.extend(found)
        yield None
    if problems:
        raise DocumentInvalidError(tuple(problems))
    yield document


def _make_document(
    sections: Mapping[SectionName, Section], *, version: DocumentVersion
) -> Document:
    access = sections.get(ACCESS_SECTION)
    fleet = sections.get(FLEET_SECTION)
    return Document(
        version=version,
        access=access if isinstance(access, AccessSection) else AccessSection(),
        fleet=fleet if isinstance(fleet, FleetSection) else FleetSection(),
        teams={n: s for n, s in sections.items() if isinstance(s, TeamSection)},
        section_versions={name: SectionVersion(version) for name in sections},
    )


def _find_conflicts_steps(document: Document) -> Iterator[list[str]]:
    """Yield the problems between sections that are each valid, with their JSON paths."""
    index = CrossReferenceIndex()
    for name, section in document.teams.items():
        yield index.find_duplicates(name, section)
        index.put(name, section)
    for name, section in document.teams.items():
        yield index.find_unknown_services(name, section)
    yield find_access_problems(document.access)


def find_access_problems(access: AccessSection) -> list[str]:
    """Return problems that would make a token ambiguous or leave no team that can change access.

    Args:
        access: The access section.
    """
    problems: list[str] = []
    owners: dict[str, str] = {}
    for name, team in access.teams.items():
        owner = owners.setdefault(team.token_sha256, name)
        if owner != name:
            problems.append(
                f"team {owner} has the same token - at `$.access.teams.{name}.token_sha256`"
            )
    has_owner = any(ACCESS_SECTION in team.sections for team in access.teams.values())
    if access.teams and not has_owner:
        problems.append("no team owns the section `access` - at `$.access.teams`")
    return problems


def _choose_type(name: SectionName) -> Any:
    if name == ACCESS_SECTION:
        return AccessSection
    if name == FLEET_SECTION:
        return FleetSection
    return TeamSection


def _list_problems(
    name: SectionName, text: bytes, expected: Any, error: Exception
) -> tuple[str, ...]:
    path = f"$.{name}"
    try:
        value = msgspec.json.decode(text)
    except DECODE_ERRORS as decode_error:
        return (f"{decode_error} - at `{path}`",)
    return tuple(find_problems(value, expected, path=path)) or (f"{error} - at `{path}`",)
