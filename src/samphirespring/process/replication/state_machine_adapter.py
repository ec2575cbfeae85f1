"""Encodes and decodes commands and snapshots, and applies committed entries to a state machine."""

from collections.abc import Iterator
from typing import Any, Generic

import msgspec

from samphirespring.process.errors import DECODE_ERRORS, InternalError
from samphirespring.process.ids import LogIndex
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.process.replication.entries import Entry
from samphirespring.process.replication.state_machine import (
    CommandT,
    ResultT,
    SnapshotT,
    StateMachine,
)

_log = EventLog()


class StateMachineAdapter(Generic[CommandT, ResultT, SnapshotT]):
    """Converts between the bytes in the log and the types of a state machine.

    Args:
        state_machine: The state machine, in its initial state.
    """

    def __init__(self, state_machine: StateMachine[CommandT, ResultT, SnapshotT]) -> None:
        self._state_machine = state_machine
        self._encoder = msgspec.msgpack.Encoder()
        self._command_decoder = msgspec.msgpack.Decoder[Any](state_machine.command_type)
        self._snapshot_decoder = msgspec.msgpack.Decoder[Any](state_machine.snapshot_type)
        self._initial_state = state_machine.capture_snapshot()
        self._applied_index = LogIndex(0)

    @property
    def applied_index(self) -> LogIndex:
        """Last index that the state machine has applied."""
        return self._applied_index

    def encode_command(self, command: CommandT) -> bytes:
        """Return a command's bytes, after checking that every replica can decode them.

        Args:
            command: The command.

        Raises:
            InternalError: The command isn't of the state machine's declared type.
        """
        payload = self._encoder.encode(command)
        try:
            self._command_decoder.decode(payload)
        except DECODE_ERRORS as error:
            raise InternalError(f"command is not of the declared type: {error}") from None
        return payload

    def apply(self, entry: Entry) -> ResultT:
        """Apply a committed command and return its result.

        Args:
            entry: An entry of the kind COMMAND.

        Raises:
            InternalError: The state machine failed; it fails the same way on every replica.
        """
        self._applied_index = entry.index
        try:
            command = self._command_decoder.decode(entry.payload)
            return self._state_machine.apply(index=entry.index, command=command)
        except Exception as error:
            _log.exception(LogEvent.APPLY_FAILED, index=entry.index)
            raise InternalError(f"entry {entry.index} can't be applied: {error!r}") from None

    def skip(self, entry: Entry) -> None:
        """Record that an entry without a command has been committed.

        Args:
            entry: An entry of a kind other than COMMAND.
        """
        self._applied_index = entry.index

    def capture(self) -> SnapshotT:
        """Return the whole state; later commands don't change the returned value."""
        return self._state_machine.capture_snapshot()

    def encode_snapshot(self, snapshot: SnapshotT) -> bytes:
        """Return a snapshot's bytes; may run on another thread.

        Args:
            snapshot: The value that `capture` returned.
        """
        return msgspec.msgpack.encode(snapshot)

    def restore(self, data: bytes | None, *, index: LogIndex) -> None:
        """Replace the whole state in one step.

        Args:
            data: The encoded snapshot; None restores the initial state.
            index: Last index that it covers.

        Raises:
            InternalError: The bytes aren't a snapshot of the state machine's declared type.
        """
        for _ in self.restore_steps(data, index=index):
            pass

    def restore_steps(self, data: bytes | None, *, index: LogIndex) -> Iterator[None]:
        """Replace the whole state in short steps.

        Args:
            data: The encoded snapshot; None restores the initial state.
            index: Last index that it covers.

        Raises:
            InternalError: The bytes aren't a snapshot of the state machine's declared type.
        """
        try:
            snapshot = self._initial_state if data is None else self._snapshot_decoder.decode(data)
        except DECODE_ERRORS as error:
            raise InternalError(f"snapshot is not of the declared type: {error}") from None
        yield from self._state_machine.restore_snapshot_steps(snapshot)
        self._applied_index = index
