"""Enumerations used in the document."""

from enum import Enum


class PriorityClass(Enum):
    """Priority of a route's requests; `HELPER` traffic is shed first and never hedged."""

    INTERACTIVE = "interactive"
    ACTION = "action"
    HELPER = "helper"


class DetectionMode(Enum):
    """Whether a service prefers short detection times or few false ejections."""

    FAST = "fast"
    CAREFUL = "careful"
