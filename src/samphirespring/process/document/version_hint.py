"""Hint from another process that a version of the document exists."""

from dataclasses import dataclass

from samphirespring.version.stamp import DocumentStamp


@dataclass(frozen=True, slots=True, order=True)
class VersionHint:
    """Says that a version exists; hints are ordered by version.

    Attributes:
        stamp: The version.
        address: Link address of the control host that has it; empty if a peer reported it.
    """

    stamp: DocumentStamp
    address: str = ""
