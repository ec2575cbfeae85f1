"""Chooses the host whose target table selects the targets of a service for its neighbours.

It is designed for fleets in which each front sends little to each target: whether a target is in a
short fault, and which slots are free, is known best where the attempts of many fronts meet.
"""

from collections.abc import Iterable

from samphirespring.process.document.relay_tree import Peer
from samphirespring.process.rendezvous import hash_pair
from samphirespring.process.targets import Locality
from samphirespring.request.selection import Candidate, Distance, measure_distance
from samphirespring.version.ids import ServiceName

MIN_DOMAIN_TARGETS = 6
"""Number of targets in a failure domain from which the domain has a scheduler of its own; with
fewer there is one for the region, so that it has enough targets to choose from."""


def choose_scheduler(
    service: ServiceName, candidates: Iterable[Candidate], *, locality: Locality
) -> Peer | None:
    """Return the host to ask, or None if there is none in the front's region.

    Hosts that have the same table choose the same one; it changes only when it leaves, or when a
    host arrives that ranks higher.

    Args:
        service: The service.
        candidates: Its usable targets on hosts that the front can reach.
        locality: Locality of the front.
    """
    near: list[Candidate] = []
    domain_count = 0
    for candidate in candidates:
        distance = measure_distance(locality, candidate.locality)
        if distance <= Distance.SAME_REGION:
            near.append(candidate)
            domain_count += distance <= Distance.SAME_FAILURE_DOMAIN
    if domain_count >= MIN_DOMAIN_TARGETS:
        domain = locality.failure_domain
        near = [c for c in near if c.locality.failure_domain == domain]
    if not near:
        return None
    chosen = max(near, key=lambda c: (hash_pair(service, c.locality.host), c.locality.host))
    return Peer(host=chosen.locality.host, link_address=chosen.link_address)
