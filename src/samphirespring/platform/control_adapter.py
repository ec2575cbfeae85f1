"""Adapter for the platform's protocols at a control host."""

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


POOLED_BUDGET_SHARE = 0.84
"""Share of the fleet's retry budget that hosts may spend that grant retries for many fronts. What
few of the retries of refused attempts run, and make calls, needs a smaller rest."""


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
            defaults=read_defaults(self._settings),
            operator_port=self._settings.operator_port,
        ).make_app()


def read_defaults(settings: PlatformControlSettings) -> DeploymentDefaults:
    """Return what the deployment sets for all services and tenants.

    Args:
        settings: The settings of a control host.
    """
    bounds = settings.bounds
    return DeploymentDefaults(
        floor=float(bounds.get("floor-share", "0.7")),
        retry_share=float(bounds.get("retry-budget-ratio", "0.1")) * FRONT_BUDGET_SHARE,
        retry_floor=float(bounds.get("retry-budget-slack", "12")) * FRONT_BUDGET_SHARE,
        retry_plan=RetryPlan.BY_SERVICE,
        pooled_retry_factor=POOLED_BUDGET_SHARE / FRONT_BUDGET_SHARE,
        retry_window_s=parse_seconds(str(bounds.get("budget-window", "60s"))),
        admission=_read_admission(settings),
        key_lease_ms=_read_key_lease_ms(settings),
        quota_overshoot=float(bounds.get("quota-overshoot", "0")),
        quota_slack=int(bounds.get("quota-slack", "0")),
        quota_window_s=parse_seconds(str(bounds.get("quota-window", "5s"))),
    )


def _read_admission(settings: PlatformControlSettings) -> AdmissionMode:
    """Let attempts wait in an order where the contract on load beyond the targets' room holds."""
    return AdmissionMode.QUEUE if PRESSURE_CONTRACT in settings.contracts else AdmissionMode.BRIEF


def _read_key_lease_ms(settings: PlatformControlSettings) -> int:
    bounds = settings.bounds
    # A truth value may come as text: bounds are also given as `name=value`.
    if str(bounds.get("strict-revoke", False)).lower() != "true":
        return 0
    return round(parse_ms(str(bounds.get("revoke", "5s"))) * KEY_LEASE_SHARE)
