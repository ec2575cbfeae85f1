"""Adapter for the platform's protocols at a control host."""

from collections.abc import Mapping
from typing import Any

from samphirespring.platform.configuration import ServiceDefaults
from samphirespring.platform.operator_http import ConfigurationApp
from samphirespring.platform.settings import PlatformControlSettings
from samphirespring.platform.units import parse_seconds
from samphirespring.process.composition.control_adapter import ControlAdapter, ControlComponents
from samphirespring.version.states import RetryPlan

FRONT_BUDGET_SHARE = 0.6
"""Share of the fleet's retry budget that the fronts may spend.

The rest is for the calls that a repeated execution makes in turn, which count against the budget
too.
"""


POOLED_BUDGET_SHARE = 0.75
"""Share of the fleet's retry budget that hosts may spend that grant retries for many fronts.

The rest is for the calls of retries that run, as above, for retries that are granted in one window
and reach a target in the next, and for what is spent twice if such a host fails.
"""


class PlatformControlAdapter(ControlAdapter):
    """Serves the operator's calls at a control host.

    Args:
        settings: The host's settings.
    """

    def __init__(self, settings: PlatformControlSettings) -> None:
        self._settings = settings

    def make_operator_app(self, components: ControlComponents) -> Any:
        """Return the ASGI application for the operator."""
        return ConfigurationApp(
            components.documents,
            defaults=read_defaults(self._settings.bounds),
            operator_port=self._settings.operator_port,
        ).make_app()


def read_defaults(bounds: Mapping[str, str | float | bool]) -> ServiceDefaults:
    """Return the values that a deployment sets for all services.

    Retries are planned for a service as a whole where the deployment has a budget of all hosts.

    Args:
        bounds: Limits of the deployment by name.
    """
    has_budget = "retry-budget-ratio" in bounds
    return ServiceDefaults(
        floor=float(bounds.get("floor-share", "0.7")),
        retry_share=float(bounds.get("retry-budget-ratio", "0.1")) * FRONT_BUDGET_SHARE,
        retry_floor=float(bounds.get("retry-budget-slack", "12")) * FRONT_BUDGET_SHARE,
        retry_plan=RetryPlan.BY_SERVICE if has_budget else RetryPlan.BY_FRONT,
        pooled_retry_factor=POOLED_BUDGET_SHARE / FRONT_BUDGET_SHARE,
        retry_window_s=parse_seconds(str(bounds.get("budget-window", "60s"))),
    )
