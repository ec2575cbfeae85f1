"""Tree of hosts that relay the document; every host computes the same tree from the registry."""

import math
from collections.abc import Collection, Sequence

import msgspec
import xxhash

from samphirespring.process.ids import FailureDomainName, HostId

RELAYS_PER_DOMAIN = 2
"""Number of hosts of a failure domain that watch the control hosts directly."""

LEVEL_FACTOR = 4
"""Ratio of the size of a level of the tree to the level above."""

HOSTS_PER_CONFIRMING_RELAY = 16
"""Hosts of a failure domain that one relay confirms the newest version of the document to."""

SOURCES_PER_HOST = 2
"""Number of hosts of the level above that a host watches at the same time."""


class Peer(msgspec.Struct, frozen=True, kw_only=True):
    """A host of the same failure domain."""

    host: HostId
    link_address: str


def choose_sources(
    peers: Sequence[Peer],
    *,
    domain: FailureDomainName,
    own_host: HostId,
    excluded: Collection[str],
    chained: bool = False,
) -> tuple[Peer, ...]:
    """Return the hosts to watch, the one to report to first; if empty, watch the control hosts.

    The first hosts in an order that follows from their names alone are the relays. The others
    form levels below, each larger by a constant factor, so that each host serves only a few.

    Args:
        peers: Hosts of the failure domain as the registry has them.
        domain: The failure domain.
        own_host: The host to choose for.
        excluded: Link addresses that failed recently.
        chained: Whether only the first relay contacts the control hosts, and the other relays
            contact it, so that frequent requests cross the distance to the control hosts only once
            for the failure domain.
    """
    ordered = sorted(peers, key=lambda peer: _rank(domain, peer.host))
    position = next((i for i, peer in enumerate(ordered) if peer.host == own_host), None)
    levels = _split_levels(ordered)
    if position is None:
        level, index = len(levels), 0
    else:
        level, index = _find_level(levels, position)
    if chained and level == 0 and index > 0:
        return tuple(peer for peer in levels[0][:1] if peer.link_address not in excluded)
    while level > 0:
        level -= 1
        sources = _choose_from(levels[level], index, own_host=own_host, excluded=excluded)
        if sources:
            return sources
    return ()


class ConfirmingRelays(msgspec.Struct, frozen=True, kw_only=True):
    """The hosts that confirm the newest version of the document to another host.

    Attributes:
        relays: The relay of the host, and another host in case that it fails.
        own_host_is_relay: Whether the host itself is a relay, which asks the control hosts.
    """

    relays: tuple[Peer, ...]
    own_host_is_relay: bool


def choose_confirming_relays(
    peers: Sequence[Peer], *, domain: FailureDomainName, own_host: HostId
) -> ConfirmingRelays:
    """Return the relays of a host; a confirmation passes one relay at most.

    The first hosts in the order of the tree are relays, one for `HOSTS_PER_CONFIRMING_RELAY` hosts.

    Args:
        peers: Hosts of the failure domain as the registry has them.
        domain: The failure domain.
        own_host: The host to choose for.
    """
    ordered = sorted(peers, key=lambda peer: _rank(domain, peer.host))
    count = math.ceil(len(ordered) / HOSTS_PER_CONFIRMING_RELAY)
    position = next((i for i, peer in enumerate(ordered) if peer.host == own_host), len(ordered))
    first = position % count if count else 0
    relays = ordered[first : first + 2]
    return ConfirmingRelays(
        relays=tuple(peer for peer in relays if peer.host != own_host),
        own_host_is_relay=position < count,
    )


def _rank(domain: FailureDomainName, host: HostId) -> tuple[int, HostId]:
    return (xxhash.xxh64_intdigest(f"{domain}/{host}".encode()), host)


def _split_levels(ordered: Sequence[Peer]) -> list[Sequence[Peer]]:
    levels: list[Sequence[Peer]] = []
    size = RELAYS_PER_DOMAIN
    start = 0
    while start < len(ordered):
        levels.append(ordered[start : start + size])
        start += size
        size *= LEVEL_FACTOR
    return levels


def _find_level(levels: Sequence[Sequence[Peer]], position: int) -> tuple[int, int]:
    for level, peers in enumerate(levels):
        if position < len(peers):
            return level, position
        position -= len(peers)
    return len(levels), 0


def _choose_from(
    level: Sequence[Peer], index: int, *, own_host: HostId, excluded: Collection[str]
) -> tuple[Peer, ...]:
    start = index % len(level)
    rotated = (*level[start:], *level[:start])
    healthy = [
        peer for peer in rotated if peer.host != own_host and peer.link_address not in excluded
    ]
    return tuple(healthy[:SOURCES_PER_HOST])
