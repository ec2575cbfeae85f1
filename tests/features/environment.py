"""Hooks for all features."""

import logging
import os
import tempfile
from pathlib import Path

import structlog
from behave import fixture, use_fixture
from hypothesis import HealthCheck, settings
from hypothesis.internal.conjecture import providers

from fleet.example import place_example
from fleet.processes import run_fleet

# The tests check outcomes; log lines would hide the summary of results.
structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))

settings.register_profile(
    "ci",
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile("ci")

# Hypothesis mixes constants from the sources of all loaded modules into its draws. Without them, a
# run draws the same values regardless of added code and of the features that ran before.
providers._get_local_constants = lambda: providers._local_constants

PORT_OFFSET = int(os.environ.get("SAMPHIRE_PORT_OFFSET", "0"))


@fixture
def wheatsheaf_fleet(context):
    """Run the Wheatsheaf example; the fleet is `context.fleet`."""
    with tempfile.TemporaryDirectory(prefix="wheatsheaf-") as folder:
        example = place_example("wheatsheaf", Path(folder), port_offset=PORT_OFFSET)
        with run_fleet(example) as fleet:
            context.fleet = fleet
            yield fleet


def before_tag(context, tag):
    if tag == "fixture.wheatsheaf_fleet":
        use_fixture(wheatsheaf_fleet, context)
