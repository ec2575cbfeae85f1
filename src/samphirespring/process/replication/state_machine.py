"""The seam between a replicated log and the state that is computed from it."""

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
    """State computed from committed commands alone: same commands, same state, on each replica.

    A command carries every time and random value that it needs.
    """

    command_type: ClassVar[object]
    """Type, or tagged union of types, to decode commands as."""

    result_type: ClassVar[object]
    snapshot_type: ClassVar[object]

    @abstractmethod
    def apply(self, *, index: LogIndex, command: CommandT) -> ResultT:
        """Apply one committed command and return its result; business errors are results.

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
            snapshot: What `capture_snapshot` returned on some replica.
        """

    def restore_snapshot_steps(self, snapshot: SnapshotT) -> Iterator[None]:
        """Replace the whole state in short steps; nothing else uses the machine between them.

        A machine whose state takes long to restore overrides this.

        Args:
            snapshot: What `capture_snapshot` returned on some replica.
        """
        self.restore_snapshot(snapshot)
        return iter(())


class NotLeaderError(SamphireError):
    """This replica can't accept commands; the command was not appended.

    Args:
        detail: What happened.
        leader: The replica to ask instead, if one is known.
    """

    code = ErrorCode.NOT_LEADER

    def __init__(self, detail: str, *, leader: ReplicaId | None = None) -> None:
        super().__init__(detail)
        self.leader = leader


class CommitUnknownError(SamphireError):
    """The command was appended, and whether it will be committed is not known."""

    code = ErrorCode.COMMIT_UNKNOWN


class NoQuorumError(SamphireError):
    """No quorum could be reached; the command was not appended anywhere."""

    code = ErrorCode.NO_QUORUM


class Proposer(ABC, Generic[CommandT, ResultT]):
    """Gives commands to a replicated log."""

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
    async def confirm_leadership(self, *, by_round: bool = False) -> None:
        """Return once this replica leads under a valid lease and has applied all commits.

        Args:
            by_round: Whether a quorum must answer a message sent after the call; the lease alone
                doesn't notice that the host was suspended.

        Raises:
            NotLeaderError: Another replica leads, or none.
            NoQuorumError: The lease can't be renewed.
            BusyError: Too many questions wait; it tells nothing about the lead.
        """

    @abstractmethod
    async def read(self, view: Callable[[], ViewT]) -> ViewT:
        """Return a view of the state machine between two commands.

        Args:
            view: Reads the state machine and returns values that later commands don't change.

        Raises:
            BusyError: Too many questions wait.
        """


class LocalProposer(Proposer[CommandT, ResultT]):
    """Applies commands at once to one state machine in memory, for tests and development.

    Args:
        machine: The state machine.
    """

    def __init__(self, machine: StateMachine[CommandT, ResultT, SnapshotT]) -> None:
        self._machine = machine
        self._index = 0

    async def propose(self, command: CommandT) -> ResultT:
        """Apply a command and return its result."""
        self._index += 1
        return self._machine.apply(index=LogIndex(self._index), command=command)

    async def confirm_leadership(self, *, by_round: bool = False) -> None:
        """Return at once: the only replica leads."""

    async def read(self, view: Callable[[], ViewT]) -> ViewT:
        """Return a view of the state machine."""
        return view()
