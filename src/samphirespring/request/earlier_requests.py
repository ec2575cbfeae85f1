"""What a refusal says of earlier requests with the same key, whose claim wasn't read."""

from collections.abc import Iterator
from contextlib import contextmanager

from samphirespring.request.errors import RequestError
from samphirespring.request.states import Outcome

EARLIER_REQUEST_DETAIL = (
    "this request was not dispatched, but an earlier one with its key may have run;"
    " a resend with the same key is safe"
)


@contextmanager
def account_for_earlier_requests(*, keyed: bool) -> Iterator[None]:
    """Let a refusal tell "unknown" of a request with a key of its caller.

    "not-run" is said of the key's action, and only the ledger knows whether an earlier request has
    run it. Refusals inside the context come before the ledger is asked.

    Args:
        keyed: Whether the caller gave the request a key.
    """
    try:
        yield
    except RequestError as error:
        if keyed and error.outcome is Outcome.NOT_RUN:
            error.outcome = Outcome.UNKNOWN
            error.detail = f"{error.detail}; {EARLIER_REQUEST_DETAIL}"
        raise
