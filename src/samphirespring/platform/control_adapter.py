"""Adapter for the platform's protocols at a control host."""

from collections.abc import Collection, Mapping
from typing import Any

from samphirespring.platform.configuration import DeploymentDefaults
from samphirespring.platform.operator_http import ConfigurationApp
from samphirespring.platform.settings import PlatformControlSettings
from samphirespring.platform.units import parse_ms, parse_seconds
from samphirespring.process.composition.control_adapter import ControlAdapter, ControlComponents
from samphirespring.version.states import AdmissionMode, RetryPlan

KEY_LEASE_SHARE = 0.95
"""Share of the time until a withdrawn key must not be used that permissions to use keys last.

The rest is for clocks of different speed: a request whose key was checked was sent before that.
"""

PRESSURE_CONTRACT = "pressure"
"""Contract of deployments whose callers ask for more than the targets have room for, at times."""

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
            defaults=read_defaults(self._settings.bounds, contracts=self._settings.contracts),
            operator_port=self._settings.operator_port,
        ).make_app()


def read_defaults(
    bounds: Mapping[str, str | float | bool], *, contracts: Collection[str] = ()
) -> DeploymentDefaults:
    """Return what the deployment sets for all services and tenants.

    Where the contract on load beyond the targets' room holds, attempts wait in an order, and
    retries are planned for a service as a whole within the budget of all hosts.

    Args:
        bounds: Limits of the deployment by name.
        contracts: Parts of the platform's rules that are in force.
    """
    has_pressure = PRESSURE_CONTRACT in contracts
    has_budget = "retry-budget-ratio" in bounds
    return DeploymentDefaults(
        floor=float(bounds.get("floor-share", "0.7")),
        retry_share=float(bounds.get("retry-budget-ratio", "0.1")) * FRONT_BUDGET_SHARE,
        retry_floor=float(bounds.get("retry-budget-slack", "12")) * FRONT_BUDGET_SHARE,
        retry_plan=RetryPlan.BY_SERVICE if has_pressure and has_budget else RetryPlan.BY_FRONT,
        pooled_retry_factor=POOLED_BUDGET_SHARE / FRONT_BUDGET_SHARE,
        retry_window_s=parse_seconds(str(bounds.get("budget-window", "60s"))),
        admission=AdmissionMode.QUEUE if has_pressure else AdmissionMode.BRIEF,
        key_lease_ms=_read_key_lease_ms(bounds),
        quota_overshoot=float(bounds.get("quota-overshoot", "0")),
        quota_slack=int(bounds.get("quota-slack", "0")),
        quota_window_s=parse_seconds(str(bounds.get("quota-window", "5s"))),
    )


def _read_key_lease_ms(bounds: Mapping[str, str | float | bool]) -> int:
    # A truth value may come as text: bounds are also given as `name=value`.
    if str(bounds.get("strict-revoke", False)).lower() != "true":
        return 0
    return round(parse_ms(str(bounds.get("revoke", "5s"))) * KEY_LEASE_SHARE)
