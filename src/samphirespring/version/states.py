"""Enumerations used in the document."""

from enum import Enum


class PriorityClass(Enum):
    """Priority of a route's requests; `HELPER` traffic is shed first and never hedged."""

    INTERACTIVE = "interactive"
    ACTION = "action"
    HELPER = "helper"


class PlacementMode(Enum):
    """What decides, beside risk and distance, which target a request goes to."""

    SLOTS = "slots"
    """The free slots of each target."""

    WORK = "work"
    """What the request is likely to cost, and what each target still has to do."""


class DetectionMode(Enum):
    """Whether a service prefers short detection times or few false ejections."""

    FAST = "fast"
    CAREFUL = "careful"
