"""Waits until a version of the document is in force everywhere."""

from rich.console import Console
from rich.live import Live

from samphirespring.connection.operator_client import OperatorClient
from samphirespring.connection.operator_messages import InForceView
from samphirespring.process.operation.tables import make_progress_table
from samphirespring.process.timers import TimerService
from samphirespring.version.ids import DocumentVersion

POLL_INTERVAL_S = 0.25


async def wait_until_in_force(
    client: OperatorClient,
    version: DocumentVersion,
    *,
    timers: TimerService,
    timeout_s: float,
    show_progress: bool,
) -> InForceView:
    """Return the progress once the version is in force everywhere, or after the timeout.

    Args:
        client: Client of the control hosts.
        version: The version.
        timers: The timer service.
        timeout_s: Longest wait, in seconds.
        show_progress: Whether to show the counts on standard error while they change.
    """
    deadline_at_s = timers.read_now_s() + timeout_s
    path = f"/v1/document/in-force?version={version}"
    view = await client.read(path, InForceView)
    console = Console(stderr=True, quiet=not show_progress)
    with Live(make_progress_table(view), console=console, transient=True) as live:
        while not view.complete and timers.read_now_s() < deadline_at_s:
            await timers.wait_for(POLL_INTERVAL_S)
            view = await client.read(path, InForceView)
            live.update(make_progress_table(view))
    return view
