"""Hint from another process that a version of the document exists."""

import msgspec

from samphirespring.version.stamp import DocumentStamp


class VersionHint(msgspec.Struct, frozen=True, order=True):
    """Says that a version exists; hints are ordered by version.

    Attributes:
        stamp: The version.
        address: Link address of the control host that has it; empty if a peer reported it.
    """

    stamp: DocumentStamp
    address: str = ""
