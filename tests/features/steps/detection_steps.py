import math

import numpy as np
from behave import given, then, when

from front.fakes import CountingMetrics
from samphirespring.process.agent.condition_watch import ConditionWatch
from samphirespring.process.detection.observations import Observation
from samphirespring.process.detection.parameters import get_parameters
from samphirespring.process.detection.reference import PoolReference
from samphirespring.process.detection.sequential import SequentialDetector
from samphirespring.process.detection.states import EvidenceKind, ObservedOutcome
from samphirespring.process.detection.summaries import (
    decode_log_latency,
    encode_log_latency,
)
from samphirespring.process.detection.target_health import TargetHealth
from samphirespring.process.states import TargetCondition
from samphirespring.version.states import DetectionMode
from traces.measurement import measure_scenario
from traces.scenarios import SCENARIOS
from traces.vector_rate import PoolArray, count_alarms

INTERVAL_S = 0.1
SLOW_START_S = 10.0
SIGMA = 0.6
SCORES = (-0.674, 0.0, 0.674, 1.282, 1.881)


def make_reference(median_s):
    steps = [encode_log_latency(math.log(median_s) + SIGMA * score) for score in SCORES]
    return PoolReference(*steps, failure_per_mille=0)


@given('the detection scenario "{name}"')
def step_find_scenario(context, name):
    context.pool_scenario = next(scenario for scenario in SCENARIOS if scenario.name == name)


@when('it is replayed with the "{mode}" policy over seeds {first:d} to {last:d}')
def step_replay_scenario(context, mode, first, last):
    context.measurement = measure_scenario(
        context.pool_scenario, mode=DetectionMode(mode), seeds=range(first, last + 1)
    )


@then("no fault is missed")
def step_check_missed(context):
    assert context.measurement.missed_count == 0, context.measurement
    assert context.measurement.delays_s


@then(
    "the detection time is at most {median:f} s at the median"
    " and {p95:f} s at the 95th percentile"
)
def step_check_delays(context, median, p95):
    measured = context.measurement
    quantiles = (measured.read_quantile_s(0.5), measured.read_quantile_s(0.95))
    assert quantiles[0] <= median and quantiles[1] <= p95, quantiles


@then("there are no false ejections and no floor violations")
def step_check_false(context):
    assert context.measurement.false_count == 0, context.measurement
    assert context.measurement.violation_count == 0, context.measurement


@then("there are no ejections and no floor violations")
def step_check_none(context):
    step_check_false(context)
    assert not context.measurement.delays_s, context.measurement
    assert context.measurement.healthy_hours > 0.1


@given('a "{mode}" detector with a pool reference of {median_ms:d} ms')
def step_make_detector(context, mode, median_ms):
    context.detector = SequentialDetector(get_parameters(DetectionMode(mode)))
    context.detector.use_reference(make_reference(median_ms / 1000))
    context.now_s = 0.0


def observe_detector(context, outcome, latency_s, count):
    for _ in range(count):
        context.now_s += INTERVAL_S
        context.detector.observe(
            Observation(at_s=context.now_s, outcome=outcome, latency_s=latency_s)
        )


def probe_detector(context, count, succeeded):
    for _ in range(count):
        context.detector.record_probe(succeeded=succeeded, now_s=context.now_s)


@when("{probes:d} probes fail and {responses:d} responses take {latency_ms:d} ms each")
def step_fail_probes(context, probes, responses, latency_ms):
    probe_detector(context, probes, False)
    observe_detector(context, ObservedOutcome.OK, latency_ms / 1000, responses)


@when("{probes:d} probes succeed and {responses:d} responses take {latency_ms:d} ms each")
def step_pass_probes(context, probes, responses, latency_ms):
    probe_detector(context, probes, True)
    observe_detector(context, ObservedOutcome.OK, latency_ms / 1000, responses)


@when("{probes:d} probes succeed")
def step_only_probes(context, probes):
    probe_detector(context, probes, True)


