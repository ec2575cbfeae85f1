"""Which control hosts hold the replicas of each ledger group."""

import math
from collections import Counter
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from samphirespring.process.ids import FailureDomainName, GroupId, RegionName, ReplicaId
from samphirespring.process.rendezvous import hash_pair

REPLICAS_PER_GROUP = 3
"""Enough to lose any one failure domain."""

HOME_REGION_REPLICAS = 2
"""Replicas in one region, so that a commit needs no trip to another one."""

MAX_LOAD_FACTOR = 1.25
"""Replicas that a host may hold, as a multiple of the mean; less moves more groups with a host."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ControlHostLocation:
    """Where a control host stands.

    Attributes:
        replica: The control host.
        region: Its region.
        failure_domain: Its failure domain.
    """

    replica: ReplicaId
    region: RegionName
    failure_domain: FailureDomainName


def place_groups(
    groups: Sequence[GroupId], hosts: Collection[ControlHostLocation]
) -> dict[GroupId, tuple[ReplicaId, ...]]:
    """Return the hosts of each group, the same in every process.

    No two replicas of a group share a failure domain while there are enough domains. Next, no host
    holds many more than the mean. Next, two replicas stand in one region and one elsewhere: a
    commit takes a trip inside the region, and any one failure domain may be lost. Among equal
    hosts rendezvous hashing decides, so that a new host takes few groups over.

    Args:
        groups: The groups, in an order that is the same in every process.
        hosts: All control hosts.
    """
    replica_count = min(REPLICAS_PER_GROUP, len(hosts))
    limit = math.ceil(MAX_LOAD_FACTOR * len(groups) * replica_count / max(1, len(hosts)))
    loads: Counter[ReplicaId] = Counter()
    placed: dict[GroupId, tuple[ReplicaId, ...]] = {}
    for group in groups:
        full_hosts = frozenset(replica for replica, load in loads.items() if load >= limit)
        chosen: list[ControlHostLocation] = []
        while len(chosen) < replica_count:
            chosen.append(_choose_next(group, hosts, chosen, full_hosts))
        placed[group] = tuple(host.replica for host in chosen)
        loads.update(placed[group])
    return placed


def _choose_next(
    group: GroupId,
    hosts: Collection[ControlHostLocation],
    chosen: Sequence[ControlHostLocation],
    full_hosts: Collection[ReplicaId],
) -> ControlHostLocation:
    used_domains = {host.failure_domain for host in chosen}
    home_region = chosen[0].region if chosen else None
    needs_home_replica = len(chosen) < HOME_REGION_REPLICAS
    return min(
        (host for host in hosts if host not in chosen),
        key=lambda host: (
            host.failure_domain in used_domains,
            host.replica in full_hosts,
            home_region is not None and (host.region == home_region) != needs_home_replica,
            hash_pair(group, host.replica),
            host.replica,
        ),
    )
