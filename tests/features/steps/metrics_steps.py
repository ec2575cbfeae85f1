import os
import random
import re
import socket
from statistics import mean

import anyio
import httpcore
from behave import given, then, when

from front.fakes import CountingMetrics, make_attempt_message
from samphirespring.connection.codec import MsgpackCodec
from samphirespring.connection.metrics_http import serve_metrics
from samphirespring.process.metrics.metric_messages import RecordDuration
from samphirespring.process.metrics.metric_names import Counter, Gauge, Timing
from samphirespring.process.metrics.metric_summary import MetricSummary
from samphirespring.process.metrics.metric_values import list_label_names
from samphirespring.process.metrics.metrics import EXPORT_INTERVAL_S
from samphirespring.process.metrics.metrics_setup import make_metrics
from samphirespring.process.metrics.prometheus_text import make_text_name
from samphirespring.process.settings import StatsdSettings
from samphirespring.process.targets import RegistryDelta
from samphirespring.process.timers import ManualTimerService

METRICS_PORT = 20_990 + int(os.environ.get("SAMPHIRE_PORT_OFFSET", "0"))
METRICS_ADDRESS = f"127.0.0.1:{METRICS_PORT}"
LINE = re.compile(r"fleet\.([a-z_.]+):([0-9.]+)\|(c|g|ms)")


@given("metrics that go to a fake statsd server")
def step_metrics(context):
    statsd_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.add_cleanup(statsd_socket.close)
    statsd_socket.bind(("127.0.0.1", 0))
    statsd_socket.settimeout(30.0)
    context.statsd_socket = statsd_socket
    context.timers = ManualTimerService()
    address = f"127.0.0.1:{statsd_socket.getsockname()[1]}"
    settings = StatsdSettings(address=address, prefix="fleet")
    context.metrics = make_metrics(
        settings, as_text=False, timers=context.timers, generator=random.Random(1)
    )


def run_metrics(context, record, *, duration_s):
    """Record metrics while the task runs, advance the time, stop the task, and read the packets."""

    async def main():
        async with anyio.create_task_group() as group:
            group.start_soon(context.metrics.run)
            await anyio.wait_all_tasks_blocked()
            record(context.metrics)
            context.timers.advance(duration_s)
            await anyio.wait_all_tasks_blocked()
            group.cancel_scope.cancel()

    anyio.run(main)
    context.statsd_socket.sendto(b"end", context.statsd_socket.getsockname())
    context.packets = []
    while (packet := context.statsd_socket.recv(2_000)) != b"end":
        context.packets.append(packet.decode())
    lines = "\n".join(context.packets).splitlines()
    context.received = [LINE.fullmatch(line).groups() for line in lines]


def record_repeatedly(metrics, *, attempts, durations, gauges):
    for _ in range(attempts):
        metrics.count(Counter.FRONT_ATTEMPTS)
    for number in range(durations):
        metrics.record_duration(Timing.FRONT_REQUEST_DURATION, number / 1_000)
    for number in range(gauges):
        metrics.set_gauge(Gauge.AGENT_QUEUE_WAITING, value=float(number))


@when(
    "in one interval {attempts:d} attempts are counted, {durations:d} durations recorded"
    " and a gauge is set {gauges:d} times"
)
def step_record(context, attempts, durations, gauges):
    context.gauges = gauges
    run_metrics(
        context,
        lambda metrics: record_repeatedly(
            metrics, attempts=attempts, durations=durations, gauges=gauges
        ),
        duration_s=EXPORT_INTERVAL_S,
    )


@when("{attempts:d} attempts are counted and the process stops immediately")
def step_stop(context, attempts):
    run_metrics(
        context,
        lambda metrics: record_repeatedly(metrics, attempts=attempts, durations=0, gauges=0),
        duration_s=0.0,
    )


def list_values(context, kind):
    return [float(value) for _, value, found in context.received if found == kind]


