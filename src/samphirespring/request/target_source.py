"""Interface that selects targets for attempts."""

from abc import ABC, abstractmethod
from contextlib import AbstractAsyncContextManager

import msgspec

from samphirespring.process.ids import TargetId, WorkKind
from samphirespring.process.targets import TargetLoad
from samphirespring.request.selection import Candidate
from samphirespring.version.ids import ServiceName


class SelectionTerms(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What an attempt needs of its target.

    Attributes:
        service: The service.
        tried: Targets that already failed or refused the request.
        suspected: Targets that refused it because they may be faulty and others seemed better.
        idempotent: Whether the request is idempotent; others never go to targets on trial.
        body_bytes: Length of the request's body; 0 if it isn't known.
        kind: Kind of the request, by which its cost is expected; None if it isn't known.
        aim_ms: Time within which a response is useful, in milliseconds.
    """

    service: ServiceName
    tried: frozenset[TargetId] = frozenset()
    suspected: frozenset[TargetId] = frozenset()
    idempotent: bool = True
    body_bytes: int = 0
    kind: WorkKind | None = None
    aim_ms: int = 0

    @property
    def is_first(self) -> bool:
        """Whether the request hasn't been sent to any target yet."""
        return not self.tried and not self.suspected


class Selection(ABC):
    """A target that was selected; it counts as used until the selection ends."""

    @property
    @abstractmethod
    def candidate(self) -> Candidate:
        """The target."""

    @abstractmethod
    def report_load(self, load: TargetLoad) -> None:
        """Pass on the target's load, which its agent sent with the result of the attempt.

        Args:
            load: The load.
        """


class TargetSource(ABC):
    """Selects targets."""

    @abstractmethod
    def select(self, terms: SelectionTerms) -> AbstractAsyncContextManager[Selection | None]:
        """Select the target of the next attempt, or None; leaving the context ends the selection.

        Args:
            terms: What the attempt needs.
        """
