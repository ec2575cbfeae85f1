"""Outcome of a request that is refused before the ledger is queried about its key."""

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
    """Report the outcome "unknown" for a refused request whose caller gave it a key.

    "not-run" is a statement about all requests with the key, and only the ledger records whether an
    earlier one ran. Errors raised inside the context occur before the ledger is queried.

    Args:
        keyed: Whether the caller gave the request an idempotency key.
    """
    try:
        yield
    except RequestError as error:
        if keyed and error.outcome is Outcome.NOT_RUN:
            error.outcome = Outcome.UNKNOWN
            error.detail = f"{error.detail}; {EARLIER_REQUEST_DETAIL}"
        raise
