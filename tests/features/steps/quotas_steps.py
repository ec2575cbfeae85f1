import re

import msgspec
from behave import given, then, when

from front.quota_fleet import PATIENCE_LOST_S, QuotaFleet, make_quota
from samphirespring.process.quota.terms import make_terms

START_S = 2.0
"""Time for the first leader's grants to begin."""
CHECK_END_S = PATIENCE_LOST_S + 2.0


@given(
    '{fronts:d} fronts, and a workspace "large" with a quota of {rate:g} per s and a burst of'
    " {burst:d}"
)
def step_fronts(context, fronts, rate, burst):
    context.fleet = QuotaFleet(fronts=fronts)
    context.fleet.quotas["large"] = make_quota(rate, burst)
    context.fault_s = 0.0


@given("{count:d} workspaces with a quota of {rate:g} per s and a burst of {burst:d}")
def step_small(context, count, rate, burst):
    for number in range(count):
        context.fleet.quotas[f"small-{number}"] = make_quota(rate, burst)


@given("no overshoot and no slack is permitted")
def step_no_allowance(context):
    fleet = context.fleet
    fleet.section = msgspec.structs.replace(fleet.section, quota_overshoot=0.0, quota_slack=0)


@when('"large" sends {rate:d} per s for {span:d} s')
def step_send(context, rate, span):
    context.end_s = START_S + span
    context.fleet.load("large", rate=rate, start_s=START_S, end_s=context.end_s)


@when('"large" sends {rate:d} per s and each of the others {small:d} per s for {span:d} s')
def step_send_all(context, rate, small, span):
    step_send(context, rate, span)
    for workspace in context.fleet.quotas:
        if workspace != "large":
            context.fleet.load(workspace, rate=small, start_s=START_S, end_s=context.end_s)


@when(
    '"large" sends {rate:d} per s to fronts {a:d} to {b:d} for {first:d} s, and then to fronts'
    " {c:d} to {d:d} for {then:d} s"
)
def step_move(context, rate, a, b, first, c, d, then):
    moved_s = START_S + first
    context.end_s = moved_s + then
    fleet = context.fleet
    fleet.load("large", rate=rate, start_s=START_S, end_s=moved_s, fronts=range(a, b + 1))
    fleet.load("large", rate=rate, start_s=moved_s, end_s=context.end_s, fronts=range(c, d + 1))


@when("the leader {fault} after {after:g} s, and another one leads {election:g} s later")
def step_lose_leader(context, fault, after, election):
    fleet = context.fleet
    context.fault_s = START_S + after
    if fault == "ends":
        fleet.at(context.fault_s, lambda: fleet.end_leader(election_s=election))
    else:
        span_s = float(re.fullmatch(r"freezes for (.*) s", fault)[1])
        fleet.at(context.fault_s, lambda: fleet.freeze_leader(span_s, election_s=election))


@when(
    "front 0 freezes for {first:g} s after {a:g} s, front 1 for {second:g} s after {b:g} s, and"
    " front 2 ends after {c:g} s"
)
def step_lose_fronts(context, first, a, second, b, c):
    fleet = context.fleet
    fleet.at(START_S + a, lambda: fleet.freeze_front(0, first))
    fleet.at(START_S + b, lambda: fleet.freeze_front(1, second))
    fleet.at(START_S + c, lambda: fleet.end_front(2))


@when("{count:d} fronts are cut off after {a:d} s, and reach the leader again after {b:d} s")
def step_cut(context, count, a, b):
    fleet = context.fleet
    for number in range(count):
        fleet.at(START_S + a, lambda number=number: fleet.cut_front(number, True))
        fleet.at(START_S + b, lambda number=number: fleet.cut_front(number, False))


@when("its quota changes to {rate:d} per s and a burst of {burst:d} after {after:d} s")
def step_change(context, rate, burst, after):
    fleet = context.fleet
    context.before, context.after = fleet.quotas["large"], make_quota(rate, burst)
    context.changed_s = START_S + after
    fleet.at(context.changed_s, lambda: fleet.quotas.update(large=context.after))


@then("no quota is exceeded")
def step_check_rule(context):
    fleet = context.fleet
    fleet.play(context.end_s + CHECK_END_S)
    for workspace, quota in fleet.quotas.items():
        assert fleet.find_excess(workspace, quota) <= 0.0, (
            workspace,
            fleet.find_excess(workspace, quota),
        )
    undecided = [r for r in fleet.requests if r.arrived_s is None and r.refused_s is None]
    assert all(fleet.fronts[r.front].is_dead for r in undecided), len(undecided)


@then("the quota before is not exceeded until {start:d} s, and the one after not from {end:d} s on")
def step_check_change(context, start, end):
    fleet = context.fleet
    fleet.play(context.end_s + CHECK_END_S)
    # Windows that contain the change are bound by the higher one.
    higher = max(context.before, context.after, key=lambda quota: quota.requests_per_s)
    assert fleet.find_excess("large", higher) <= 0.0
    # A lower limit binds one window after it is in force.
    bound_s = context.changed_s + fleet.section.quota_window_s
    assert fleet.find_excess("large", context.after, from_s=bound_s) <= 0.0
    served = [r for r in fleet.requests if r.arrived_s and r.sent_s >= bound_s]
    span_s = context.end_s - bound_s
    assert len(served) >= 0.8 * context.after.requests_per_s * span_s, len(served)


