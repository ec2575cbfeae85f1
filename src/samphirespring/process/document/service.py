"""Reads and changes the document for operators, independent of the API in use."""

import difflib
import hashlib
from collections.abc import Mapping

import msgspec

from samphirespring.process.document.commands import (
    ChangeAccepted,
    ChangeConflict,
    ChangeForbidden,
    ChangeIdReused,
    ChangeInvalid,
    ChangeRecord,
    ChangeSection,
    DocumentCommand,
    DocumentInitialized,
    DocumentMissing,
    DocumentReplaced,
    DocumentResult,
    InitializeDocument,
    InitialSection,
    LedgerLayoutFixed,
    PackedSection,
    ReplaceDocument,
    RevisionConflict,
)
from samphirespring.process.document.errors import (
    ChangeIdReusedError,
    DocumentMissingError,
    LedgerLayoutFixedError,
    RevisionConflictError,
    SectionUnknownError,
    VersionConflictError,
)
from samphirespring.process.document.packing import pack_text, unpack_text
from samphirespring.process.document.session import OperatorSession
from samphirespring.process.document.state_machine import DocumentStateMachine
from samphirespring.process.errors import InternalError, SamphireError
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.process.replication.state_machine import NoQuorumError, Proposer
from samphirespring.process.timers import TimerService
from samphirespring.version.access import (
    ForbiddenError,
    authenticate,
)
from samphirespring.version.document import ACCESS_SECTION, LedgerLayout
from samphirespring.version.ids import (
    ChangeId,
    Generation,
    Revision,
    SectionName,
    SectionVersion,
)
from samphirespring.version.parser import DocumentInvalidError
from samphirespring.version.section_set import SectionSet, StoredSection
from samphirespring.version.stamp import NO_STAMP, DocumentStamp

SPREAD_TIMEOUT_S = 0.3
"""Longest wait until a quorum has heard of a commit, in seconds; a round between regions takes
less."""

DIFF_INDENT = 2
DIFF_CONTEXT_LINES = 3

_log = EventLog()