@then("the statsd server receives a count of {count:d}")
def step_check_count(context, count):
    assert list_values(context, "c") == [count], context.packets


@then(
    "the statsd server receives a count of {count:d}, at most {limit:d} durations"
    " and the gauge's latest value"
)
def step_check_aggregates(context, count, limit):
    assert list_values(context, "c") == [count], context.packets
    assert 1 <= len(list_values(context, "ms")) <= limit
    assert list_values(context, "g") == [context.gauges - 1]


@then("it receives at most {limit:d} packets")
def step_check_packets(context, limit):
    assert 1 <= len(context.packets) <= limit, len(context.packets)


@when("{count:d} samples are taken of the durations 0 to 999")
def step_sample(context, count):
    context.sampled = []
    for seed in range(count):
        summary = MetricSummary(generator=random.Random(seed))
        for number in range(1_000):
            summary.add(RecordDuration(Timing.REPLICATION_WRITE, float(number)))
        context.sampled.extend(summary.durations[Timing.REPLICATION_WRITE.value].durations_s)


@then("the mean of all sampled durations is between {low:d} and {high:d}")
def step_check_mean(context, low, high):
    assert low <= mean(context.sampled) <= high, mean(context.sampled)


@given("a codec that counts its bytes")
def step_codec(context):
    context.metrics = CountingMetrics()
    context.codec = MsgpackCodec(context.metrics)


@when("it encodes and decodes an attempt and a registry's reply")
def step_encode(context):
    messages = {
        "attempt": make_attempt_message(attempt="a"),
        "control": RegistryDelta(since=0, version=1, complete=True, hosts=()),
    }
    context.sizes = {}
    for traffic, message in messages.items():
        data = context.codec.encode(message, type(message))
        assert context.codec.decode(data, type(message)) == message
        context.sizes[traffic] = len(data)


@then("the bytes sent and received are counted separately for the attempt and the reply")
def step_check_bytes(context):
    assert context.metrics.counts == {
        f"link.{traffic}.bytes_{direction}": size
        for traffic, size in context.sizes.items()
        for direction in ("sent", "received")
    }


@given("metrics that are kept as text")
def step_text_metrics(context):
    context.timers = ManualTimerService()
    context.metrics = make_metrics(
        None, as_text=True, timers=context.timers, generator=random.Random(1)
    )


@when(
    "requests, a gauge and durations of {first:d} and {second:d} ms are recorded in two intervals"
)
def step_record_text(context, first, second):
    async def main():
        async with anyio.create_task_group() as group:
            group.start_soon(context.metrics.run)
            for duration_ms in (first, second):
                context.metrics.count(Counter.FRONT_REQUESTS, "answered", amount=3)
                context.metrics.set_gauge(Gauge.DOCUMENT_VERSION, value=float(duration_ms))
                context.metrics.record_duration(Timing.FRONT_REQUEST_DURATION, duration_ms / 1_000)
                await anyio.wait_all_tasks_blocked()
                context.timers.advance(EXPORT_INTERVAL_S)
            async with serve_metrics(context.metrics, address=METRICS_ADDRESS):
                context.response = await get_metrics()
            group.cancel_scope.cancel()

    anyio.run(main)


async def get_metrics():
    async with httpcore.AsyncConnectionPool() as pool:
        return await pool.request("GET", f"http://{METRICS_ADDRESS}/metrics")


@then("the text over HTTP contains these lines")
def step_check_text(context):
    assert context.response.status == 200
    lines = context.response.content.decode().splitlines()
    for row in context.table:
        assert row["line"] in lines, row["line"]


@then("every metric has a name and labels in the text")
def step_check_names(context):
    for name in (*Counter, *Gauge, *Timing):
        text_name = make_text_name(name)
        assert re.fullmatch("samphire_[a-z_]+", text_name), text_name
        assert all(re.fullmatch("[a-z]+", label) for label in list_label_names(name)), name
