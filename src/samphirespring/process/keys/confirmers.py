"""Chooses whom a host asks for confirmations of its document."""

from collections.abc import Sequence
from enum import Enum

import msgspec

from samphirespring.process.document.relay_tree import Peer, choose_confirming_relays
from samphirespring.process.ids import FailureDomainName, HostId

FAILURE_EXCLUSION_S = 1.0
"""Time for which a confirmer that failed is asked only if all others failed, too, in seconds."""

CONFIRMERS_WITHOUT_HOPE = 2
"""Confirmers that are asked while all of them have failed lately: not the leader by all hosts."""


class ConfirmerKind(Enum):
    """Kind of a confirmer."""

    RELAY = "relay"
    LEADER = "leader"


class Confirmer(msgspec.Struct, frozen=True):
    """A process that can confirm which version of the document is the newest.

    Attributes:
        kind: Its kind.
        address: Link address of a relay; empty for the leader of the control hosts.
    """

    kind: ConfirmerKind
    address: str = ""


LEADER = Confirmer(ConfirmerKind.LEADER)


class ConfirmerChooser:
    """Puts the relays of the failure domain before the leader, or after it for a relay itself.

    Args:
        domain: Failure domain of the own host.
        own_host: The own host.
    """

    def __init__(self, *, domain: FailureDomainName, own_host: HostId) -> None:
        self._domain = domain
        self._own_host = own_host
        self._excluded_until_s: dict[Confirmer, float] = {}
        self.is_relay = False
        """Whether the own host is a relay, by the latest choice."""

    def choose(self, peers: Sequence[Peer], *, now_s: float) -> tuple[Confirmer, ...]:
        """Return the confirmers to ask, one after the other until one has a recent confirmation.

        Args:
            peers: Hosts of the failure domain as the registry has them.
            now_s: Monotonic time, in seconds.
        """
        plan = choose_confirming_relays(peers, domain=self._domain, own_host=self._own_host)
        self.is_relay = plan.own_host_is_relay
        relays = tuple(Confirmer(ConfirmerKind.RELAY, relay.link_address) for relay in plan.relays)
        ordered = (LEADER, *relays) if self.is_relay else (*relays, LEADER)
        excluded = {entry for entry, until in self._excluded_until_s.items() if until > now_s}
        healthy = tuple(confirmer for confirmer in ordered if confirmer not in excluded)
        return healthy or ordered[:CONFIRMERS_WITHOUT_HOPE]

    def record_failure(self, confirmer: Confirmer, *, now_s: float) -> None:
        """Ask others for a while.

        Args:
            confirmer: It didn't reply, or its latest confirmation was too old.
            now_s: Monotonic time, in seconds.
        """
        kept = {entry: until for entry, until in self._excluded_until_s.items() if until > now_s}
        self._excluded_until_s = {**kept, confirmer: now_s + FAILURE_EXCLUSION_S}
