"""Enumerations of outcomes, evidence and admission."""

from enum import Enum


class ObservedOutcome(Enum):
    """How an attempt on a target ended, as evidence."""

    OK = "ok"
    WRONG = "wrong"
    """The response doesn't meet the expectations of the route."""

    RESET = "reset"
    TIMEOUT = "timeout"
    CUT = "cut"
    SHED = "shed"
    """The target refused the request because of its load; no evidence against it."""

    CLIENT_ERROR = "client_error"
    """Error of the caller; no evidence against the target."""


class EvidenceKind(Enum):
    """Test with the strongest evidence against a target."""

    NONE = "none"
    LATENCY = "latency"
    FAILURES = "failures"
    """A large share of failures."""

    FAILURE_TREND = "failure_trend"
    """A small share of failures over a longer time."""

    CONSECUTIVE = "consecutive"
    THRESHOLD = "threshold"


class AdmissionLevel(Enum):
    """Requests that a front sends to a target."""

    FULL = "full"
    TRIAL = "trial"
    """A small share of the idempotent requests."""

    EJECTED = "ejected"
