"""Interfaces between a replicated log and the state machine that its entries are applied to."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator
from typing import ClassVar, Generic, TypeVar

import msgspec

from samphirespring.process.errors import ErrorCode, SamphireError
from samphirespring.process.ids import LogIndex, ReplicaId

CommandT = TypeVar("CommandT", bound=msgspec.Struct)
ResultT = TypeVar("ResultT", bound=msgspec.Struct)
SnapshotT = TypeVar("SnapshotT", bound=msgspec.Struct)
ViewT = TypeVar("ViewT")


class StateMachine(ABC, Generic[CommandT, ResultT, SnapshotT]):
    """State that is computed deterministically from the committed commands.

    All replicas apply the same commands and reach the same state, so a command carries every time
    and random value that it needs.
    """

    command_type: ClassVar[object]
    """Type, or tagged union of types, that commands are decoded as."""

    result_type: ClassVar[object]
    snapshot_type: ClassVar[object]

    @abstractmethod
    def apply(self, *, index: LogIndex, command: CommandT) -> ResultT:
        """Apply one committed command and return its result.

        Business errors are returned as results; an exception is an internal error.

        Args:
            index: Position of the command in the log.
            command: The command.
        """

    @abstractmethod
    def capture_snapshot(self) -> SnapshotT:
        """Return the whole state; later commands don't change the returned value."""

    @abstractmethod
    def restore_snapshot(self, snapshot: SnapshotT) -> None:
        """Replace the whole state.

        Args:
            snapshot: Snapshot that `capture_snapshot` returned on any replica.
        """

    def restore_snapshot_steps(self, snapshot: SnapshotT) -> Iterator[None]:
        """Replace the whole state in short steps; nothing uses the state machine between them.

        A state machine whose state takes long to restore overrides this, so that other tasks run
        between the steps.

        Args:
            snapshot: Snapshot that `capture_snapshot` returned on any replica.
        """
        self.restore_snapshot(snapshot)
        return iter(())


class NotLeaderError(SamphireError):
    """This replica is not the leader; the command was not appended.

    Args:
        detail: What happened.
        leader: Replica that is the leader, if known.
    """

    code = ErrorCode.NOT_LEADER

    def __init__(self, detail: str, *, leader: ReplicaId | None = None) -> None:
        super().__init__(detail)
        self.leader = leader


class CommitUnknownError(SamphireError):
    """The command was appended, but its commit was not observed: it may be committed or lost."""

    code = ErrorCode.COMMIT_UNKNOWN


class NoQuorumError(SamphireError):
    """No quorum could be reached; the command was not appended anywhere."""

    code = ErrorCode.NO_QUORUM


class Proposer(ABC, Generic[CommandT, ResultT]):
    """Proposes commands to a replicated log and reads the state that results."""

    @abstractmethod
    async def propose(self, command: CommandT) -> ResultT:
        """Commit a command on a synced quorum and return its result.

        Args:
            command: The command.

        Raises:
            NotLeaderError: The command was not appended.
            NoQuorumError: The command was not appended.
            BusyError: The command was not appended.
            CommitUnknownError: The command may be committed now or later.
        """

    @abstractmethod
    async def confirm_leadership(self, *, by_heartbeat_round: bool = False) -> None:
        """Return once this replica is leader with a valid lease and has applied all commits.

        Args:
            by_heartbeat_round: Whether a quorum must reply to a message sent after the call; the
                lease alone doesn't detect that the host was suspended.

        Raises:
            NotLeaderError: Another replica is the leader, or there is none.
            NoQuorumError: The lease can't be renewed.
            BusyError: Too many requests are queued; leadership was not checked.
        """

    @abstractmethod
    async def read(self, view: Callable[[], ViewT]) -> ViewT:
        """Return a view of the state machine between two commands.

        Args:
            view: Reads the state machine and returns values that later commands don't change.

        Raises:
            BusyError: Too many requests are queued.
        """


class LocalProposer(Proposer[CommandT, ResultT]):
    """Applies commands directly to one state machine in memory, for tests and development.

    Args:
        state_machine: The state machine.
    """

    def __init__(self, state_machine: StateMachine[CommandT, ResultT, SnapshotT]) -> None:
        self._state_machine = state_machine
        self._index = 0

    async def propose(self, command: CommandT) -> ResultT:
        """Apply a command and return its result."""
        self._index += 1
        return self._state_machine.apply(index=LogIndex(self._index), command=command)

    async def confirm_leadership(self, *, by_heartbeat_round: bool = False) -> None:
        """Return at once: the only replica is always the leader."""

    async def read(self, view: Callable[[], ViewT]) -> ViewT:
        """Return a view of the state machine."""
        return view()
