"""A small state machine for tests: an ordered list of lines."""

import msgspec

from samphirespring.process.replication.state_machine import StateMachine


class AddLine(msgspec.Struct, frozen=True, kw_only=True):
    text: str


class LineAdded(msgspec.Struct, frozen=True, kw_only=True):
    count: int


class LineListSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    lines: tuple[str, ...]


class LineList(StateMachine[AddLine, LineAdded, LineListSnapshot]):
    command_type = AddLine
    result_type = LineAdded
    snapshot_type = LineListSnapshot

    def __init__(self):
        self.lines = []

    def apply(self, *, index, command):
        self.lines.append(command.text)
        return LineAdded(count=len(self.lines))

    def capture_snapshot(self):
        return LineListSnapshot(lines=tuple(self.lines))

    def restore_snapshot(self, snapshot):
        self.lines = list(snapshot.lines)
