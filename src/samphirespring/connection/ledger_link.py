"""RPC methods of the action ledger and of attempt fences."""

import msgspec

from samphirespring.connection.link_methods import UnaryMethod
from samphirespring.process.attempt_table import FenceReply
from samphirespring.process.ledger.claims import AttemptAssignment, ClaimKey
from samphirespring.process.ledger.commands import LedgerCommand, LedgerResult
from samphirespring.version.document import LedgerLayout


class ProposeClaim(msgspec.Struct, frozen=True, kw_only=True):
    """Requests that a group's leader commit a command."""

    command: LedgerCommand


class ReadClaimState(msgspec.Struct, frozen=True, kw_only=True):
    """Requests the state of a claim."""

    key: ClaimKey
    wait_ms: int = 0
    """Longest wait for the claim to become final, in milliseconds."""

    any_replica: bool = False
    """Whether a follower may reply, whose state may be outdated."""


class LedgerResultReply(msgspec.Struct, frozen=True, kw_only=True, tag="answer"):
    """The result of the command, or the state of the claim."""

    result: LedgerResult


class LedgerRedirect(msgspec.Struct, frozen=True, kw_only=True, tag="elsewhere"):
    """This replica can't serve the call; nothing was appended."""

    leader_address: str | None
    """Link address of the leader, if one is known."""

    replica_addresses: tuple[str, ...] = ()
    """Link addresses of the control hosts on which the group is placed."""

    layout: LedgerLayout | None = None
    """Distribution of the workspaces over the groups; None if this host hasn't received it yet."""


class LedgerCommitUnknown(msgspec.Struct, frozen=True, kw_only=True, tag="uncertain"):
    """The command was appended, but may or may not be committed."""


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