class DocumentService:
    """Operations on the document through one control host.

    Args:
        state_machine: The document's state machine on this replica.
        proposer: Proposes commands to the replicated log.
        timers: The timer service.
    """

    def __init__(
        self,
        *,
        state_machine: DocumentStateMachine,
        proposer: Proposer[DocumentCommand, DocumentResult],
        timers: TimerService,
    ) -> None:
        self._state_machine = state_machine
        self._proposer = proposer
        self._timers = timers

    async def authenticate(self, token: str | None) -> OperatorSession:
        """Return the team that a token belongs to, with its rights.

        Args:
            token: The bearer token; None if the request has none.

        Raises:
            UnauthenticatedError: No team has the token.
            NoQuorumError: This replica hasn't applied a document yet, so it has no teams.
        """
        sections = await self._proposer.read(lambda: self._state_machine.sections)
        if not sections.sections:
            raise NoQuorumError("this replica has not applied a document yet")
        access = await self._proposer.read(lambda: self._state_machine.access)
        return OperatorSession(team=authenticate(access, token), access=access)

    async def read_stamp(self) -> DocumentStamp:
        """Return the version that this replica has applied."""
        return await self._proposer.read(lambda: self._state_machine.sections.stamp)

    async def confirm_stamp(self) -> DocumentStamp:
        """Return the newest committed version, as of a time after the call.

        Raises:
            NotLeaderError: Another replica leads, or none.
            NoQuorumError: No quorum can be reached.
        """
        # A lease would not show that this host was suspended, as its clock stood still.
        await self._proposer.confirm_leadership(by_heartbeat_round=True)
        return await self.read_stamp()

    async def read_ledger_layout(self) -> LedgerLayout | None:
        """Return the ledger's layout, or None if this replica has applied no document yet."""
        return await self._proposer.read(lambda: self._state_machine.ledger_layout)

    async def replace(
        self,
        *,
        base: Revision,
        revision: Revision,
        submitted: bytes,
        sections: Mapping[SectionName, bytes],
    ) -> Revision:
        """Replace the whole document, and return the revision that is accepted.

        Rights to single sections aren't checked: this is for operators that own all sections, store
        the document elsewhere and submit it in one piece. A resend of an accepted document is
        accepted again.

        Args:
            base: Revision that the document is based on; 0 for the first one.
            revision: Its own number, above the newest one.
            submitted: The text as the operator sent it, which `read_submitted` returns.
            sections: JSON text of each section.

        Raises:
            RevisionConflictError: The base isn't the newest revision.
            DocumentInvalidError: The document isn't valid.
            CommitUnknownError: Whether the document is accepted is unknown; send it again.
            SamphireError: The log didn't accept the command.
        """
        packed = tuple(
            PackedSection(name=name, data=pack_text(text)) for name, text in sections.items()
        )
        command = ReplaceDocument(
            base=base,
            revision=revision,
            digest=hashlib.sha256(b"%d:" % base + submitted).digest(),
            submitted=pack_text(submitted),
            sections=packed,
            at_ns=self._timers.read_wall_ns(),
        )
        result = await self._proposer.propose(command)
        match result:
            case DocumentReplaced():
                await self._spread_commit()
                return result.revision
            case RevisionConflict():
                raise RevisionConflictError(f"the newest revision is {result.newest}")
            case ChangeInvalid():
                raise DocumentInvalidError(result.problems)
        raise InternalError("the document's state machine returned the result of another command")

    async def read_submitted(self) -> bytes | None:
        """Return the newest submitted text, or None if there is none in force.

        Raises:
            NotLeaderError: Another replica leads, or none.
            NoQuorumError: No quorum can be reached.
        """
        # A host that was suspended may still treat its expired lease as valid for a while.
        await self._proposer.confirm_leadership(by_heartbeat_round=True)
        newest = await self._proposer.read(lambda: self._state_machine.submission)
        return None if newest.submitted is None else unpack_text(newest.submitted)

    async def confirm_leadership(self) -> None:
        """Return once this replica leads and has applied all commits.

        Raises:
            NotLeaderError: Another replica leads, or none.
            NoQuorumError: No quorum can be reached.
        """
        await self._proposer.confirm_leadership()

    async def initialize(
        self, sections: Mapping[SectionName, bytes], *, generation: Generation
    ) -> DocumentResult:
        """Propose the first document of a group; an existing document stays.

        Args:
            sections: JSON text of each section.
            generation: Number of this initialization, higher than that of any earlier one.

        Raises:
            SamphireError: The log didn't accept the command.
        """
        command = InitializeDocument(
            generation=generation,
            sections=tuple(InitialSection(name=name, text=text) for name, text in sections.items()),
        )
        return await self._proposer.propose(command)

    async def read(self, session: OperatorSession, *, local: bool) -> SectionSet:
        """Return the sections that a team may read.

        Args:
            session: The team.
            local: Whether this replica's state suffices, although it may be outdated.

        Raises:
            NotLeaderError: Another replica leads, or none.
            NoQuorumError: No quorum can be reached.
            DocumentMissingError: There is no document yet.
        """
        if not local:
            await self.confirm_leadership()
        sections = await self._proposer.read(lambda: self._state_machine.sections)
        if sections.stamp == NO_STAMP:
            raise DocumentMissingError("the group of control hosts has no document yet")
        if session.may_read(ACCESS_SECTION):
            return sections
        visible = {n: s for n, s in sections.sections.items() if n != ACCESS_SECTION}
        return msgspec.structs.replace(sections, sections=visible)

    async def read_section(
        self, name: SectionName, session: OperatorSession, *, local: bool
    ) -> StoredSection:
        """Return one section.

        Args:
            name: The section.
            session: The requesting team.
            local: Whether this replica's state suffices, although it may be outdated.

        Raises:
            SectionUnknownError: There is no such section.
            ForbiddenError: The team may not read it.
            SamphireError: As for `read`.
        """
        session.require_readable(name)
        section = (await self.read(session, local=local)).sections.get(name)
        if section is None:
            raise SectionUnknownError(f"there is no section {name}")
        return section

    async def change(
        self,
        name: SectionName,
        session: OperatorSession,
        *,
        base_version: SectionVersion,
        change_id: ChangeId,
        text: bytes | None,
    ) -> ChangeAccepted:
        """Replace, add or delete a section.

        Args:
            name: The section.
            session: The requesting team.
            base_version: Version that the change is based on; 0 adds a section.
            change_id: The client's id of the change; a resend gets the first result.
            text: JSON text; None deletes the section.

        Raises:
            VersionConflictError: The base version isn't the current one.
            DocumentInvalidError: The whole document would be invalid.
            LedgerLayoutFixedError: The change would move claims to other ledger groups.
            ChangeIdReusedError: The change id belongs to another change.
            ForbiddenError: The team doesn't own the section.
            CommitUnknownError: Whether the change is accepted is unknown; send it again.
            SamphireError: The log didn't accept the change.
        """
        command = ChangeSection(
            section=name,
            base_version=base_version,
            change_id=change_id,
            text=None if text is None else minify(text),
            team=session.team,
            at_ns=self._timers.read_wall_ns(),
        )
        accepted = _unwrap_result(await self._proposer.propose(command))
        await self._spread_commit()
        return accepted

    async def read_history(
        self, session: OperatorSession, *, section: SectionName | None, limit: int, local: bool
    ) -> tuple[ChangeRecord, ...]:
        """Return accepted changes, oldest first.

        Args:
            session: The requesting team.
            section: Only changes of this section.
            limit: Largest number of changes; the newest are returned.
            local: Whether this replica's state suffices, although it may be outdated.

        Raises:
            SamphireError: As for `read`.
        """
        await self.read(session, local=local)
        history = self._state_machine.history
        return await self._proposer.read(lambda: history.read_records(section=section, limit=limit))

    async def _spread_commit(self) -> None:
        """Wait until a quorum has heard of the latest commit, which is durable in any case.

        Otherwise the nodes would get an acknowledged change only after an election if the leader
        were lost at this moment.
        """
        with self._timers.move_on_at(self._timers.read_now_s() + SPREAD_TIMEOUT_S):
            try:
                await self._proposer.confirm_leadership(by_heartbeat_round=True)
            except SamphireError as error:
                _log.info(LogEvent.COMMIT_NOT_SPREAD, code=error.code.value)

    async def compare(
        self,
        name: SectionName,
        session: OperatorSession,
        *,
        old: SectionVersion,
        new: SectionVersion,
    ) -> str:
        """Return the unified diff between two versions of a section.

        Args:
            name: The section.
            session: The requesting team.
            old: Version that introduced the old text.
            new: Version that introduced the new text.

        Raises:
            SectionUnknownError: One of the texts isn't in the history.
            ForbiddenError: The team may not read the section.
        """
        session.require_readable(name)
        lines = difflib.unified_diff(
            format_lines(await self._find_text(name, old)),
            format_lines(await self._find_text(name, new)),
            fromfile=f"{name} version {old}",
            tofile=f"{name} version {new}",
            n=DIFF_CONTEXT_LINES,
            lineterm="",
        )
        return "\n".join(lines)

    async def _find_text(self, name: SectionName, version: SectionVersion) -> bytes:
        history = self._state_machine.history
        revision = await self._proposer.read(lambda: history.find_revision(name, version))
        if revision is None:
            raise SectionUnknownError(f"version {version} of section {name} isn't in the history")
        return revision.read_text()


def minify(text: bytes) -> bytes:
    """Return JSON text without whitespace, so that equal content has equal digests.

    Args:
        text: JSON text.
    """
    return msgspec.json.format(text, indent=-1)


def format_lines(text: bytes) -> list[str]:
    """Return JSON text as indented lines.

    Args:
        text: JSON text.
    """
    return msgspec.json.format(text, indent=DIFF_INDENT).decode().splitlines()


def _unwrap_result(result: DocumentResult) -> ChangeAccepted:
    match result:
        case ChangeAccepted():
            return result
        case ChangeConflict():
            raise VersionConflictError(result)
        case ChangeInvalid():
            raise DocumentInvalidError(result.problems)
        case LedgerLayoutFixed(layout=layout):
            raise LedgerLayoutFixedError(
                f"the ledger keeps {layout.shards} shards and {layout.groups} groups"
            )
        case ChangeIdReused():
            raise ChangeIdReusedError(f"change id {result.change_id} belongs to another change")
        case ChangeForbidden():
            raise ForbiddenError(f"team {result.team} doesn't own section {result.section}")
        case DocumentMissing() | DocumentInitialized() | DocumentReplaced() | RevisionConflict():
            raise DocumentMissingError("the group of control hosts has no document yet")
