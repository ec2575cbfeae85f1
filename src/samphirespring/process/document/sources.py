"""Chooses the sources of a node's document, without those that failed recently."""

from collections.abc import Sequence
from enum import Enum

import msgspec

from samphirespring.connection.document_link import DocumentNotice
from samphirespring.process.document.relay_tree import Peer, choose_sources
from samphirespring.process.ids import FailureDomainName, HostId

FAILURE_EXCLUSION_S = 2.0
"""Time for which a failed source is excluded, in seconds."""

STALE_EXCLUSION_S = 30.0
"""Time for which a relay with outdated state is excluded, in seconds."""

MAX_RELAY_AGE_S = 45.0
"""Age of the last leader contact above which a relay is excluded, in seconds."""

STALE_CONTROL_S = 300.0
"""Time for which relays aren't excluded by age after a control host reported too high an age.

In seconds. Without a leader, the ages of all sources grow alike; if the relays were excluded, every
node would call the control hosts.
"""

MAX_PEER_SOURCES = 4
"""Peers that are watched at the same time while no relay and no control host replies."""


class SourceKind(Enum):
    """Kind of a source of the document."""

    CONTROL = "control"
    RELAY = "relay"
    PEER = "peer"


class Sources(msgspec.Struct, frozen=True, kw_only=True):
    """The sources to watch for a new document.

    Attributes:
        kind: Kind of all these sources.
        addresses: Link addresses, first the one to report to.
    """

    kind: SourceKind
    addresses: tuple[str, ...]


class ReceivedNotice(msgspec.Struct, frozen=True, kw_only=True):
    """A notice with the address of its source."""

    address: str
    notice: DocumentNotice


def choose_notice(received: Sequence[ReceivedNotice]) -> ReceivedNotice | None:
    """Return the notice with the highest version and then the lowest age; None if there is none.

    Args:
        received: The notices.
    """
    return max(received, key=lambda entry: (entry.notice.stamp, -entry.notice.age_s), default=None)


class SourceChooser:
    """Chooses among relays, control hosts and other peers.

    Args:
        domain: Failure domain of the own host.
        own_host: The own host.
        control: Link addresses of the control hosts; read at each choice.
        seeds: Link addresses of peers from the settings.
        chained: Whether only one relay of a failure domain contacts the control hosts.
    """

    def __init__(
        self,
        *,
        domain: FailureDomainName,
        own_host: HostId,
        control: Sequence[str],
        seeds: Sequence[str],
        chained: bool = False,
    ) -> None:
        self._chained = chained
        self._domain = domain
        self._own_host = own_host
        self._control_addresses = control
        self._seeds = tuple(seeds)
        self._excluded_until_s: dict[str, float] = {}
        self._control_stale_until_s: float | None = None

    def choose(self, peers: Sequence[Peer], *, now_s: float) -> Sources:
        """Return the sources to watch next.

        Args:
            peers: Hosts of the failure domain as the registry has them.
            now_s: Monotonic time, in seconds.
        """
        self._excluded_until_s = {a: t for a, t in self._excluded_until_s.items() if t > now_s}
        excluded = self._excluded_until_s.keys()
        relays = choose_sources(
            peers,
            domain=self._domain,
            own_host=self._own_host,
            excluded=excluded,
            chained=self._chained,
        )
        if relays:
            return Sources(
                kind=SourceKind.RELAY, addresses=tuple(peer.link_address for peer in relays)
            )
        control = tuple(address for address in self._control_addresses if address not in excluded)
        if control:
            return Sources(kind=SourceKind.CONTROL, addresses=control)
        others = (*self._seeds, *(p.link_address for p in peers if p.host != self._own_host))
        healthy = tuple(dict.fromkeys(address for address in others if address not in excluded))
        if healthy:
            return Sources(kind=SourceKind.PEER, addresses=healthy[:MAX_PEER_SOURCES])
        return Sources(kind=SourceKind.CONTROL, addresses=tuple(self._control_addresses))

    def record_failure(self, address: str, *, now_s: float) -> None:
        """Exclude a failed source for a time.

        Args:
            address: Its link address.
            now_s: Monotonic time, in seconds.
        """
        self._excluded_until_s[address] = now_s + FAILURE_EXCLUSION_S

    def record_notice(self, address: str, *, kind: SourceKind, age_s: float, now_s: float) -> None:
        """Exclude a relay for a time if its last leader contact is too old.

        Args:
            address: Its link address.
            kind: Its kind.
            age_s: Time since its last contact with a leader, direct or through others, in seconds.
            now_s: Monotonic time, in seconds.
        """
        is_stale = age_s > MAX_RELAY_AGE_S
        if kind is SourceKind.CONTROL:
            self._control_stale_until_s = now_s + STALE_CONTROL_S if is_stale else None
        elif kind is SourceKind.RELAY and is_stale and not self._is_control_stale(now_s):
            self._excluded_until_s[address] = now_s + STALE_EXCLUSION_S

    def _is_control_stale(self, now_s: float) -> bool:
        until_s = self._control_stale_until_s
        return until_s is not None and now_s < until_s
