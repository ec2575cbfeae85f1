"""The action ledger and the agents' fences, over links."""

import msgspec

from samphirespring.connection.link_methods import UnaryMethod
from samphirespring.process.attempt_table import FenceReply
from samphirespring.process.ledger.claims import AttemptAssignment, ClaimKey
from samphirespring.process.ledger.commands import LedgerCommand, LedgerResult
from samphirespring.version.document import LedgerLayout


class ProposeClaim(msgspec.Struct, frozen=True, kw_only=True):
    """Asks a group's leader to commit a command."""

    command: LedgerCommand


class ReadClaimState(msgspec.Struct, frozen=True, kw_only=True):
    """Asks for the state of a claim."""

    key: ClaimKey
    wait_ms: int = 0
    """Longest wait for the claim to become final, in milliseconds."""

    any_replica: bool = False
    """Whether a replica that doesn't lead may answer, with a state that may be old."""


class LedgerResultReply(msgspec.Struct, frozen=True, kw_only=True, tag="answer"):
    """The result of the command, or the state of the claim."""

    result: LedgerResult


class LedgerRedirect(msgspec.Struct, frozen=True, kw_only=True, tag="elsewhere"):
    """This replica can't serve the call; nothing was appended."""

    leader_address: str | None
    """Link address of the leader, if one is known."""

    replica_addresses: tuple[str, ...] = ()
    """Link addresses of the control hosts that are to hold the group."""

    layout: LedgerLayout | None = None
    """How workspaces are spread over the groups; None if this host doesn't know it yet."""


class LedgerCommitUnknown(msgspec.Struct, frozen=True, kw_only=True, tag="uncertain"):
    """The command was appended; whether it will be committed is not known."""


LedgerReply = LedgerResultReply | LedgerRedirect | LedgerCommitUnknown

PROPOSE_CLAIM: UnaryMethod[ProposeClaim, LedgerReply] = UnaryMethod(
    path="/samphire.Ledger/Propose", request_type=ProposeClaim, reply_type=LedgerReply
)
READ_CLAIM: UnaryMethod[ReadClaimState, LedgerReply] = UnaryMethod(
    path="/samphire.Ledger/Read", request_type=ReadClaimState, reply_type=LedgerReply
)
FENCE_ATTEMPT: UnaryMethod[AttemptAssignment, FenceReply] = UnaryMethod(
    path="/samphire.Agent/FenceAttempt", request_type=AttemptAssignment, reply_type=FenceReply
)
