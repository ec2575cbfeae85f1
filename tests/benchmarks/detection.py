"""Cost of one observation, and health traffic of one node at several fleet sizes."""

import random
import time

from benchmarks.figures import Figure
from samphirespring.connection.codec import MsgpackCodec
from samphirespring.connection.registry_link import BatchReply, HostReport, ReportBatch
from samphirespring.process.detection.observations import Observation
from samphirespring.process.detection.parameters import get_parameters
from samphirespring.process.detection.reference import PoolReference
from samphirespring.process.detection.sequential import SequentialDetector
from samphirespring.process.detection.states import ObservedOutcome
from samphirespring.process.detection.summaries import TargetSummary
from samphirespring.process.detection.target_evaluator import DetectionTerms
from samphirespring.process.detection.target_health import TargetHealth
from samphirespring.process.registry.commands import ChangeHosts
from samphirespring.process.registry.state_machine import RegistryStateMachine
from samphirespring.process.states import TargetCondition, TargetPhase
from samphirespring.process.targets import HostRecord, Locality, TargetLoad, TargetRecord
from samphirespring.version.states import DetectionMode
from traces.baselines import FixedThresholdDetector

OBSERVATION_COUNT = 200_000
FLEET_SIZES = (400, 1_600, 3_300)
TARGETS_PER_HOST = 9
RESTARTS_PER_DAY_AND_HOST = 2_500 / 3_300
CHANGES_PER_RESTART = 3
"""Changes of a record caused by a restart: removed, back in slow start, healthy."""

FAULTS_PER_DAY_AND_TARGET = 0.1
CHANGES_PER_FAULT = 4
REPORT_INTERVAL_S = 1.0
BATCH_INTERVAL_S = 0.4
LEAF_HOSTS = 4
REQUESTS_PER_S = 88
SIMULATED_S = 6 * 3_600
SECONDS_PER_DAY = 86_400


def measure():
    """Return the figures."""
    return [*_measure_observation(), *_measure_traffic()]


def _measure_observation():
    parameters = get_parameters(DetectionMode.FAST)
    sequential = _time_observations(SequentialDetector(parameters), parameters)
    baseline = _time_observations(FixedThresholdDetector(parameters), parameters)
    return [
        Figure(
            name="observation of one attempt",
            value=sequential,
            unit="us",
            baseline=baseline,
            baseline_name="fixed threshold",
        )
    ]


def _time_observations(detector, parameters):
    health = TargetHealth(detector, parameters=parameters, slow_start_s=10.0, now_s=0.0)
    health.use_reference(PoolReference(90, 96, 102, 108, 114, 1))
    generator = random.Random(1)
    observations = [
        Observation(
            at_s=number / 10,
            outcome=ObservedOutcome.OK,
            latency_s=0.04 * generator.lognormvariate(0.0, 0.6),
        )
        for number in range(OBSERVATION_COUNT)
    ]
    started_at_s = time.perf_counter()
    for observation in observations:
        health.observe(observation)
        health.summarize(observation.at_s)
    return (time.perf_counter() - started_at_s) / OBSERVATION_COUNT * 1e6


def _measure_traffic():
    codec = MsgpackCodec()
    figures = [
        Figure(
            name=f"registry traffic of one relay, {size} hosts",
            value=_measure_registry_bytes(size, codec),
            unit="B/s",
            baseline=13_000,
            baseline_name="a node's limit for control",
        )
        for size in FLEET_SIZES
    ]
    first, last = figures[0], figures[-1]
    slope = (last.value - first.value) / (FLEET_SIZES[-1] - FLEET_SIZES[0])
    figures.append(Figure(name="slope per 1,000 hosts", value=slope * 1_000, unit="B/s"))
    per_attempt = _measure_attempt_bytes(codec)
    figures.append(Figure(name="terms and summary of one attempt", value=per_attempt, unit="B"))
    figures.append(
        Figure(
            name=f"evidence traffic of one node at {REQUESTS_PER_S} requests/s",
            value=per_attempt * REQUESTS_PER_S,
            unit="B/s",
            baseline=13_000,
            baseline_name="a node's limit for control",
        )
    )
    return figures


