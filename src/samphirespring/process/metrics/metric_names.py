"""Names of all metrics; docs/OPERATIONS.md gives the unit of each and what to do about it."""

import re
from enum import Enum
from functools import lru_cache

from samphirespring.process.errors import InternalError

NAME_CACHE_SIZE = 4_096
"""Number of cached full names; a request uses about six."""

LABEL_PLACEHOLDER = re.compile(r"\b[A-Z]+\b")
"""An upper-case word in a metric's name, which a label value replaces."""


class Counter(Enum):
    """Counters; upper-case words in a name are placeholders for label values."""

    # Requests.
    FRONT_REQUESTS = "front.requests.OUTCOME"
    FRONT_ERRORS = "front.errors.CODE"
    FRONT_ATTEMPTS = "front.attempts"
    FRONT_REFUSALS = "front.refusals.REASON"
    FRONT_FAILURES = "front.failures.KIND"
    FRONT_HEDGES = "front.hedges"
    FRONT_STALL_RETRIES = "front.stall_retries"
    FRONT_RETRIES_GRANTED = "front.retries_granted"
    FRONT_RETRY_BUDGET_SPENT = "front.retry_budget_spent"
    FRONT_PATHS_LOST = "front.paths_lost"

    # Quotas.
    QUOTA_GRANTED = "quota.granted"
    QUOTA_REFUSED = "quota.refused.CAUSE"
    QUOTA_OFFLINE = "quota.offline"
    QUOTA_ALLOCATED = "quota.allocated"
    # Callers' connections.
    CALLERS_PAUSED = "callers.paused"
    CALLERS_ENDED = "callers.ended.REASON"

    # Links.
    LINK_BYTES_SENT = "link.TRAFFIC.bytes_sent"
    LINK_BYTES_RECEIVED = "link.TRAFFIC.bytes_received"

    # Targets.
    AGENT_OBSERVATIONS = "agent.observations.OUTCOME"
    AGENT_CONDITIONS = "agent.conditions.CONDITION"
    AGENT_EJECTIONS = "agent.ejections"
    AGENT_PROBES_OK = "agent.probes.ok"
    AGENT_PROBES_FAILED = "agent.probes.failed"
    AGENT_PROBES_DROPPED = "agent.probes.dropped"
    AGENT_TRIALS_CLEAN = "agent.trials.clean"
    AGENT_TRIALS_PASSED = "agent.trials.passed"
    AGENT_TRIALS_FAILED = "agent.trials.failed"
    AGENT_STALLS = "agent.stalls"
    AGENT_REFUSALS = "agent.refusals.REASON"

    # Actions and the ledger.
    ACTION_OUTCOMES = "action.outcomes.OUTCOME"
    ACTION_JOINED = "action.joined"
    ACTION_REPLAYED = "action.replayed"
    ACTION_RECORD_FAILED = "action.record_failed"
    LEDGER_RESULTS = "ledger.results.RESULT"

    # Registry.
    REGISTRY_REPORTS = "registry.reports"
    REGISTRY_RECORDS_SKIPPED = "registry.records_skipped"
    REGISTRY_EXPIRED = "registry.expired"

    # Replicated log.
    REPLICATION_BATCHES = "replication.batches"
    REPLICATION_DROPPED = "replication.dropped"
    REPLICATION_LOG_CORRUPT = "replication.log_corrupt"
    REPLICATION_DISK_FAILED = "replication.disk_failed"

    # Document and access.
    DOCUMENT_SOURCE_FAILED = "document.source_failed"
    DOCUMENT_SOURCES_FAILED = "document.sources_failed"
    DOCUMENT_SAVE_FAILED = "document.save_failed"
    DOCUMENT_FILE_INVALID = "document.file_invalid"
    KEY_REFUSALS = "keys.refusals.REASON"
    TLS_RELOADED = "tls.reloaded"
    TLS_RELOAD_FAILED = "tls.reload_failed"


class Gauge(Enum):
    """Gauges; upper-case words in a name are placeholders for label values."""

    CALLERS_HELD_BYTES = "callers.held_bytes"
    CALLERS_CONNECTIONS = "callers.connections"
    AGENT_QUEUE_WAITING = "agent.queue.waiting"
    AGENT_SLOTS = "agent.slots.all"
    AGENT_SLOTS_USED = "agent.slots.used"
    AGENT_UNSENT_BYTES = "agent.unsent_bytes"
    LEDGER_CLAIMS = "ledger.claims.GROUP.STATE"
    REGISTRY_HELD = "registry.held"
    DOCUMENT_VERSION = "document.version"
    KEY_LEASE_REMAINING = "keys.lease_remaining"


class Timing(Enum):
    """Durations."""

    FRONT_REQUEST_DURATION = "front.request_duration"
    FRONT_EXPECTED_WAIT = "front.expected_wait"
    FRONT_EXPECTED_RUN = "front.expected_run"
    AGENT_DETECTION_TIME = "agent.detection_time"
    AGENT_SLOT_WAIT = "agent.slot_wait"
    AGENT_PROBE_DURATION = "agent.probe_duration"
    REPLICATION_WRITE = "replication.write"


MetricName = Counter | Gauge | Timing


@lru_cache(maxsize=NAME_CACHE_SIZE)
def make_metric_name(name: MetricName, label_values: tuple[str, ...]) -> str:
    """Return the full name of a metric, with label values in place of the placeholders.

    Args:
        name: The metric.
        label_values: Values for the upper-case placeholders in the name, in their order.

    Raises:
        InternalError: The number of label values differs from the number of placeholders.
    """
    pattern: str = name.value
    remaining = iter(label_values)
    try:
        full = LABEL_PLACEHOLDER.sub(lambda _: next(remaining), pattern)
    except StopIteration:
        raise InternalError(f"{pattern} needs more label values than {label_values}") from None
    if next(remaining, None) is not None:
        raise InternalError(f"{pattern} needs fewer label values than {label_values}")
    return full