@when("{shed:d} attempts are shed and {errors:d} end with an error of the caller")
def step_neutral(context, shed, errors):
    observe_detector(context, ObservedOutcome.SHED, 2.0, shed)
    observe_detector(context, ObservedOutcome.CLIENT_ERROR, 2.0, errors)


@then("its severity stays below {bound:f}")
def step_check_low(context, bound):
    assert context.detector.measure_severity(context.now_s) < bound


@then("its severity is at least {bound:f}")
def step_check_high(context, bound):
    assert context.detector.measure_severity(context.now_s) >= bound


@given('a target\'s health under the "{mode}" policy')
def step_make_health(context, mode):
    context.parameters = get_parameters(DetectionMode(mode))
    context.now_s = 0.0
    context.health = TargetHealth(
        SequentialDetector(context.parameters),
        parameters=context.parameters,
        slow_start_s=SLOW_START_S,
        now_s=0.0,
    )
    context.health.use_reference(make_reference(0.04))
    context.ejection_durations_s = []


@given("its service has faults of {span_s:f} s")
def step_use_faults(context, span_s):
    context.health.use_fault_span(span_s)


def observe_until(context, latency_s, condition, outcome=ObservedOutcome.OK):
    for _ in range(10_000):
        if context.health.read_condition(context.now_s) is condition:
            return
        context.now_s += INTERVAL_S
        context.health.observe(
            Observation(at_s=context.now_s, outcome=outcome, latency_s=latency_s)
        )
    raise AssertionError(f"the target never became {condition}")


def await_ejection(context, latency_s=0.4, outcome=ObservedOutcome.OK):
    observe_until(context, latency_s, TargetCondition.UNHEALTHY, outcome)
    started_at_s = context.now_s
    while context.health.read_condition(context.now_s) is TargetCondition.UNHEALTHY:
        context.now_s += INTERVAL_S
        context.health.advance(context.now_s)
    context.ejection_durations_s.append(round(context.now_s - started_at_s, 1))


@when("it becomes unhealthy and passes its trial {count:d} times")
def step_flap(context, count):
    for _ in range(count):
        await_ejection(context)
        observe_until(context, 0.04, TargetCondition.SLOW_START)
        observe_until(context, 0.04, TargetCondition.HEALTHY)


@when("it fails its requests until it is ejected, and then responds normally, {count:d} times")
def step_fail_and_recover(context, count):
    context.conditions = []
    for _ in range(count):
        await_ejection(context, 0.04, ObservedOutcome.WRONG)
        context.conditions.append(context.health.read_condition(context.now_s))
        respond_normally(context, 1.0)


def respond_normally(context, duration_s):
    for _ in range(round(duration_s / INTERVAL_S)):
        context.now_s += INTERVAL_S
        context.health.observe(
            Observation(at_s=context.now_s, outcome=ObservedOutcome.OK, latency_s=0.04)
        )


@then("it was healthy after each of them at once")
def step_check_healthy(context):
    assert set(context.conditions) == {TargetCondition.HEALTHY}, context.conditions


@when("it fails its requests until it is ejected {count:d} times in a row")
def step_fail_in_a_row(context, count):
    for _ in range(count):
        await_ejection(context, 0.04, ObservedOutcome.WRONG)


@when(
    "it fails its requests until it is ejected {count:d} times in a row, with a late success during"
    " each ejection"
)
def step_fail_with_late_success(context, count):
    for _ in range(count):
        observe_until(context, 0.04, TargetCondition.UNHEALTHY, ObservedOutcome.WRONG)
        began_at_s = context.now_s
        await_ejection(context, 0.04, ObservedOutcome.WRONG)
        # It arrives once the ejection is over, from an attempt that began before it.
        latency_s = context.now_s - began_at_s + 1.0
        context.health.observe(
            Observation(at_s=context.now_s, outcome=ObservedOutcome.OK, latency_s=latency_s)
        )


