"""Selection of the subset of a service's targets that a front uses."""

from collections.abc import Collection, Sequence

from samphirespring.process.ids import HostId, TargetId
from samphirespring.process.rendezvous import hash_pair
from samphirespring.process.targets import Locality
from samphirespring.request.selection import Candidate, Distance, measure_distance

MIN_PER_DISTANCE = 2
"""Minimum number of targets to use at each distance, if there are as many."""

COVERING_FRONTS = 2
"""Number of fronts in a target's region that always include it in their subset."""


def choose_subset(
    candidates: Collection[Candidate],
    *,
    locality: Locality,
    region_hosts: Collection[HostId],
    size: int,
    whole: Distance = Distance.SAME_HOST,
) -> tuple[tuple[Candidate, ...], ...]:
    """Return the targets that a front uses by distance, nearest first.

    Targets at the same distance are ordered by rendezvous hashing of the front's host and the
    target's host, so that a front prefers the same hosts for all services and keeps its links when
    targets are added or removed. Every target is also used by some fronts of its own region.

    Args:
        candidates: The service's usable targets.
        locality: Locality of the front.
        region_hosts: Hosts in the front's region that run a front.
        size: Number of targets to use, if the service has more.
        whole: Distance up to which all targets are used; those on the front's host always are.
    """
    tiers: dict[Distance, list[Candidate]] = {distance: [] for distance in Distance}
    for candidate in candidates:
        tiers[measure_distance(locality, candidate.locality)].append(candidate)
    if len(candidates) <= size:
        return tuple(tuple(tier) for tier in tiers.values())
    ranked = [_rank(tier, locality.host) for tier in tiers.values()]
    quotas = _allocate_quotas([len(tier) for tier in ranked], size, whole=whole)
    return tuple(
        (*tier[:quota], *_list_covering(tier[quota:], locality=locality, region_hosts=region_hosts))
        for tier, quota in zip(ranked, quotas, strict=True)
    )


def _rank(tier: Sequence[Candidate], host: HostId) -> list[Candidate]:
    return sorted(tier, key=lambda c: (hash_pair(host, c.locality.host), hash_pair(host, c.target)))


def _allocate_quotas(sizes: Sequence[int], size: int, *, whole: Distance) -> list[int]:
    """Return the number of targets by distance: all of the near ones, and a minimum of each."""
    quotas = [min(count, max(MIN_PER_DISTANCE, size // len(sizes))) for count in sizes]
    # Targets on the front's own host need no link.
    quotas[: whole + 1] = sizes[: whole + 1]
    remaining = max(0, size - sum(quotas))
    for position, count in enumerate(sizes):
        extra = min(remaining, count - quotas[position])
        quotas[position] += extra
        remaining -= extra
    return quotas


def _list_covering(
    rest: Sequence[Candidate], *, locality: Locality, region_hosts: Collection[HostId]
) -> list[Candidate]:
    """Return the remaining targets that this front must use."""
    return [
        candidate
        for candidate in rest
        if candidate.locality.region == locality.region
        and _is_covering(locality.host, candidate.target, region_hosts)
    ]


def _is_covering(host: HostId, target: TargetId, region_hosts: Collection[HostId]) -> bool:
    own_hash = hash_pair(target, host)
    closer_count = 0
    for other in region_hosts:
        if other != host and hash_pair(target, other) < own_hash:
            closer_count += 1
            if closer_count >= COVERING_FRONTS:
                return False
    return True
