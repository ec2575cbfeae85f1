"""Sections of one version of the document as stored and sent, and deltas between versions."""

import hashlib
import zlib
from collections.abc import Iterator, Mapping

import msgspec

from samphirespring.process.errors import ErrorCode, InternalError, SamphireError
from samphirespring.version.ids import (
    DocumentVersion,
    Generation,
    SectionName,
    SectionVersion,
)
from samphirespring.version.stamp import NO_STAMP, DocumentStamp

SECTION_BYTES = 1 << 20
"""Largest text of one section, in bytes; bounds the duration of one decoding step."""

MAX_SECTIONS = 2_000
MAX_TOMBSTONES = 1_000
"""Removed sections kept for deltas; readers at a version before them get the whole document."""


class DeltaInvalidError(SamphireError):
    """A delta doesn't apply to the current version, or its digests don't match its texts."""

    code = ErrorCode.DELTA_INVALID


class StoredSection(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """One section as compressed JSON text with its digest."""

    name: SectionName
    version: SectionVersion
    data: bytes
    """JSON text, compressed with zlib."""

    digest: bytes
    """SHA-256 of the JSON text."""

    def read_text(self) -> bytes:
        """Return the JSON text.

        Raises:
            DeltaInvalidError: The data can't be decompressed, or doesn't match the digest.
        """
        decompressor = zlib.decompressobj()
        try:
            text = decompressor.decompress(self.data, SECTION_BYTES)
        except zlib.error as error:
            raise DeltaInvalidError(f"section {self.name}: {error}") from None
        if hashlib.sha256(text).digest() != self.digest:
            raise DeltaInvalidError(f"section {self.name}: the digest doesn't match the text")
        return text


class Tombstone(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Record of a removed section."""

    name: SectionName
    version: SectionVersion
    """Version of the document that removed it."""


class DocumentDelta(msgspec.Struct, frozen=True, kw_only=True):
    """Changes that turn one version of the document into a later one."""

    since: DocumentStamp
    stamp: DocumentStamp
    complete: bool
    """Whether `sections` is the whole document instead of the changes since `since`."""

    sections: tuple[StoredSection, ...]
    removed: tuple[Tombstone, ...]
    digest: bytes
    """SHA-256 over the names, versions and digests of all sections at `stamp`."""


class SectionSet(msgspec.Struct, frozen=True, kw_only=True):
    """All sections of one version; a change creates a new set that shares unchanged sections."""

    stamp: DocumentStamp = NO_STAMP
    sections: Mapping[SectionName, StoredSection] = {}
    tombstones: tuple[Tombstone, ...] = ()
    """Removed sections, in the order of their removal."""

    floor: DocumentVersion = DocumentVersion(0)
    """Oldest version from which a delta can start."""

    def replace_section(self, name: SectionName, text: bytes) -> "SectionSet":
        """Return the next version, with one section replaced or added.

        Args:
            name: The section.
            text: Its JSON text.
        """
        version = DocumentVersion(self.stamp.version + 1)
        section = store_section(name, text, version=SectionVersion(version))
        return SectionSet(
            stamp=msgspec.structs.replace(self.stamp, version=version),
            sections={**self.sections, name: section},
            tombstones=tuple(entry for entry in self.tombstones if entry.name != name),
            floor=self.floor,
        )

    def replace_all(
        self, texts: Mapping[SectionName, bytes], *, generation: Generation
    ) -> "SectionSet":
        """Return the next version, with exactly the given sections.

        A section with unchanged text keeps its version.

        Args:
            texts: JSON text of each section.
            generation: Generation for a set that has no stamp yet.
        """
        stamp = self.stamp
        if stamp == NO_STAMP:
            stamp = msgspec.structs.replace(stamp, generation=generation)
        version = DocumentVersion(stamp.version + 1)
        sections: dict[SectionName, StoredSection] = {}
        for name, text in texts.items():
            current = self.sections.get(name)
            if current is not None and current.digest == hashlib.sha256(text).digest():
                sections[name] = current
            else:
                sections[name] = store_section(name, text, version=SectionVersion(version))
        removed = [name for name in self.sections if name not in sections]
        added = tuple(Tombstone(name=name, version=SectionVersion(version)) for name in removed)
        kept = tuple(entry for entry in self.tombstones if entry.name not in sections)
        tombstones = (*kept, *added)
        evicted = tombstones[:-MAX_TOMBSTONES]
        floor = self.floor if self.stamp != NO_STAMP else version
        return SectionSet(
            stamp=msgspec.structs.replace(stamp, version=version),
            sections=sections,
            tombstones=tombstones[-MAX_TOMBSTONES:],
            floor=DocumentVersion(evicted[-1].version) if evicted else floor,
        )

    def remove_section(self, name: SectionName) -> "SectionSet":
        """Return the next version, without one section.

        Args:
            name: The section.
        """
        version = DocumentVersion(self.stamp.version + 1)
        tombstones = (*self.tombstones, Tombstone(name=name, version=SectionVersion(version)))
        evicted = tombstones[:-MAX_TOMBSTONES]
        return SectionSet(
            stamp=msgspec.structs.replace(self.stamp, version=version),
            sections={key: value for key, value in self.sections.items() if key != name},
            tombstones=tombstones[-MAX_TOMBSTONES:],
            floor=DocumentVersion(evicted[-1].version) if evicted else self.floor,
        )

    def make_delta(self, since: DocumentStamp) -> DocumentDelta:
        """Return the delta that turns an older version into this one.

        Args:
            since: The version that the reader has.
        """
        complete = since.generation != self.stamp.generation or since.version < self.floor
        base = DocumentVersion(0) if complete else since.version
        return DocumentDelta(
            since=since,
            stamp=self.stamp,
            complete=complete,
            sections=tuple(s for s in self.sections.values() if s.version > base),
            removed=() if complete else tuple(t for t in self.tombstones if t.version > base),
            digest=compute_digest(self.sections),
        )

    def apply_delta(self, delta: DocumentDelta) -> "SectionSet":
        """Return the version that a delta produces, or this one if the delta is not newer.

        Args:
            delta: The delta.

        Raises:
            DeltaInvalidError: The delta starts after this version, or a digest doesn't match.
        """
        for applied in self.apply_delta_steps(delta):
            if applied is not None:
                return applied
        raise InternalError("the last step did not yield the version")

    def apply_delta_steps(self, delta: DocumentDelta) -> Iterator["SectionSet | None"]:
        """Check one section in each step; yield None after each step and the version at the end.

        The first delta of a node holds all sections, and checking them in one step would take long.

        Args:
            delta: The delta.

        Raises:
            DeltaInvalidError: The delta starts after this version, or a digest doesn't match.
        """
        if delta.stamp <= self.stamp:
            yield self
            return
        if delta.complete:
            sections: dict[SectionName, StoredSection] = {}
            tombstones: tuple[Tombstone, ...] = ()
            floor = delta.stamp.version
        else:
            self._check_start(delta)
            sections = dict(self.sections)
            tombstones = tuple(t for t in self.tombstones if t not in delta.removed)
            tombstones = (*tombstones, *delta.removed)[-MAX_TOMBSTONES:]
            floor = self.floor if len(tombstones) < MAX_TOMBSTONES else delta.stamp.version
        for tombstone in delta.removed:
            sections.pop(tombstone.name, None)
        for section in delta.sections:
            section.read_text()
            sections[section.name] = section
            yield None
        if compute_digest(sections) != delta.digest:
            raise DeltaInvalidError(
                f"version {delta.stamp.version}: the digest of the document doesn't match"
            )
        yield SectionSet(
            stamp=delta.stamp,
            sections=sections,
            tombstones=tuple(t for t in tombstones if t.name not in sections),
            floor=floor,
        )

    def _check_start(self, delta: DocumentDelta) -> None:
        same_generation = delta.since.generation == delta.stamp.generation == self.stamp.generation
        if not same_generation or delta.since.version > self.stamp.version:
            raise DeltaInvalidError(
                f"the delta starts at version {delta.since.version},"
                f" current is {self.stamp.version}"
            )


def store_section(name: SectionName, text: bytes, *, version: SectionVersion) -> StoredSection:
    """Return a section in its stored form.

    Args:
        name: The section.
        text: Its JSON text.
        version: Version of the document that introduces this text.
    """
    return StoredSection(
        name=name,
        version=version,
        data=zlib.compress(text),
        digest=hashlib.sha256(text).digest(),
    )


def compute_digest(sections: Mapping[SectionName, StoredSection]) -> bytes:
    """Return the digest of a whole document.

    Args:
        sections: All sections.
    """
    digest = hashlib.sha256()
    for name in sorted(sections):
        section = sections[name]
        digest.update(f"{len(name)}:{name}:{section.version}:".encode())
        digest.update(section.digest)
    return digest.digest()
