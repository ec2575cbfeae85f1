"""Identifiers of the action ledger."""

from typing import NewType

LedgerTime = NewType("LedgerTime", int)
"""Time of one ledger group, in milliseconds since its first command; see `LedgerClock`."""

ShardNumber = NewType("ShardNumber", int)