@then("fewer than 1 of {share:d} requests that are within their quotas are refused")
def step_check_refused(context, share):
    owed = [r for r in context.fleet.requests if r.owed]
    refused = [r for r in owed if r.refused_s is not None]
    assert len(refused) < len(owed) / share, (len(refused), len(owed))


@then("fewer than {count:d} requests that are within their quotas are refused")
def step_check_refused_count(context, count):
    refused = [r for r in context.fleet.requests if r.owed and r.refused_s is not None]
    assert len(refused) < count, len(refused)


@then("fewer than 1 of {share:d} requests of the others that are within their quotas are refused")
def step_check_others(context, share):
    owed = [r for r in context.fleet.requests if r.owed and r.workspace != "large"]
    refused = [r for r in owed if r.refused_s is not None]
    assert len(refused) < len(owed) / share, (len(refused), len(owed))


@then("no request waits longer than {longest:g} s, and 19 of 20 wait less than {usual:g} s")
def step_check_waits(context, longest, usual):
    waits_s = sorted(r.decided_s - r.sent_s for r in context.fleet.requests)
    assert waits_s[-1] <= longest, waits_s[-1]
    assert waits_s[len(waits_s) * 19 // 20] < usual, waits_s[len(waits_s) * 19 // 20]


@then('at least {share:d} of 10 requests of "large" within its quota are served')
def step_check_served_share(context, share):
    large = [r for r in context.fleet.requests if r.workspace == "large"]
    served = sum(r.arrived_s is not None for r in large)
    owed = sum(r.owed for r in large)
    assert served >= owed * share / 10, (served, owed)


@then(
    'at least {share:d} of 10 refusals of "large" are sent at once, and 19 of 20 within {wait:g} s'
)
def step_check_early(context, share, wait):
    waits_s = sorted(
        r.refused_s - r.sent_s
        for r in context.fleet.requests
        if r.workspace == "large" and r.refused_s is not None
    )
    early = sum(wait_s == 0.0 for wait_s in waits_s)
    assert early >= len(waits_s) * share / 10, (early, len(waits_s))
    assert waits_s[len(waits_s) * 19 // 20] <= wait, waits_s[len(waits_s) * 19 // 20]


@then('"large" costs fewer than {rate:d} asks per s')
def step_check_asks(context, rate):
    asks = context.fleet.ask_counts["large"]
    assert asks < rate * (context.end_s - START_S), asks


@then('"large" is served {rate:d} per s from {after:d} s after the fault on')
def step_check_recovered(context, rate, after):
    _check_rate(context, rate, context.fault_s + after)


@then('"large" is served {rate:d} per s from {after:d} s on')
def step_check_rate(context, rate, after):
    _check_rate(context, rate, START_S + after)


def _check_rate(context, rate, from_s):
    served = [r for r in context.fleet.requests if r.arrived_s and r.sent_s >= from_s]
    assert len(served) >= rate * (context.end_s - from_s), len(served) / (context.end_s - from_s)


@then(
    "{fronts:d} fronts that are cut off pass at least half of their share for a workspace with a"
    " quota of {rate:g} per s"
)
def step_check_offline(context, fronts, rate):
    fleet = QuotaFleet(fronts=fronts)
    quota = fleet.quotas["small"] = make_quota(rate, 4)
    for front in fleet.fronts:
        front.is_cut = True
    span_s = 20
    fleet.load("small", rate=30, start_s=START_S, end_s=START_S + span_s)
    fleet.play(START_S + span_s + CHECK_END_S)
    assert fleet.find_excess("small", quota) <= 0.0
    passed = sum(r.arrived_s is not None for r in fleet.requests)
    # Half of the share of one window is saved at the start, and as much again in each window.
    share = make_terms(quota, fleet.section).offline_requests
    windows = span_s / fleet.section.quota_window_s
    assert passed >= share / 2 * (1 + windows) / 2, passed


@then(
    "no quota is exceeded in {runs:d} random runs of leaders that change and freeze and fronts that"
    " are cut off and freeze"
)
def step_random_runs(context, runs):
    for seed in range(runs):
        fleet = _play_random(seed)
        for workspace, quota in fleet.quotas.items():
            assert fleet.find_excess(workspace, quota) <= 0.0, (seed, workspace)


def _play_random(seed):
    fleet = QuotaFleet(fronts=2 + seed * 7 % 40, seed=seed)
    draw = fleet.random
    for number in range(3):
        rate = draw.choice((0.4, 2, 20, 100))
        fleet.quotas[f"w{number}"] = make_quota(rate, draw.choice((1, 5, 100)))
        fleet.load(f"w{number}", rate=rate * 4, start_s=START_S, end_s=START_S + 20)
    for _ in range(4):
        at_s = draw.uniform(START_S, START_S + 20)
        front = draw.randrange(len(fleet.fronts))
        span_s = draw.choice((0.3, 0.9, 1.5, 4.0))
        election_s = draw.uniform(1.0, 3.0)
        faults = (
            lambda s=span_s, e=election_s: fleet.freeze_leader(s, election_s=e),
            lambda s=span_s, f=front: fleet.freeze_front(f, s),
            lambda f=front: fleet.cut_front(f, True),
            fleet.elect,
        )
        fleet.at(at_s, draw.choice(faults))
    fleet.play(START_S + 20 + CHECK_END_S)
    return fleet
