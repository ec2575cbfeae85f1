"""The ledger commands of an action that ran."""

from samphirespring.process.ids import Incarnation, TargetId
from samphirespring.process.ledger.claims import AttemptAssignment, ClaimKey, StoredResponse
from samphirespring.process.ledger.commands import ClaimAction, EndAttempt
from samphirespring.process.ledger.ids import LedgerTime
from samphirespring.process.ledger.states import ClaimState


def make_settled_claim(number: int, *, response_bytes: int) -> tuple[ClaimAction, EndAttempt]:
    """Return the commands that claim an action and store its response.

    Args:
        number: Number of the claim; each has its own key.
        response_bytes: Length of the response's body, in bytes.
    """
    assignment = AttemptAssignment(
        attempt=f"{number:032x}",
        target=TargetId("orders-sask-1-3"),
        link_address="10.11.12.13:21101",
        incarnation=Incarnation(1_700_000_000_000_000_000),
        start_by_wall_ms=1_700_000_000_000,
    )
    key = ClaimKey(workspace="workspace-17", service="orders", key=f"{number:036x}")
    now_ms = LedgerTime(number)
    claim = ClaimAction(
        key=key,
        digest=b"d" * 16,
        request=f"{number:032x}",
        place=assignment,
        run_limit_ms=5_000,
        retention_ms=86_400_000,
        now_ms=now_ms,
    )
    response = StoredResponse(status=200, headers=(), body=b"x" * response_bytes)
    end = EndAttempt(
        key=key, attempt=assignment.attempt, state=ClaimState.DONE, answer=response, now_ms=now_ms
    )
    return claim, end
