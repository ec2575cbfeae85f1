"""Opens the files of one replica, including after a crash or if they are damaged."""

from random import Random

import msgspec

from samphirespring.process.ids import MemberId, ReplicaId
from samphirespring.process.replication.entries import LOG_START, Identity
from samphirespring.process.replication.errors import LogCorruptError
from samphirespring.process.replication.storage import GroupStorage, StoredState


class QuarantinedFiles(msgspec.Struct, frozen=True, kw_only=True):
    """Damaged files that were moved away and replaced by an empty folder.

    Attributes:
        error: The damage that was found.
        kept_as: Folder that the damaged files were moved to.
    """

    error: LogCorruptError
    kept_as: str


class OpenedFiles(msgspec.Struct, frozen=True, kw_only=True):
    """Identity and state that a replica starts with.

    Attributes:
        identity: Identity of the data folder.
        stored: The state loaded from the files.
        quarantined: The damaged files, if there were any.
    """

    identity: Identity
    stored: StoredState
    quarantined: QuarantinedFiles | None = None


def open_files(
    storage: GroupStorage, *, replica: ReplicaId, random: Random, may_form: bool = True
) -> OpenedFiles:
    """Return the state on disk; for an empty or damaged folder, that of a new member.

    Args:
        storage: Access to the files.
        replica: The replica that the files belong to.
        random: Source of random numbers.
        may_form: Whether an empty folder may take part in forming a new group.

    Raises:
        DiskFailedError: The files can't be read or written.
    """
    try:
        identity = storage.read_identity()
        if identity is None:
            identity = _make_identity(replica, random, may_form=may_form)
            storage.write_identity(identity)
        stored = storage.load()
    except LogCorruptError as error:
        return _open_empty(storage, error, replica=replica, random=random)
    if identity.lineage is None and stored.log.last != LOG_START:
        storage.discard_log()
        stored = storage.load()
    return OpenedFiles(identity=identity, stored=stored)


def _open_empty(
    storage: GroupStorage, error: LogCorruptError, *, replica: ReplicaId, random: Random
) -> OpenedFiles:
    quarantined = QuarantinedFiles(error=error, kept_as=storage.quarantine())
    # A new member id: votes and acknowledgements of the old member are lost with its files.
    identity = _make_identity(replica, random, may_form=False)
    storage.write_identity(identity)
    return OpenedFiles(identity=identity, stored=storage.load(), quarantined=quarantined)


def _make_identity(replica: ReplicaId, random: Random, *, may_form: bool) -> Identity:
    member = MemberId(f"{replica}/{random.getrandbits(64):016x}")
    return Identity(member=member, may_form=may_form)
