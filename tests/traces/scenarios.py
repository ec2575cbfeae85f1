"""Scenarios for measurements of detection."""

from samphirespring.process.detection.states import ObservedOutcome
from samphirespring.process.replay.trace import TargetEvent
from traces.generator import Event, Fault, LatencyShape, Probes, Scenario

FAULT_S = 20.0
END_S = 60.0


def _slow(factor, **options):
    fault = Fault(targets=(3,), from_s=FAULT_S, until_s=END_S, slowdown=factor)
    return Scenario(faults=(fault,), **options)


def _failing(share, outcome=ObservedOutcome.WRONG, *, until_s=END_S, **options):
    fault = Fault(
        targets=(3,), from_s=FAULT_S, until_s=until_s, failure_share=share, outcome=outcome
    )
    return Scenario(faults=(fault,), **options)


def _flapping(period_s):
    fault = Fault(targets=(3,), from_s=FAULT_S, until_s=170.0, slowdown=4.0, period_s=period_s)
    return Scenario(name=f"flapping every {period_s:g} s", duration_s=210.0, faults=(fault,))


POOL_SLOWDOWN = Fault(
    targets=tuple(range(12)), from_s=FAULT_S, until_s=40.0, slowdown=4.0, labelled=False
)
POOL_FAILURES = Fault(
    targets=tuple(range(12)), from_s=FAULT_S, until_s=40.0, failure_share=0.3, labelled=False
)
COLD = Fault(targets=(5,), from_s=FAULT_S, until_s=28.0, slowdown=4.0, labelled=False)
DOMAIN = Fault(targets=(2, 3), from_s=FAULT_S, until_s=END_S, slowdown=4.0)
REGION = Fault(targets=(0, 1, 2, 3), from_s=FAULT_S, until_s=END_S, slowdown=4.0)

SCENARIOS = (
    Scenario(name="healthy", duration_s=600.0),
    _slow(2.0, name="slow x2"),
    _slow(4.0, name="slow x4"),
    _slow(10.0, name="slow x10"),
    _failing(0.3, name="30% wrong"),
    _failing(0.05, name="5% errors", duration_s=180.0, until_s=180.0),
    _failing(0.3, ObservedOutcome.RESET, name="30% resets"),
    _failing(0.3, ObservedOutcome.CUT, name="30% cut answers"),
    _slow(4.0, name="bimodal, slow x4", shape=LatencyShape.BIMODAL),
    Scenario(name="bimodal, healthy", duration_s=600.0, shape=LatencyShape.BIMODAL),
    _slow(4.0, name="heavy tail, slow x4", shape=LatencyShape.HEAVY_TAIL),
    Scenario(name="heavy tail, healthy", duration_s=600.0, shape=LatencyShape.HEAVY_TAIL),
    Scenario(name="daily load, healthy", duration_s=600.0, load_period_s=300.0),
    _slow(4.0, name="daily load, slow x4", load_period_s=300.0),
    Scenario(name="whole pool slow x4", faults=(POOL_SLOWDOWN,)),
    Scenario(name="whole pool 30% wrong", faults=(POOL_FAILURES,)),
    Scenario(name="domain slow x4", faults=(DOMAIN,)),
    Scenario(name="region slow x4, floor 0.7", faults=(REGION,)),
    _flapping(5.0),
    _flapping(20.0),
    _flapping(60.0),
    Scenario(name="probes fail, answers fine", duration_s=120.0, probes=Probes(failing=(4,))),
    _slow(4.0, name="probes fine, slow x4", probes=Probes()),
    Scenario(name="shedding 20%", duration_s=120.0, shed_share=0.2),
    Scenario(
        name="cold start slow x4 for 8 s",
        faults=(COLD,),
        events=(
            Event(at_s=15.0, target=5, event=TargetEvent.DRAINING),
            Event(at_s=18.0, target=5, event=TargetEvent.GONE),
            Event(at_s=20.0, target=5, event=TargetEvent.STARTED),
        ),
    ),
    Scenario(
        name="one request a minute, slow x10",
        duration_s=10_800.0,
        rate_per_s=1 / 60,
        faults=(Fault(targets=(3,), from_s=3_600.0, until_s=10_800.0, slowdown=10.0),),
    ),
    Scenario(name="one request a minute, healthy", duration_s=86_400.0, rate_per_s=1 / 60),
)
