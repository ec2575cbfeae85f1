"""Base classes of the tasks of a process and of their dumps."""

from abc import ABC, abstractmethod

import msgspec

from samphirespring.process.paging import DumpPage, ListUnknownError, PageInfo, PageRequest


class StateDump(msgspec.Struct, frozen=True, kw_only=True):
    """Base of the state that a task shows in the dump; it must not contain secrets."""


class PagedDump(StateDump, frozen=True, kw_only=True):
    """Base of dumps with long lists; the dump contains the first page of each."""

    pages: tuple[PageInfo, ...]
    """Size of each long list and the cursor for its second page."""


class OwnerTask(ABC):
    """A task that alone reads and writes its state and sockets; others send it messages."""

    @property
    @abstractmethod
    def name(self) -> str:
        """Name in dumps and logs, unique in the process."""

    @abstractmethod
    async def run(self) -> None:
        """Serve messages and ticks until cancelled."""

    @abstractmethod
    async def dump(self) -> StateDump:
        """Return a consistent snapshot of the task's state, for operators."""

    async def dump_page(self, request: PageRequest) -> DumpPage[object]:
        """Return one page of a long list of the state.

        Args:
            request: The list, and where the page starts.

        Raises:
            ListUnknownError: The task has no such list.
        """
        raise ListUnknownError(f"{self.name} has no long list {request.list.value}")
