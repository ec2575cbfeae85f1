from collections import Counter

from behave import given, then

from samphirespring.process.document.relay_tree import Peer, choose_sources
from samphirespring.process.document.sources import SourceChooser, SourceKind

DOMAIN = "domain"
CONTROL = ("127.0.0.1:1", "127.0.0.1:2")


@given("a failure domain of {count:d} hosts")
def step_make_domain(context, count):
    context.peers = [Peer(host=f"h{i}", link_address=f"127.0.1.1:{i + 1}") for i in range(count)]


def choose(context, host, excluded=()):
    return choose_sources(context.peers, domain=DOMAIN, own_host=host, excluded=excluded)


def find_leaf(context):
    """Return a host of the lowest level."""
    watched = {peer.host for watcher in context.peers for peer in choose(context, watcher.host)}
    return next(peer.host for peer in context.peers if peer.host not in watched)


@then("the first sources of every host lead to the control hosts within {levels:d} steps")
def step_check_depth(context, levels):
    for peer in context.peers:
        host = peer.host
        for _ in range(levels):
            sources = choose(context, host)
            if not sources:
                break
            host = sources[0].host
        assert not choose(context, host), f"{peer.host} is deeper than {levels}"


@then("no host is watched by more than {limit:d} others")
def step_check_fan_out(context, limit):
    counts = Counter(source.host for peer in context.peers for source in choose(context, peer.host))
    assert max(counts.values(), default=0) <= limit, counts


@then("a host whose first source failed watches other hosts of the level above")
def step_check_one_failed(context):
    leaf = find_leaf(context)
    first = choose(context, leaf)[0]
    others = choose(context, leaf, excluded={first.link_address})
    assert len(others) == 2
    assert first not in others


@then("a host watches the control hosts if all levels above it failed")
def step_check_all_failed(context):
    leaf = find_leaf(context)
    assert choose(context, leaf, excluded={peer.link_address for peer in context.peers}) == ()


def make_chooser(host, seeds=()):
    return SourceChooser(domain=DOMAIN, own_host=host, control=CONTROL, seeds=seeds)


@then("a host excludes a relay that reports an age of {age:d} s, for {duration_s:d} s")
def step_check_stale(context, age, duration_s):
    leaf = find_leaf(context)
    chooser = make_chooser(leaf)
    first = chooser.choose(context.peers, now_s=0.0).addresses[0]
    chooser.record_notice(first, kind=SourceKind.RELAY, age_s=age, now_s=0.0)
    assert first not in chooser.choose(context.peers, now_s=duration_s - 1.0).addresses
    assert first in chooser.choose(context.peers, now_s=duration_s + 1.0).addresses


@then("a host without a reachable control host watches the peers of its settings")
def step_check_seeds(context):
    chooser = make_chooser("h0", seeds=("127.0.2.1:1",))
    assert chooser.choose(context.peers, now_s=0.0).kind is SourceKind.CONTROL
    for address in CONTROL:
        chooser.record_failure(address, now_s=0.0)
    sources = chooser.choose(context.peers, now_s=1.0)
    assert (sources.kind, sources.addresses) == (SourceKind.PEER, ("127.0.2.1:1",))
