"""Placement of the ledger groups' replicas on control hosts."""

import math
from collections import Counter
from collections.abc import Collection, Sequence

import msgspec

from samphirespring.process.ids import FailureDomainName, GroupId, RegionName, ReplicaId
from samphirespring.process.rendezvous import hash_pair

REPLICAS_PER_GROUP = 3
"""Three replicas tolerate the loss of any one failure domain."""

HOME_REGION_REPLICAS = 2
"""Replicas in the same region, so that a commit needs no round trip to another region."""

MAX_LOAD_FACTOR = 1.25
"""Most replicas on one host, as a multiple of the mean.

A lower factor moves more groups when a host joins or leaves.
"""


class ControlHostLocation(msgspec.Struct, frozen=True, kw_only=True):
    """Location of a control host.

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

    The criteria, the most important first:

    - No two replicas of a group share a failure domain while there are enough domains.
    - No host holds many more replicas than the mean.
    - Two replicas are in one region and the third is in another one: a commit takes one round trip
      inside the region, and the group tolerates the loss of any one failure domain.
    - Rendezvous hashing decides between equal hosts, so that a new host takes over few groups.

    Args:
        groups: The groups, in an order that is the same in every process.
        hosts: All control hosts.
    """
    replica_count = min(REPLICAS_PER_GROUP, len(hosts))
    limit = math.ceil(MAX_LOAD_FACTOR * len(groups) * replica_count / max(1, len(hosts)))
    loads: Counter[ReplicaId] = Counter()
    placement: dict[GroupId, tuple[ReplicaId, ...]] = {}
    for group in groups:
        full_hosts = frozenset(replica for replica, load in loads.items() if load >= limit)
        chosen: list[ControlHostLocation] = []
        while len(chosen) < replica_count:
            chosen.append(_choose_next(group, hosts, chosen, full_hosts))
        placement[group] = tuple(host.replica for host in chosen)
        loads.update(placement[group])
    return placement


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
