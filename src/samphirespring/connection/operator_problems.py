"""Problem details of the operator API, with the data that a client needs to proceed."""

from collections.abc import Mapping

import msgspec
from starlette.requests import Request
from starlette.responses import Response

from samphirespring.connection.http_json import STATUS_BY_CODE
from samphirespring.connection.operator_messages import RecordView, make_record_view
from samphirespring.connection.problems import PROBLEM_CONTENT_TYPE, Problem
from samphirespring.process.document.errors import VersionConflictError
from samphirespring.process.errors import ErrorCode, SamphireError
from samphirespring.process.ids import ReplicaId
from samphirespring.process.replication.state_machine import NotLeaderError
from samphirespring.version.ids import SectionVersion
from samphirespring.version.parser import DocumentInvalidError

REDIRECT_STATUS = 307
UNAVAILABLE_STATUS = 503


class OperatorProblem(Problem, frozen=True, kw_only=True, omit_defaults=True):
    """Problem details of the operator API."""

    problems: tuple[str, ...] = ()
    """Every problem of an invalid document, with its JSON path."""

    current_version: SectionVersion | None = None
    """Current version of the section, which won the conflict; 0 if there is none."""

    winner: RecordView | None = None
    leader: ReplicaId | None = None


def respond_problem(
    request: Request, error: SamphireError, operator_addresses: Mapping[ReplicaId, str]
) -> Response:
    """Return the response for an error; if another replica can serve the request, a redirect.

    Args:
        request: The request that failed.
        error: The error.
        operator_addresses: `IP:port` of each control host's operator API.
    """
    headers: dict[str, str] = {}
    status = STATUS_BY_CODE.get(error.code, UNAVAILABLE_STATUS)
    leader_address = _find_leader_address(error, operator_addresses)
    if leader_address is not None:
        status = REDIRECT_STATUS
        headers["location"] = str(request.url.replace(netloc=leader_address))
    if error.code is ErrorCode.UNAUTHENTICATED:
        headers["www-authenticate"] = "Bearer"
    return Response(
        msgspec.json.encode(_make_problem(error, status)),
        status_code=status,
        headers=headers,
        media_type=PROBLEM_CONTENT_TYPE.decode(),
    )


def _find_leader_address(
    error: SamphireError, operator_addresses: Mapping[ReplicaId, str]
) -> str | None:
    if not isinstance(error, NotLeaderError) or error.leader is None:
        return None
    return operator_addresses.get(error.leader)


def _make_problem(error: SamphireError, status: int) -> OperatorProblem:
    conflict = error.conflict if isinstance(error, VersionConflictError) else None
    winner = None if conflict is None else conflict.winner
    return OperatorProblem(
        title=error.code.value.replace("_", " "),
        status=status,
        code=error.code.value,
        detail=error.detail,
        problems=error.problems if isinstance(error, DocumentInvalidError) else (),
        current_version=None if conflict is None else conflict.version,
        winner=None if winner is None else make_record_view(winner),
        leader=error.leader if isinstance(error, NotLeaderError) else None,
    )
