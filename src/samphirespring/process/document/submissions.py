"""Documents that were submitted as a whole: the newest one, and recently accepted ones."""

from collections import OrderedDict

from samphirespring.process.document.commands import (
    AcceptedSubmission,
    ReplaceDocument,
    SubmittedDocument,
)
from samphirespring.version.ids import Revision

MAX_RECORDED_SUBMISSIONS = 20_000
"""Accepted submissions whose resends are recognised: about two days at 9,600 changes a day."""


class Submissions:
    """The revision in force, its text, and the digests of accepted submissions.

    Args:
        capacity: Largest number of recorded submissions.
    """

    def __init__(self, *, capacity: int = MAX_RECORDED_SUBMISSIONS) -> None:
        self._capacity = capacity
        self._accepted: OrderedDict[bytes, Revision] = OrderedDict()
        self._newest = SubmittedDocument()

    @property
    def newest(self) -> SubmittedDocument:
        """The newest submitted document, without the list of accepted ones."""
        return self._newest

    def find_accepted(self, command: ReplaceDocument) -> Revision | None:
        """Return the revision that an earlier copy of the command made, or None.

        Args:
            command: The submission.
        """
        return self._accepted.get(command.digest)

    def accept(self, command: ReplaceDocument) -> None:
        """Record an accepted submission as the newest one.

        Args:
            command: The submission.
        """
        self._accepted[command.digest] = command.revision
        while len(self._accepted) > self._capacity:
            self._accepted.popitem(last=False)
        self._newest = SubmittedDocument(revision=command.revision, submitted=command.submitted)

    def drop_text(self) -> None:
        """Drop the submitted text, which isn't in force once a single section was changed."""
        self._newest = SubmittedDocument(revision=self._newest.revision)

    def capture(self) -> SubmittedDocument:
        """Return the state for a snapshot."""
        accepted = tuple(
            AcceptedSubmission(digest=digest, revision=revision)
            for digest, revision in self._accepted.items()
        )
        return SubmittedDocument(
            revision=self._newest.revision, submitted=self._newest.submitted, accepted=accepted
        )

    def restore(self, state: SubmittedDocument) -> None:
        """Replace the state.

        Args:
            state: What `capture` returned.
        """
        self._accepted = OrderedDict((entry.digest, entry.revision) for entry in state.accepted)
        self._newest = SubmittedDocument(revision=state.revision, submitted=state.submitted)
