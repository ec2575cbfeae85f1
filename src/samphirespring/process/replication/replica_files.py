"""Opens the files of one replica, whatever a crash or damage left behind."""

from dataclasses import dataclass
from random import Random

from samphirespring.process.ids import MemberId, ReplicaId
from samphirespring.process.replication.entries import LOG_START, Identity
from samphirespring.process.replication.errors import LogCorruptError
from samphirespring.process.replication.storage import GroupStorage, StoredState


@dataclass(frozen=True, slots=True, kw_only=True)
class QuarantinedFiles:
    """Damaged files that were replaced by an empty folder.

    Attributes:
        error: What was damaged.
        kept_as: Folder that holds them now.
    """

    error: LogCorruptError
    kept_as: str


@dataclass(frozen=True, slots=True, kw_only=True)
class OpenedFiles:
    """What a replica starts from.

    Attributes:
        identity: What the files belong to.
        stored: Their state.
        quarantined: What was damaged, if anything.
    """

    identity: Identity
    stored: StoredState
    quarantined: QuarantinedFiles | None = None


def open_files(
    storage: GroupStorage, *, replica: ReplicaId, random: Random, may_form: bool = True
) -> OpenedFiles:
    """Return the state on disk; an empty or damaged folder becomes a new member.

    Args:
        storage: The files.
        replica: The replica that they belong to.
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
        storage.forget_log()
        stored = storage.load()
    return OpenedFiles(identity=identity, stored=stored)


def _open_empty(
    storage: GroupStorage, error: LogCorruptError, *, replica: ReplicaId, random: Random
) -> OpenedFiles:
    quarantined = QuarantinedFiles(error=error, kept_as=storage.set_aside())
    # The old member may have voted and acknowledged, which the new one can't know.
    identity = _make_identity(replica, random, may_form=False)
    storage.write_identity(identity)
    return OpenedFiles(identity=identity, stored=storage.load(), quarantined=quarantined)


def _make_identity(replica: ReplicaId, random: Random, *, may_form: bool) -> Identity:
    member = MemberId(f"{replica}/{random.getrandbits(64):016x}")
    return Identity(member=member, may_form=may_form)
