"""Rights of the team that sends a request."""

import msgspec

from samphirespring.version.access import (
    ForbiddenError,
    may_change,
    may_operate,
    require_operator,
)
from samphirespring.version.document import ACCESS_SECTION, AccessSection
from samphirespring.version.ids import SectionName, TeamName


class OperatorSession(msgspec.Struct, frozen=True, kw_only=True):
    """The team that sends a request, with its rights at the time of the request.

    Attributes:
        team: The team.
        access: The access section.
    """

    team: TeamName
    access: AccessSection

    def require_operator(self) -> None:
        """Check that the team may operate the fleet.

        Raises:
            ForbiddenError: It may not.
        """
        require_operator(self.access, self.team)

    def may_read(self, section: SectionName) -> bool:
        """Return whether the team may read a section; token hashes aren't readable for every team.

        Args:
            section: The section.
        """
        if section != ACCESS_SECTION:
            return True
        return may_change(self.access, self.team, section) or may_operate(self.access, self.team)

    def require_readable(self, section: SectionName) -> None:
        """Check that the team may read a section.

        Args:
            section: The section.

        Raises:
            ForbiddenError: It may not.
        """
        if not self.may_read(section):
            raise ForbiddenError(f"team {self.team} may not read section {section}")