@when("it responds normally for {duration_s:g} s")
def step_respond_normally(context, duration_s):
    respond_normally(context, duration_s)


@then("its next ejection for failures lasts {duration:f} s")
def step_check_next_for_failures(context, duration):
    await_ejection(context, 0.04, ObservedOutcome.WRONG)
    assert abs(context.ejection_durations_s[-1] - duration) <= 0.2, context.ejection_durations_s


@then("its ejections last {first:f}, {second:f} and {third:f} s")
def step_check_durations(context, first, second, third):
    expected = [first, second, third]
    pairs = zip(context.ejection_durations_s, expected, strict=True)
    assert all(
        abs(duration - value) <= 0.2 for duration, value in pairs
    ), context.ejection_durations_s


@when("it stays healthy for {count:d} times the decay time of the backoff")
def step_stay_healthy(context, count):
    for _ in range(count):
        context.now_s += context.parameters.backoff_decay_s + 1.0
        context.health.advance(context.now_s)


@then("its next ejection lasts {duration:f} s")
def step_check_next(context, duration):
    await_ejection(context)
    assert abs(context.ejection_durations_s[-1] - duration) <= 0.2, context.ejection_durations_s


@when("it becomes unhealthy and responds slowly in its trial")
def step_fail_trial(context):
    await_ejection(context)
    assert context.health.read_condition(context.now_s) is TargetCondition.TRIAL
    observe_until(context, 0.4, TargetCondition.UNHEALTHY)


@then("it is unhealthy again and its dump names the cause, the start and the end")
def step_check_dump(context):
    dump = context.health.make_dump(context.now_s)
    assert dump.condition is TargetCondition.UNHEALTHY
    assert dump.ejection_count == 2
    assert dump.cause.kind is EvidenceKind.LATENCY
    assert dump.since_s == context.now_s
    assert dump.until_s > dump.since_s


@when("both process the same {count:d} responses of {targets:d} targets, some slow and some failed")
def step_compare_vectorized(context, targets, count):
    generator = np.random.default_rng(9)
    reference = make_reference(0.04)
    pools = PoolArray(mode=DetectionMode.FAST, pool_count=1)
    steps = [reference.p25, reference.p50, reference.p75, reference.p90, reference.p97]
    pools.use_knots(np.array([[decode_log_latency(step) for step in steps]]))
    parameters = get_parameters(DetectionMode.FAST)
    limit = parameters.failure_threshold
    thresholds = (parameters.latency_threshold, limit, limit)
    detectors = [SequentialDetector(parameters) for _ in range(targets)]
    for detector in detectors:
        detector.use_reference(reference)
    factors = np.linspace(0.0, math.log(1.6), targets)
    context.differences = []
    for number in range(count):
        log_latency = math.log(0.04) + factors + SIGMA * generator.standard_normal(targets)
        failed = generator.random(targets) < 0.02
        pools.observe(log_latency.astype(np.float32)[None, :], failed[None, :])
        for index, detector in enumerate(detectors):
            outcome = ObservedOutcome.WRONG if failed[index] else ObservedOutcome.OK
            latency_s = math.exp(float(log_latency[index]))
            detector.observe(Observation(at_s=number / 10, outcome=outcome, latency_s=latency_s))
            sums = (pools.latency, pools.failures, pools.trend)
            evidence = detector.explain(number / 10)
            levels = (evidence.latency, evidence.failures, evidence.failure_trend)
            for array, threshold, level in zip(sums, thresholds, levels, strict=True):
                # The detector bounds its sums at 1.5 times the threshold.
                array[0, index] = min(array[0, index], 1.5 * threshold)
                context.differences.append(abs(float(array[0, index]) / threshold - level))
    context.highest = max(max(levels), 0.0)


@then("both have the same sums")
def step_check_sums(context):
    assert max(context.differences) < 0.002, max(context.differences)
    assert context.highest > 0.05, context.highest


