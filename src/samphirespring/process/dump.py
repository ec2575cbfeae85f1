"""Dump of the whole state of a process."""

from collections.abc import Sequence

from samphirespring.process.paging import DumpPage, ListUnknownError, PageRequest
from samphirespring.process.tasks import OwnerTask, StateDump


async def collect_dump(tasks: Sequence[OwnerTask]) -> dict[str, StateDump]:
    """Return the state of each task by its name, with only the first page of long lists.

    Args:
        tasks: The process's tasks.
    """
    return {task.name: await task.dump() for task in tasks}


async def read_dump_page(tasks: Sequence[OwnerTask], request: PageRequest) -> DumpPage[object]:
    """Return one page of a long list.

    Args:
        tasks: The process's tasks.
        request: The list, and where the page starts.

    Raises:
        ListUnknownError: No task has such a list.
    """
    for task in tasks:
        if task.name == request.task:
            return await task.dump_page(request)
    raise ListUnknownError(f"no task is named {request.task}")