def _measure_registry_bytes(size, codec):
    """Return the traffic of a relay and its leaf hosts, reports and deltas, in bytes per second."""
    generator = random.Random(size)
    state_machine = RegistryStateMachine()
    records = [_make_record(number, sequence=1) for number in range(size)]
    state_machine.apply(index=1, command=ChangeHosts(records=tuple(records)))
    changes_per_s = size * _compute_changes_per_s()
    relay = _RegistryCallCounter(codec, report_count=1 + LEAF_HOSTS, version=state_machine.version)
    leaf = _RegistryCallCounter(codec, report_count=1, version=state_machine.version)
    next_change_at_s = generator.expovariate(changes_per_s)
    for step in range(round(SIMULATED_S / BATCH_INTERVAL_S)):
        now_s = step * BATCH_INTERVAL_S
        while next_change_at_s <= now_s:
            number = generator.randrange(size)
            records[number] = _make_record(number, sequence=records[number].sequence + 1)
            state_machine.apply(index=step + 2, command=ChangeHosts(records=(records[number],)))
            next_change_at_s += generator.expovariate(changes_per_s)
        relay.count_call(state_machine)
        if now_s % REPORT_INTERVAL_S < BATCH_INTERVAL_S:
            leaf.count_call(state_machine)
    return (relay.total_bytes + LEAF_HOSTS * leaf.total_bytes) / SIMULATED_S


class _RegistryCallCounter:
    """Counts the bytes of one host's registry calls to its parent."""

    def __init__(self, codec, *, report_count, version):
        self._codec = codec
        self._version = version
        self._reports = tuple(
            HostReport(
                host=f"host-region-1-domain-1-{number}",
                incarnation=1_800_000_000_000_000_000,
                sequence=7,
            )
            for number in range(report_count)
        )
        self.total_bytes = 0

    def count_call(self, state_machine):
        """Count the bytes of a batch of reports and of its reply."""
        batch = ReportBatch(known_version=self._version, reports=self._reports)
        reply = BatchReply(delta=state_machine.read_delta(self._version), age_s=0.4)
        self._version = reply.delta.version
        self.total_bytes += len(self._codec.encode(batch, None))
        self.total_bytes += len(self._codec.encode(reply, None))


def _compute_changes_per_s():
    restarts = RESTARTS_PER_DAY_AND_HOST * CHANGES_PER_RESTART
    faults = FAULTS_PER_DAY_AND_TARGET * TARGETS_PER_HOST * CHANGES_PER_FAULT
    return (restarts + faults) / SECONDS_PER_DAY


def _make_record(number, *, sequence):
    domain = f"region-{number % 6}-domain-{number % 24}"
    return HostRecord(
        locality=Locality(
            region=f"region-{number % 6}", failure_domain=domain, host=f"host-{domain}-{number}"
        ),
        incarnation=1_800_000_000_000_000_000 + number,
        link_address="10.123.123.123:21101",
        sequence=sequence,
        targets=tuple(
            TargetRecord(
                target=f"service-{(number + index) % 1_400}-{domain}-{number}-{index}",
                service=f"service-{(number + index) % 1_400}",
                load=_make_load(),
            )
            for index in range(TARGETS_PER_HOST)
        ),
    )


def _make_load(**options):
    return TargetLoad(
        phase=TargetPhase.SERVING,
        condition=TargetCondition.HEALTHY,
        free_slots=5,
        slots=5,
        **options,
    )


def _measure_attempt_bytes(codec):
    reference = PoolReference(90, 96, 102, 108, 114, 1)
    terms = DetectionTerms(DetectionMode.CAREFUL, 10.0, reference)
    summary = TargetSummary(90, 96, 102, 108, 114, 1, 15)
    with_summary = len(codec.encode(_make_load(summary=summary, severity=0.123), None))
    without = len(codec.encode(_make_load(), None))
    return len(codec.encode(terms, None)) + with_summary - without
