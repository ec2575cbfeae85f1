"""Enumerations used in the document."""

from enum import Enum


class PriorityClass(Enum):
    """Priority of a route's requests; `HELPER` traffic is shed first and never hedged."""

    INTERACTIVE = "interactive"
    ACTION = "action"
    HELPER = "helper"


class AdmissionMode(Enum):
    """What happens to attempts that find no free slot at a target."""

    BRIEF = "brief"
    """They wait for some hundredths of a second, and are then tried elsewhere."""

    QUEUE = "queue"
    """They wait in an order as long as they can be served in time."""


class PlacementMode(Enum):
    """What decides, beside risk and distance, which target a request goes to."""

    SLOTS = "slots"
    """The free slots of each target."""

    WORK = "work"
    """What the request is likely to cost, and what each target still has to do."""


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
