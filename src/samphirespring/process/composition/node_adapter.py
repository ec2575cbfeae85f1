"""Interface of a node's protocol adapter, which translates external protocols.

The project's own protocols are one implementation. A deployment with other protocols supplies its
own adapter and shares all decisions and state.
"""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from contextlib import AbstractAsyncContextManager
from typing import Any

import msgspec

from samphirespring.connection.backend_dialect import BackendDialect
from samphirespring.process.agent.agent_messages import AgentMessage
from samphirespring.process.caller_budget import CallerBudget
from samphirespring.process.front import Front
from samphirespring.process.mailbox import Mailbox
from samphirespring.process.node_readiness import NodeReadiness
from samphirespring.process.tasks import OwnerTask


class NodeComponents(msgspec.Struct, frozen=True, kw_only=True):
    """Components of a node that its adapter exposes.

    Attributes:
        front: Serves callers' requests.
        agent: Inbox of the agent, which receives announcements.
        tasks: All tasks, for dumps.
        readiness: Whether callers should use this node.
        caller_budget: What the node holds for callers.
        management_budget: What it holds for clients of its other HTTP ports.
    """

    front: Front
    agent: Mailbox[AgentMessage]
    tasks: Sequence[OwnerTask]
    readiness: NodeReadiness
    caller_budget: CallerBudget
    management_budget: CallerBudget


class NodeAdapter(ABC):
    """Protocols of a node towards callers, backend servers and processes on its host."""

    @abstractmethod
    def make_dialect(self) -> BackendDialect:
        """Return the header names and forms of refusal used with backend servers."""

    @abstractmethod
    def make_caller_app(self, components: NodeComponents) -> Any:
        """Return the ASGI application for callers.

        Args:
            components: The node's components.
        """

    @abstractmethod
    def serve_local(self, components: NodeComponents) -> AbstractAsyncContextManager[None]:
        """Serve announcements and other endpoints for this host while the context is open.

        Args:
            components: The node's components.
        """
