"""Authentication of teams by bearer token, and their permissions."""

import hashlib
import hmac

from samphirespring.process.errors import ErrorCode, SamphireError
from samphirespring.version.document import AccessSection
from samphirespring.version.ids import SectionName, TeamName


class UnauthenticatedError(SamphireError):
    """The request has no bearer token, or its token belongs to no team."""

    code = ErrorCode.UNAUTHENTICATED


class ForbiddenError(SamphireError):
    """The team lacks the permission for the request."""

    code = ErrorCode.FORBIDDEN


def find_team(access: AccessSection, token: str) -> TeamName | None:
    """Return the team that a token belongs to, or None.

    All hashes are compared, each in constant time, so that the duration leaks nothing about the
    token.

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
        token: The bearer token; None if the request carries no token.

    Raises:
        UnauthenticatedError: The token is missing or belongs to no team.
    """
    if token is None:
        raise UnauthenticatedError("a bearer token is required")
    team = find_team(access, token)
    if team is None:
        raise UnauthenticatedError("no team has this token")
    return team


def may_change(access: AccessSection, team: TeamName, section: SectionName) -> bool:
    """Return whether a team owns a section and so may change it.

    Args:
        access: The access section in force.
        team: The team.
        section: The section, which need not exist yet.
    """
    rights = access.teams.get(team)
    return rights is not None and section in rights.sections


def may_operate(access: AccessSection, team: TeamName) -> bool:
    """Return whether a team may drain hosts and targets, read dumps and change replicas.

    Args:
        access: The access section in force.
        team: The team.
    """
    rights = access.teams.get(team)
    return rights is not None and rights.operate


def require_operator(access: AccessSection, team: TeamName) -> None:
    """Raise an error unless a team may operate the fleet.

    Args:
        access: The access section in force.
        team: The team.

    Raises:
        ForbiddenError: The team may not operate the fleet.
    """
    if not may_operate(access, team):
        raise ForbiddenError(f"team {team} may not operate the fleet")
