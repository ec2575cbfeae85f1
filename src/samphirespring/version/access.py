"""Who a bearer token belongs to, and what that team may do."""

import hashlib
import hmac

from samphirespring.process.errors import ErrorCode, SamphireError
from samphirespring.version.document import AccessSection
from samphirespring.version.ids import SectionName, TeamName


class UnauthenticatedError(SamphireError):
    """The request has no bearer token, or one that no team has."""

    code = ErrorCode.UNAUTHENTICATED


class ForbiddenError(SamphireError):
    """The team lacks the right to what it asks for."""

    code = ErrorCode.FORBIDDEN


def find_team(access: AccessSection, token: str) -> TeamName | None:
    """Return the team that a token belongs to, or None.

    Every hash is compared, each in constant time, so that the duration tells nothing of the token.

    Args:
        access: The access section in force.
        token: The bearer token.
    """
    digest = hashlib.sha256(token.encode()).hexdigest()
    owner: TeamName | None = None
    for name, team in access.teams.items():
        if hmac.compare_digest(digest, team.token_sha256):
            owner = name
    return owner


def authenticate(access: AccessSection, token: str | None) -> TeamName:
    """Return the team that a token belongs to.

    Args:
        access: The access section in force.
        token: The bearer token; None if the request has none.

    Raises:
        UnauthenticatedError: No team has the token.
    """
    if token is None:
        raise UnauthenticatedError("a bearer token is required")
    team = find_team(access, token)
    if team is None:
        raise UnauthenticatedError("no team has this token")
    return team


def may_change(access: AccessSection, team: TeamName, section: SectionName) -> bool:
    """Return whether a team owns a section.

    Args:
        access: The access section in force.
        team: The team.
        section: The section; it need not exist yet.
    """
    rights = access.teams.get(team)
    return rights is not None and section in rights.sections


def may_operate(access: AccessSection, team: TeamName) -> bool:
    """Return whether a team may drain, read dumps and change replicas.

    Args:
        access: The access section in force.
        team: The team.
    """
    rights = access.teams.get(team)
    return rights is not None and rights.operate


def require_operator(access: AccessSection, team: TeamName) -> None:
    """Check that a team may operate the fleet.

    Args:
        access: The access section in force.
        team: The team.

    Raises:
        ForbiddenError: It may not.
    """
    if not may_operate(access, team):
        raise ForbiddenError(f"team {team} may not operate the fleet")
