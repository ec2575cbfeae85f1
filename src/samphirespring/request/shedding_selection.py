"""Selection while most targets of a service shed load.

It is designed for a load in which most targets of a service refuse about half of their requests
while they serve the others well. A target that sheds is avoided as one in a fault otherwise, which
helps only while there are enough others: all requests then queue before the few that shed nothing,
and end refused although the others would serve every second one.
"""

from collections.abc import Sequence

import msgspec

from samphirespring.process.detection.fault_risk import FaultModel
from samphirespring.request.selection import Choice

MIN_SHED_SHARE = 0.15
"""Share of its attempts from which a target counts as one that sheds."""

MIN_SHEDDING_TARGETS = 3
MOST_TARGETS = 0.5
"""Share of the targets that were heard of lately beyond which the service sheds as a whole."""

FEW_TARGETS = 0.25
"""Share up to which it no longer does; between the two it stays as it was."""

RECENT_S = 2.0
"""Age up to which a report tells what a target sheds now, in seconds."""

SHED_COST = 0.25
"""Cost of a target that sheds everything: a request that it sheds can be sent again, so it costs
less than a failure. It is below the cost of a target without a free slot."""


class SheddingView(msgspec.Struct, frozen=True, kw_only=True):
    """What a table sees of a service that may shed as a whole.

    Attributes:
        heard: Number of targets that were heard of lately.
        shedding: Number of these that shed.
    """

    heard: int
    shedding: int

    def is_whole(self, *, was_whole: bool) -> bool:
        """Return whether the service sheds as a whole.

        Args:
            was_whole: Whether it did so far.
        """
        if self.shedding < MIN_SHEDDING_TARGETS:
            return False
        share = FEW_TARGETS if was_whole else MOST_TARGETS
        return self.shedding > share * self.heard


def view_shedding(tiers: Sequence[Sequence[Choice]]) -> SheddingView:
    """Return how many of the targets shed, of those that were heard of lately.

    Args:
        tiers: The targets of the service.
    """
    heard = [c for tier in tiers for c in tier if c.risk_age_s <= RECENT_S]
    shedding = [c for c in heard if c.sheds is not None and c.sheds.share >= MIN_SHED_SHARE]
    return SheddingView(heard=len(heard), shedding=len(shedding))


def count_sheds_as_load(
    tiers: Sequence[Sequence[Choice]], model: FaultModel
) -> Sequence[Sequence[Choice]]:
    """Return the targets with the risks that they have if what they shed is no sign of a fault.

    Args:
        tiers: The targets of the service.
        model: Fault model of the service.
    """
    return [[_count_as_load(choice, model) for choice in tier] for tier in tiers]


def _count_as_load(choice: Choice, model: FaultModel) -> Choice:
    candidate = msgspec.structs.replace(choice.candidate, service_sheds=True)
    if choice.sheds is None:
        return msgspec.structs.replace(choice, candidate=candidate)
    return msgspec.structs.replace(
        choice,
        candidate=candidate,
        risk=model.decay(choice.sheds.fault_risk, choice.risk_age_s),
        shed_cost=SHED_COST * choice.sheds.share,
    )
