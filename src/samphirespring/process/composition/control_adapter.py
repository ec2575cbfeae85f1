"""Interface of a control host's protocol adapter, which translates external protocols."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import Any

import msgspec

from samphirespring.process.document.service import DocumentService
from samphirespring.process.tasks import OwnerTask


class ControlComponents(msgspec.Struct, frozen=True, kw_only=True):
    """Components of a control host that its adapter exposes.

    Attributes:
        documents: Reads and changes the document.
        tasks: All tasks, for dumps.
    """

    documents: DocumentService
    tasks: Sequence[OwnerTask]


class ControlAdapter(ABC):
    """Protocol of a control host towards operators."""

    @abstractmethod
    def make_operator_app(self, components: ControlComponents) -> Any:
        """Return the ASGI application for operators.

        Args:
            components: The control host's components.
        """
