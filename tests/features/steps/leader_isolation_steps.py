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
"""The lease is 0.9 s; the rest is margin for a host that is busy with other work."""

STALE_AGE_S = 2.5
"""Age of the leader contact that a replica in contact with a leader doesn't reach.

The contact is requested every second.
"""

REAL_PORT_OFFSET = 5
TEAM = "recipes"
TOKEN = f"example-token-{TEAM}"
SECTION = f"/v1/document/sections/{TEAM}"
HEADERS = {"Authorization": f"Bearer {TOKEN}"}
REFUSALS = ("not_leader", "no_quorum")


class VersionRecorder:
    """Thread that polls the document version at each process and records the versions."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.versions = defaultdict(list)
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
                if settings.stem != self.fleet.suspended:
                    self.read(settings, "operator_listen", "/v1/document?local=true", "version")

    def read(self, settings, member, path, name):
        try:
            response = send_request(read_address(settings, member), "GET", path, headers=HEADERS)
        except (OSError, http.client.HTTPException):
            return
        if response.status == 200 and response.json[name] is not None:
            self.versions[settings.stem].append(response.json[name])


@given("three control processes with links that can be cut, and three nodes")
def step_start(context):
    folder = tempfile.TemporaryDirectory(prefix="isolation-")
    context.add_cleanup(folder.cleanup)
    offset = int(os.environ.get("SAMPHIRE_PORT_OFFSET", "0"))
    example = place_example("wheatsheaf", Path(folder.name), port_offset=offset)
    advertised = [read_address(settings, "link_listen") for settings in example.controls]
    real = {address: shift_port(address) for address in advertised}
    overrides = {
        s.name: {"link_listen": real[a]} for s, a in zip(example.controls, advertised, strict=True)
    }
    example = place_example(
        "wheatsheaf", Path(folder.name), port_offset=offset, overrides=overrides
    )
    context.links = dict(zip((s.stem for s in example.controls), advertised, strict=True))
    context.partition = Partition(real)
    serving = context.partition.serve()
    serving.__enter__()
    context.add_cleanup(serving.__exit__, None, None, None)
    context.fleet = Fleet(example)
    context.fleet.suspended = None
    context.add_cleanup(context.fleet.stop_all)
    for settings in example.controls:
        context.fleet.start_control(settings)
    for settings in example.nodes:
        context.fleet.start_node(settings)
    wait_until_initialized(context.fleet, team=TEAM)
    context.version_recorder = VersionRecorder(context.fleet)
    context.add_cleanup(context.version_recorder.close)


def shift_port(address):
    host, _, port = address.rpartition(":")
    return f"{host}:{int(port) + REAL_PORT_OFFSET}"


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
    context.is_inward_cut = inward
    context.cut_at_s = time.monotonic()
    for other in context.links.values():
        if other != own and inward:
            context.partition.cut(other, own)
        if other != own and outward:
            context.partition.cut(own, other)


@then(
    "the leader refuses with an error code, and an edit through the others is in force"
    " everywhere after healing"
)
def step_check_isolated(context):
    refusal = wait_for_refusal(context.leader)
    elapsed_s = time.monotonic() - context.cut_at_s
    assert elapsed_s < LEASE_LIMIT_S, elapsed_s
    assert refusal.code in REFUSALS, refusal
    version = edit_through_others(context)
    # Its state is stale now, and it must detect that it may not serve reads.
    for _ in range(5):
        assert read_section(context.leader).status in (307, 503)
    assert context.partition.hold_count > 0
    if context.is_inward_cut:
        # It must report its stale state to nodes. A leader that still receives messages of the new
        # leader is not stale, so this is checked only if its incoming links are cut.
        wait_for_age(context.leader, lambda age_s: age_s > STALE_AGE_S)
    context.partition.heal()
    wait_for_age(context.leader, lambda age_s: age_s < STALE_AGE_S)
    wait_until_everywhere(context, version)


def read_section(settings):
    return read_from_control(settings, SECTION, token=TOKEN)


def wait_for_refusal(settings):
    deadline = time.monotonic() + WAIT_S
    while (response := read_section(settings)).status == 200:
        assert time.monotonic() < deadline, "the isolated leader still serves reads"
        time.sleep(0.02)
    return response


def wait_for_age(settings, is_reached):
    """Wait until the contact age that a control host reports to nodes meets a condition."""
    deadline = time.monotonic() + WAIT_S
    while True:
        dump = read_from_control(settings, "/v1/dump", token=OPERATOR_TOKEN).json
        if is_reached(dump["document_keeper"]["control_heard_age_s"]):
            return
        assert time.monotonic() < deadline, dump["document_keeper"]
        time.sleep(0.05)


def edit_through_others(context):
    """Change the section through the hosts that are not isolated; return the new version."""
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
            response = send_json(address, "PUT", SECTION, change, headers=HEADERS)
            if response.status == 200:
                return response.json["version"]
        time.sleep(0.05)
    raise TimeoutError("no edit was accepted through the others")


def wait_until_everywhere(context, version):
    names = [s.stem for s in (*context.fleet.example.controls, *context.fleet.example.nodes)]
    deadline = time.monotonic() + WAIT_S
    while not all(
        context.version_recorder.versions[n] and context.version_recorder.versions[n][-1] >= version
        for n in names
    ):
        assert time.monotonic() < deadline, {
            n: context.version_recorder.versions[n][-1:] for n in names
        }
        time.sleep(0.05)


@when("the leader's process is suspended")
def step_suspend_leader(context):
    context.leader = find_leader(context.fleet)
    context.fleet.suspended = context.leader.stem
    context.fleet.signal(context.leader.stem, signal.SIGSTOP)


@then("the leader responds to a read only after it resumes, and never with an older version")
def step_check_suspended(context):
    try:
        others = [s for s in context.fleet.example.controls if s != context.leader]
        find_leader_among(others)
        responses = []
        reader = threading.Thread(target=lambda: responses.append(read_section(context.leader)))
        version = edit_through_others(context)
        reader.start()
        time.sleep(0.2)
        assert not responses
    finally:
        context.fleet.signal(context.leader.stem, signal.SIGCONT)
        context.fleet.suspended = None
    reader.join()
    assert responses, "the read got no response"
    # The request was sent while the process was suspended, so the leader must check its lease when
    # it processes the request.
    assert responses[0].status in (307, 503), responses
    assert responses[0].status == 307 or responses[0].code in REFUSALS, responses
    wait_until_everywhere(context, version)


def find_leader_among(others):
    deadline = time.monotonic() + WAIT_S
    while not any(read_section(settings).status == 200 for settings in others):
        assert time.monotonic() < deadline, "no other control host is leader"
        time.sleep(0.05)


@then("no control host or node ever returned to an older version")
def step_check_versions(context):
    context.version_recorder.close()
    recorded = context.version_recorder.versions
    assert len(recorded) == 6, sorted(recorded)
    for name, versions in recorded.items():
        assert len(versions) > 20, (name, versions)
        assert versions == sorted(versions), (name, versions)
