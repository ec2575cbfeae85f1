"""Total order of the document's versions."""

import msgspec

from samphirespring.version.ids import DocumentVersion, Generation


class DocumentStamp(msgspec.Struct, frozen=True, kw_only=True, order=True, gc=False):
    """Version of a document within the group of control hosts that accepted it.

    Versions of one group come from one replicated log, so their order holds under any leader.
    A group that is initialized again after the loss of its disks has a higher generation.
    """

    generation: Generation
    version: DocumentVersion


NO_STAMP = DocumentStamp(generation=Generation(0), version=DocumentVersion(0))
"""Stamp of a process that has no document yet."""
