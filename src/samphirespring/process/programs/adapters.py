"""What a deployment puts around the programs: the protocols of those who use the fleet.

The programs' own protocols are one edge; another deployment brings another one and shares all
decisions and state.
"""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from typing import Any

from samphirespring.connection.backend_dialect import BackendDialect
from samphirespring.process.agent_messages import AgentMessage
from samphirespring.process.document.service import DocumentService
from samphirespring.process.front import Front
from samphirespring.process.mailbox import Mailbox
from samphirespring.process.node_readiness import NodeReadiness
from samphirespring.process.tasks import OwnerTask


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeComponents:
    """Parts of a node that its edge speaks for.

    Attributes:
        front: Serves callers' requests.
        agent: Inbox of the agent, which takes announcements.
        tasks: All tasks, for dumps.
        readiness: Tells whether callers should use this node.
    """

    front: Front
    agent: Mailbox[AgentMessage]
    tasks: Sequence[OwnerTask]
    readiness: NodeReadiness


@dataclass(frozen=True, slots=True, kw_only=True)
class ControlComponents:
    """Parts of a control host that its edge speaks for.

    Attributes:
        documents: The document.
        tasks: All tasks, for dumps.
    """

    documents: DocumentService
    tasks: Sequence[OwnerTask]


class NodeAdapter(ABC):
    """The protocols around a node."""

    @abstractmethod
    def make_dialect(self) -> BackendDialect:
        """Return how requests and answers look to backend servers."""

    @abstractmethod
    def make_caller_app(self, components: NodeComponents) -> Any:
        """Return the ASGI application for callers.

        Args:
            parts: The node's parts.
        """

    @abstractmethod
    def serve_local(self, components: NodeComponents) -> AbstractAsyncContextManager[None]:
        """Serve announcements, readiness and the like while the context is open.

        Args:
            parts: The node's parts.
        """


class ControlAdapter(ABC):
    """The protocol of operators at a control host."""

    @abstractmethod
    def make_operator_app(self, components: ControlComponents) -> Any:
        """Return the ASGI application for operators.

        Args:
            parts: The control host's parts.
        """