@given('a target\'s health under the "{mode}" policy with metrics')
def step_watch_health(context, mode):
    step_make_health(context, mode)
    context.metrics = CountingMetrics()
    context.watch = ConditionWatch(context.metrics)
    context.remaining_resets = 0


def respond_until_healthy(context, slow_until_s):
    """Observe responses, slow ones until a time, until the target is healthy after it."""
    while context.now_s < slow_until_s or context.health.state is not TargetCondition.HEALTHY:
        context.now_s = round(context.now_s + INTERVAL_S, 3)
        labels = {"target": "t", "service": "s"}
        context.watch.advance(context.health, now_s=context.now_s, **labels)
        if context.health.state is TargetCondition.UNHEALTHY:
            continue
        slow = context.now_s <= slow_until_s
        in_trial = context.health.state is TargetCondition.TRIAL
        failed = in_trial and not slow and context.remaining_resets > 0
        context.remaining_resets -= failed
        observation = Observation(
            at_s=context.now_s,
            outcome=ObservedOutcome.RESET if failed else ObservedOutcome.OK,
            latency_s=0.4 if slow else 0.04,
        )
        context.watch.observe(context.health, observation, **labels)


@when("it responds slowly for {duration:g} s and then normally")
def step_respond_slowly(context, duration):
    context.slow_from_s = context.now_s
    respond_until_healthy(context, context.now_s + duration)


@when("it responds slowly for {duration:g} s and then normally except for {count:d} reset")
def step_respond_slowly_with_resets(context, duration, count):
    context.remaining_resets = count
    step_respond_slowly(context, duration)


@then('the metrics count {ejections:d} ejection and {trials:d} "{result}" trial')
@then('the metrics count {ejections:d} ejections and {trials:d} "{result}" trial')
def step_check_trials(context, ejections, trials, result):
    counts = context.metrics.counts
    assert counts["agent.ejections"] == ejections, counts
    assert counts[f"agent.trials.{result}"] == trials, counts


@then("the detection time is measured from the first slow response")
def step_check_detection_time(context):
    durations = context.metrics.durations["agent.detection_time"]
    cause = context.health.make_dump(context.now_s).cause
    assert len(durations) == 1 and cause.since_s == context.slow_from_s + INTERVAL_S
    assert 0.5 <= durations[0] <= 1.0, durations


def reset_at_once(context, count):
    context.now_s += INTERVAL_S
    for _ in range(count):
        observe_health(context, ObservedOutcome.RESET, None)


def observe_health(context, outcome, latency_s):
    context.health.observe(Observation(at_s=context.now_s, outcome=outcome, latency_s=latency_s))
    context.conditions.add(context.health.state)


@when("{count:d} resets occur at once and {successes:d} successes follow")
def step_burst(context, count, successes):
    context.conditions = set()
    reset_at_once(context, count)
    for _ in range(successes):
        context.now_s += INTERVAL_S
        observe_health(context, ObservedOutcome.OK, 0.04)


@then("it has never been unhealthy")
def step_check_never_unhealthy(context):
    assert context.conditions == {TargetCondition.HEALTHY}, context.conditions


@when("{count:d} resets occur at once, followed by one every {interval:g} s")
def step_lasting_burst(context, count, interval):
    reset_at_once(context, count)
    context.burst_at_s = context.now_s
    while context.health.state is not TargetCondition.UNHEALTHY and context.now_s < 100.0:
        context.now_s += interval
        observe_health(context, ObservedOutcome.RESET, None)


@then("it is unhealthy after at most {limit:g} s")
def step_check_unhealthy_after(context, limit):
    assert context.now_s - context.burst_at_s <= limit


@when('healthy pools are simulated for {hours:d} target hours with the "{mode}" policy')
def step_simulate_healthy(context, hours, mode):
    context.alarms = count_alarms(
        mode=DetectionMode(mode), pool_count=1_000, hours=hours / 12_000, seed=77
    )


@then("at most {alarms:d} alarms are raised")
def step_check_alarms(context, alarms):
    assert context.alarms <= alarms, context.alarms
