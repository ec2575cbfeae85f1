import http.client
import os
import signal
import tempfile
import threading
import time
import uuid
from collections import defaultdict
from pathlib import Path

from behave import given, then, when

from fleet.client import send_json, send_request
from fleet.example import place_example, read_address
from fleet.leaders import find_leader, read_from_control, wait_until_initialized
from fleet.partition import Partition
from fleet.processes import OPERATOR_TOKEN, Fleet

WAIT_S = 60.0
LEASE_LIMIT_S = 20.0
"""The lease is 0.9 s; the rest is margin for a machine that is busy with other work."""

OLD_S = 2.5
"""An age that a replica in touch with a leader, which is asked every second, doesn't reach."""

REAL_PORT_SHIFT = 5
TEAM = "recipes"
TOKEN = f"example-token-{TEAM}"
SECTION = f"/v1/document/sections/{TEAM}"
HEADERS = {"Authorization": f"Bearer {TOKEN}"}
REFUSALS = ("not_leader", "no_quorum")


class VersionWatch:
    """Reads the version at each process again and again."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.seen = defaultdict(list)
        self.stop = threading.Event()
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def close(self):
        self.stop.set()
        self.thread.join()

    def run(self):
        while not self.stop.wait(0.02):
            for settings in self.fleet.example.nodes:
                self.read(settings, "local_listen", "/v1/ready", "document_version")
            for settings in self.fleet.example.controls:
                if settings.stem != self.fleet.stopped:
                    self.read(settings, "operator_listen", "/v1/document?local=true", "version")

    def read(self, settings, member, path, name):
        try:
            answer = send_request(read_address(settings, member), "GET", path, headers=HEADERS)
        except (OSError, http.client.HTTPException):
            return
        if answer.status == 200 and answer.json[name] is not None:
            self.seen[settings.stem].append(answer.json[name])


@given("three control processes with links that can be cut, and three nodes")
def step_start(context):
    folder = tempfile.TemporaryDirectory(prefix="isolation-")
    context.add_cleanup(folder.cleanup)
    offset = int(os.environ.get("SAMPHIRE_PORT_OFFSET", "0"))
    example = place_example("wheatsheaf", Path(folder.name), port_offset=offset)
    outside = [read_address(settings, "link_listen") for settings in example.controls]
    real = {address: shift_port(address) for address in outside}
    overrides = {
        s.name: {"link_listen": real[a]} for s, a in zip(example.controls, outside, strict=True)
    }
    example = place_example(
        "wheatsheaf", Path(folder.name), port_offset=offset, overrides=overrides
    )
    context.links = dict(zip((s.stem for s in example.controls), outside, strict=True))
    context.partition = Partition(real)
    serving = context.partition.serve()
    serving.__enter__()
    context.add_cleanup(serving.__exit__, None, None, None)
    context.fleet = Fleet(example)
    context.fleet.stopped = None
    context.add_cleanup(context.fleet.stop_all)
    for settings in example.controls:
        context.fleet.start_control(settings)
    for settings in example.nodes:
        context.fleet.start_node(settings)
    wait_until_initialized(context.fleet, team=TEAM)
    context.watch = VersionWatch(context.fleet)
    context.add_cleanup(context.watch.close)


def shift_port(address):
    host, _, port = address.rpartition(":")
    return f"{host}:{int(port) + REAL_PORT_SHIFT}"


@when("the links to the leader are cut")
def step_cut_to(context):
    isolate(context, inward=True, outward=False)


@when("the links from the leader are cut")
def step_cut_from(context):
    isolate(context, inward=False, outward=True)


@when("the links to and from the leader are cut")
def step_cut_both(context):
    isolate(context, inward=True, outward=True)


def isolate(context, *, inward, outward):
    context.leader = find_leader(context.fleet)
    own = context.links[context.leader.stem]
    context.is_deaf = inward
    context.cut_s = time.monotonic()
    for other in context.links.values():
        if other != own and inward:
            context.partition.cut(other, own)
        if other != own and outward:
            context.partition.cut(own, other)


@then(
    "the leader refuses with a coded error, and an edit through the others is in force at all"
    " after healing"
)
def step_check_isolated(context):
    refusal = wait_for_refusal(context.leader)
    span_s = time.monotonic() - context.cut_s
    assert span_s < LEASE_LIMIT_S, span_s
    assert refusal.code in REFUSALS, refusal
    version = edit_through_others(context)
    # Its knowledge is old now, and it knows that it may not answer.
    for _ in range(5):
        assert read_section(context.leader).status in (307, 503)
    assert context.partition.hold_count > 0
    if context.is_deaf:
        # It tells nodes that its knowledge is old; one that hears the new leader isn't cut off.
        wait_for_age(context.leader, lambda age_s: age_s > OLD_S)
    context.partition.heal()
    wait_for_age(context.leader, lambda age_s: age_s < OLD_S)
    wait_until_everywhere(context, version)


def read_section(settings):
    return read_from_control(settings, SECTION, token=TOKEN)


def wait_for_refusal(settings):
    deadline = time.monotonic() + WAIT_S
    while (answer := read_section(settings)).status == 200:
        assert time.monotonic() < deadline, "the isolated leader goes on answering"
        time.sleep(0.02)
    return answer


def wait_for_age(settings, is_reached):
    """Wait for the age that a control host tells nodes to reach something."""
    deadline = time.monotonic() + WAIT_S
    while True:
        dump = read_from_control(settings, "/v1/dump", token=OPERATOR_TOKEN).json
        if is_reached(dump["document_keeper"]["control_heard_age_s"]):
            return
        assert time.monotonic() < deadline, dump["document_keeper"]
        time.sleep(0.05)


def edit_through_others(context):
    """Change the section through the hosts that are not isolated; return its new version."""
    others = [s for s in context.fleet.example.controls if s != context.leader]
    change_id = str(uuid.uuid4())
    deadline = time.monotonic() + WAIT_S
    while time.monotonic() < deadline:
        for settings in others:
            current = read_section(settings)
            if current.status != 200:
                continue
            content = current.json["content"]
            content["routes"][0]["deadline_ms"] = 2_000 + current.json["version"]
            change = {
                "base_version": current.json["version"],
                "change_id": change_id,
                "content": content,
            }
            address = read_address(settings, "operator_listen")
            answer = send_json(address, "PUT", SECTION, change, headers=HEADERS)
            if answer.status == 200:
                return answer.json["version"]
        time.sleep(0.05)
    raise TimeoutError("no edit was accepted through the others")


def wait_until_everywhere(context, version):
    names = [s.stem for s in (*context.fleet.example.controls, *context.fleet.example.nodes)]
    deadline = time.monotonic() + WAIT_S
    while not all(context.watch.seen[n] and context.watch.seen[n][-1] >= version for n in names):
        assert time.monotonic() < deadline, {n: context.watch.seen[n][-1:] for n in names}
        time.sleep(0.05)


@when("the leader's process is stopped")
def step_stop_leader(context):
    context.leader = find_leader(context.fleet)
    context.fleet.stopped = context.leader.stem
    context.fleet.signal(context.leader.stem, signal.SIGSTOP)


@then("the leader answers a read only after it goes on, and never with an older version")
def step_check_stopped(context):
    try:
        others = [s for s in context.fleet.example.controls if s != context.leader]
        find_leader_among(others)
        answers = []
        reader = threading.Thread(target=lambda: answers.append(read_section(context.leader)))
        version = edit_through_others(context)
        reader.start()
        time.sleep(0.2)
        assert not answers
    finally:
        context.fleet.signal(context.leader.stem, signal.SIGCONT)
        context.fleet.stopped = None
    reader.join()
    assert answers, "the read got no answer"
    # It was sent while the process stood still: the lease must be checked when it is read.
    assert answers[0].status in (307, 503), answers
    assert answers[0].status == 307 or answers[0].code in REFUSALS, answers
    wait_until_everywhere(context, version)


def find_leader_among(others):
    deadline = time.monotonic() + WAIT_S
    while not any(read_section(settings).status == 200 for settings in others):
        assert time.monotonic() < deadline, "no other control host leads"
        time.sleep(0.05)


@then("no version ever went back at any control host or node")
def step_check_versions(context):
    context.watch.close()
    seen = context.watch.seen
    assert len(seen) == 6, sorted(seen)
    for name, versions in seen.items():
        assert len(versions) > 20, (name, versions)
        assert versions == sorted(versions), (name, versions)
