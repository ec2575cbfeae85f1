"""State machine of a ledger group: the claims after its committed commands."""

from collections.abc import Iterator
from typing import ClassVar, TypeVar

import msgspec

from samphirespring.process.errors import InternalError
from samphirespring.process.ids import LogIndex
from samphirespring.process.ledger.claim_packing import unpack_claim
from samphirespring.process.ledger.claim_store import ClaimStore
from samphirespring.process.ledger.claims import Claim, ClaimKey
from samphirespring.process.ledger.commands import (
    AttemptSpent,
    ClaimAbsent,
    ClaimAction,
    ClaimDone,
    ClaimGranted,
    ClaimNotRun,
    ClaimRunning,
    ClaimUnknown,
    CloseRequest,
    EndAttempt,
    KeyReused,
    LedgerCommand,
    LedgerResult,
    LedgerSnapshot,
    RequestClosed,
)
from samphirespring.process.ledger.ids import LedgerTime
from samphirespring.process.ledger.states import ClaimState
from samphirespring.process.replication.state_machine import StateMachine
from samphirespring.request.ids import AttemptId

IdT = TypeVar("IdT", bound=str)

MAX_IDS_PER_CLAIM = 16
"""Largest number of closed requests, and of spent attempts, of a claim; the oldest are dropped."""

MAX_EXPIRIES_PER_COMMAND = 8
"""Largest number of expired claims that one command removes."""


