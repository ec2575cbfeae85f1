"""Budgets of a process for its clients: callers, and clients of the ports for its management.

Each kind has a budget of its own, so that a crowd at one port takes nothing from the others.
"""

from samphirespring.connection.listener import compute_descriptor_limit
from samphirespring.process.caller_budget import BudgetLimits, CallerBudget
from samphirespring.process.settings import CallerLimits, ManagementLimits
from samphirespring.process.timers import TimerService

UNCALLED_DESCRIPTOR_SHARE = 1 / 4
"""Share of the descriptors that callers' connections leave free before idle ones are closed: more
than a listener reserves, or the node would accept no connection before it closes one."""


def make_budget_limits(limits: CallerLimits | ManagementLimits) -> BudgetLimits:
    """Return the limits of what is held for clients.

    Args:
        limits: Limits from the settings.
    """
    connections = min(limits.connections, compute_descriptor_limit(UNCALLED_DESCRIPTOR_SHARE))
    return BudgetLimits(
        held_bytes=limits.held_bytes, connections=connections, unread_s=limits.unread_s
    )


def make_client_budget(
    limits: CallerLimits | ManagementLimits, *, timers: TimerService
) -> CallerBudget:
    """Return a budget with limits from the settings.

    Args:
        limits: The limits.
        timers: The timer service.
    """
    return CallerBudget(make_budget_limits(limits), read_now_s=timers.read_now_s)
