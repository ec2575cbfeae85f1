"""Enumerations used in the document."""

from enum import Enum


class PriorityClass(Enum):
    """Priority of a route's requests; `HELPER` traffic is shed first and never hedged."""

    INTERACTIVE = "interactive"
    ACTION = "action"
    HELPER = "helper"


class RetryPlan(Enum):
    """Who decides on retries while most targets of a service shed load."""

    BY_FRONT = "by_front"
    """Each front by its own part of the retry budget; targets that shed are avoided."""

    BY_SERVICE = "by_service"
    """The host that selects the service's targets, for all fronts that ask it; targets that shed
    are used, as there are too few others."""


class DetectionMode(Enum):
    """Whether a service prefers short detection times or few false ejections."""

    FAST = "fast"
    CAREFUL = "careful"