class ClaimStateMachine(StateMachine[LedgerCommand, LedgerResult, LedgerSnapshot]):
    """Claims of one ledger group, with the transitions that let an action run at most once."""

    command_type: ClassVar[object] = LedgerCommand
    result_type: ClassVar[object] = LedgerResult
    snapshot_type: ClassVar[object] = LedgerSnapshot

    def __init__(self) -> None:
        self._claims = ClaimStore()
        self.clock_ms = LedgerTime(0)
        """Latest time of any applied command."""

    @property
    def state_counts(self) -> dict[ClaimState, int]:
        """Number of claims in each state."""
        return self._claims.state_counts

    def apply(self, *, index: LogIndex, command: LedgerCommand) -> LedgerResult:
        """Apply one committed command and return its result."""
        self.clock_ms = max(self.clock_ms, command.now_ms)
        self._claims.expire(self.clock_ms, limit=MAX_EXPIRIES_PER_COMMAND)
        match command:
            case ClaimAction():
                return self._apply_claim(command)
            case EndAttempt():
                return self._apply_end(command)
            case CloseRequest():
                return self._apply_close(command)

    def capture_snapshot(self) -> LedgerSnapshot:
        """Return the whole state; claims are immutable, so only references are copied."""
        return LedgerSnapshot(
            clock_ms=self.clock_ms,
            claims=tuple(self._claims.iterate_open()),
            settled=self._claims.read_settled(),
        )

    def restore_snapshot(self, snapshot: LedgerSnapshot) -> None:
        """Replace the whole state."""
        self._claims = ClaimStore()
        self.clock_ms = snapshot.clock_ms
        for claim in snapshot.claims:
            self._claims.put(claim)
        for packed in snapshot.settled:
            self._claims.put(unpack_claim(packed))

    def read(self, key: ClaimKey) -> LedgerResult:
        """Return the state of one claim as this replica has applied it.

        Args:
            key: The claim's key.
        """
        claim = self._claims.find(key)
        return ClaimAbsent() if claim is None else _make_result(claim)

    def find(self, key: ClaimKey) -> Claim | None:
        """Return one claim, or None.

        Args:
            key: The claim's key.
        """
        return self._claims.find(key)

    def iterate_open_claims(self) -> Iterator[Claim]:
        """Return the claims whose attempt has no recorded end, least recently changed first."""
        return self._claims.iterate_open()

    def _apply_claim(self, command: ClaimAction) -> LedgerResult:
        claim = self._claims.find(command.key)
        if claim is None:
            return self._grant(command, None)
        if command.digest != claim.digest:
            return KeyReused()
        if claim.state is ClaimState.NOT_RUN:
            return self._reclaim_after_not_run(command, claim)
        if claim.state is ClaimState.CLAIMED and claim.request == command.request:
            return self._reclaim_for_same_request(command, claim)
        return _make_result(claim)

    def _reclaim_after_not_run(self, command: ClaimAction, claim: Claim) -> LedgerResult:
        if command.request in claim.closed_requests:
            return RequestClosed()
        if command.place.attempt in claim.spent_attempts:
            return AttemptSpent()
        return self._grant(command, claim)

    def _reclaim_for_same_request(self, command: ClaimAction, claim: Claim) -> LedgerResult:
        current = None if claim.place is None else claim.place.attempt
        if command.request in claim.closed_requests:
            return RequestClosed()
        if command.place.attempt in claim.spent_attempts:
            return AttemptSpent()
        if current == command.place.attempt:
            # The front repeats the command because the first reply was lost.
            return ClaimGranted(attempt=current)
        if current is not None and current == command.replaces:
            return self._grant(command, claim)
        return _make_result(claim)

    def _grant(self, command: ClaimAction, previous: Claim | None) -> ClaimGranted:
        closed = () if previous is None else previous.closed_requests
        self._claims.put(
            Claim(
                key=command.key,
                digest=command.digest,
                state=ClaimState.CLAIMED,
                request=command.request,
                place=command.place,
                changed_ms=self.clock_ms,
                run_limit_ms=command.run_limit_ms,
                retention_ms=command.retention_ms,
                closed_requests=closed,
                spent_attempts=() if previous is None else _add_spent_attempt(previous),
            )
        )
        return ClaimGranted(attempt=command.place.attempt)

    def _apply_end(self, command: EndAttempt) -> LedgerResult:
        claim = self._claims.find(command.key)
        if claim is None:
            return ClaimAbsent()
        if claim.place is None or claim.place.attempt != command.attempt:
            return _make_result(claim)
        if not _is_transition_allowed(claim.state, command.state):
            return _make_result(claim)
        ended = msgspec.structs.replace(
            claim, state=command.state, answer=command.answer, changed_ms=self.clock_ms
        )
        if command.state is ClaimState.NOT_RUN:
            ended = msgspec.structs.replace(ended, spent_attempts=_add_spent_attempt(claim))
        self._claims.put(ended)
        return _make_result(ended)

    def _apply_close(self, command: CloseRequest) -> LedgerResult:
        claim = self._claims.find(command.key)
        if claim is None:
            claim = self._make_closed_claim(command)
        elif claim.digest == command.digest and command.request not in claim.closed_requests:
            claim = self._close_request(command, claim)
        self._claims.put(claim)
        return _make_result(claim)

    def _make_closed_claim(self, command: CloseRequest) -> Claim:
        return Claim(
            key=command.key,
            digest=command.digest,
            state=ClaimState.NOT_RUN,
            request=command.request,
            place=None,
            changed_ms=self.clock_ms,
            run_limit_ms=0,
            retention_ms=command.retention_ms,
            closed_requests=(command.request,),
        )

    def _close_request(self, command: CloseRequest, claim: Claim) -> Claim:
        closed = _append_bounded(claim.closed_requests, command.request)
        claim = msgspec.structs.replace(claim, closed_requests=closed)
        if claim.state is not ClaimState.CLAIMED or claim.request != command.request:
            return claim
        return msgspec.structs.replace(
            claim,
            state=ClaimState.NOT_RUN,
            changed_ms=self.clock_ms,
            spent_attempts=_add_spent_attempt(claim),
        )


def _is_transition_allowed(current: ClaimState, new: ClaimState) -> bool:
    if current is ClaimState.CLAIMED:
        return new is not ClaimState.CLAIMED
    return current is ClaimState.UNKNOWN and new is ClaimState.DONE


def _make_result(claim: Claim) -> LedgerResult:
    match claim.state:
        case ClaimState.DONE:
            return ClaimDone(answer=claim.answer)
        case ClaimState.NOT_RUN:
            return ClaimNotRun()
        case ClaimState.UNKNOWN:
            return ClaimUnknown()
        case ClaimState.CLAIMED:
            if claim.place is None:
                raise InternalError("a claim in the state CLAIMED has no attempt")
            return ClaimRunning(attempt=claim.place.attempt)


def _add_spent_attempt(claim: Claim) -> tuple[AttemptId, ...]:
    if claim.place is None or claim.place.attempt in claim.spent_attempts:
        return claim.spent_attempts
    return _append_bounded(claim.spent_attempts, claim.place.attempt)


def _append_bounded(ids: tuple[IdT, ...], new_id: IdT) -> tuple[IdT, ...]:
    return (*ids, new_id)[-MAX_IDS_PER_CLAIM:]
