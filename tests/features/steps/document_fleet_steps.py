import hashlib
import http.client
import json
import os
import subprocess
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from behave import given, then, when

from fleet.client import send_request, send_to_leader
from fleet.example import place_example, read_address
from fleet.processes import PROGRAM_FOLDER, read_dump, run_fleet

PORT_OFFSET = int(os.environ.get("SAMPHIRE_PORT_OFFSET", "0"))
SETTLE_S = 20.0
WITH_FOLDER = ("node-alta-1", "node-sask-1")
WITHOUT_FOLDER = "node-mani-1"


def enter(context, manager):
    """Enter a context manager and exit it when the scenario ends."""
    value = manager.__enter__()
    context.add_cleanup(manager.__exit__, None, None, None)
    return value


def token(team):
    return f"example-token-{team}"


def wait_until(condition):
    deadline = time.monotonic() + SETTLE_S
    while True:
        found = condition()
        if found or time.monotonic() > deadline:
            return found
        time.sleep(0.05)


def list_operators(context):
    return [read_address(path, "operator_listen") for path in context.fleet.example.controls]


def read_section(context, name, team):
    path = f"/v1/document/sections/{name}"
    return send_to_leader(list_operators(context), "GET", path, token=token(team)).json


def put_section(addresses, name, body):
    path = f"/v1/document/sections/{name}"
    return send_to_leader(addresses, "PUT", path, body, token=token(name))


def read_in_force(context, node):
    address = read_address(context.fleet.example.folder / f"{node}.json", "local_listen")
    try:
        return send_request(address, "GET", "/v1/ready").json["document_version"]
    except OSError:
        return None


def read_newest_version(context):
    return send_to_leader(
        list_operators(context), "GET", "/v1/document", token=token("operators")
    ).json["version"]


@given("a fleet whose nodes have data folders")
def step_start(context):
    folder = Path(enter(context, tempfile.TemporaryDirectory()))
    overrides = {
        f"{name}.json": {"data_folder": str(folder / "data" / name)} for name in WITH_FOLDER
    }
    example = place_example("wheatsheaf", folder, port_offset=PORT_OFFSET, overrides=overrides)
    context.fleet = enter(context, run_fleet(example))


def make_changes(context, team, count, addresses, before_change):
    """Change a section repeatedly; return the sent bodies with their responses."""
    section = read_section(context, team, team)
    base = section["version"]
    made = []
    for number in range(count):
        before_change(number)
        content = json.loads(json.dumps(section["content"]))
        content["routes"][0]["deadline_ms"] = 2_000 + number
        body = {"base_version": base, "change_id": f"{team}-{number}", "content": content}
        response = put_section(addresses, team, body)
        made.append((body, response))
        base = response.json.get("version", base)
    return made


@when("teams {names} each make {count:d} changes, each through its own control host")
def step_edit(context, names, count):
    context.teams = [name.strip('"') for name in names.split(" and ")]
    context.count = count


@when("the leading control host is killed after {done:d} changes of each team")
def step_kill_leader(context, done):
    operators = list_operators(context)
    status = send_to_leader(operators, "GET", "/v1/status", token=token("operators")).json
    (group,) = [group for group in status["groups"] if group["group"] == "document"]
    context.killed = group["leader"]
    others = [path for path in context.fleet.example.controls if path.stem != context.killed]
    with ThreadPoolExecutor(max_workers=len(context.teams) + 1) as pool:
        change_counts = dict.fromkeys(context.teams, 0)

        def run_team(team, own_control):
            def record_count(number):
                change_counts[team] = number

            # Each team tries its own control host first, then the others.
            addresses = [read_address(own_control, "operator_listen"), *operators]
            return make_changes(context, team, context.count, addresses, record_count)

        futures = [
            pool.submit(run_team, team, own_control)
            for team, own_control in zip(context.teams, others, strict=True)
        ]
        assert wait_until(lambda: min(change_counts.values()) >= done), change_counts
        context.fleet.kill(context.killed)
        context.made = {
            team: future.result() for team, future in zip(context.teams, futures, strict=True)
        }


@then("every change was accepted once, and the history has the changes in order")
def step_check_changes(context):
    for team, made in context.made.items():
        for body, response in made:
            assert response.status == 200, (team, body["change_id"], response)
        path = f"/v1/document/history?section={team}&limit=1000"
        history = send_to_leader(list_operators(context), "GET", path, token=token(team)).json
        expected = [(body["change_id"], response.json["version"]) for body, response in made]
        found = [(change["change_id"], change["version"]) for change in history["changes"]]
        assert found == expected, (found, expected)


@then("a resend of every change gets its first response")
def step_resend(context):
    for team, made in context.made.items():
        for body, response in made:
            again = put_section(list_operators(context), team, body)
            assert (again.status, again.body) == (response.status, response.body), (response, again)


@then("the newest version is in force at every node")
def step_check_in_force(context):
    version = read_newest_version(context)
    nodes = [path.stem for path in context.fleet.example.nodes]
    assert wait_until(lambda: all(read_in_force(context, node) == version for node in nodes)), (
        version,
        [read_in_force(context, node) for node in nodes],
    )


@when("the killed control host starts again")
def step_restart_control(context):
    context.fleet.start_control(context.fleet.example.folder / f"{context.killed}.json")


@then("it has the same document as the other control hosts")
def step_check_restarted(context):
    operators = {
        path.stem: read_address(path, "operator_listen") for path in context.fleet.example.controls
    }
    headers = {"Authorization": f"Bearer {token('operators')}"}

    def read(name):
        try:
            return send_request(
                operators[name], "GET", "/v1/document?local=true", headers=headers
            ).body
        except OSError:
            return None

    other = next(name for name in operators if name != context.killed)
    assert wait_until(lambda: read(context.killed) == read(other)), read(context.killed)


@when('team "{team}" makes {count:d} changes, which come into force at every node')
def step_make_changes(context, team, count):
    make_changes(context, team, count, list_operators(context), lambda number: None)
    step_check_in_force(context)
    context.version = read_newest_version(context)


@when("every control host is killed")
def step_kill_controls(context):
    # The nodes save a version with a delay after it comes into force.
    folders = [context.fleet.example.folder / "data" / name for name in WITH_FOLDER]
    nodes = [context.fleet.example.folder / f"{name}.json" for name in WITH_FOLDER]
    assert wait_until(lambda: all((folder / "document.bin").exists() for folder in folders))
    assert wait_until(
        lambda: all(
            read_dump(read_address(node, "local_listen"))["document_saver"]["saved"]["version"]
            == context.version
            for node in nodes
        )
    )
    for path in context.fleet.example.controls:
        context.fleet.kill(path.stem)


@when("the node with a data folder is killed and starts again")
def step_restart_with_folder(context):
    name = WITH_FOLDER[0]
    context.fleet.kill(name)
    context.fleet.start_node(context.fleet.example.folder / f"{name}.json")


@when("the node without a data folder is killed and starts again with a peer in its settings")
def step_restart_without_folder(context):
    context.fleet.kill(WITHOUT_FOLDER)
    folder = context.fleet.example.folder
    path = folder / f"{WITHOUT_FOLDER}.json"
    settings = json.loads(path.read_text())
    settings["peer_links"] = [read_address(folder / f"{WITH_FOLDER[1]}.json", "link_listen")]
    path.write_text(json.dumps(settings))
    context.fleet.start_node(path)


@then("both nodes have the newest document in force")
def step_check_restarted_nodes(context):
    nodes = (WITH_FOLDER[0], WITHOUT_FOLDER)
    assert wait_until(
        lambda: all(read_in_force(context, node) == context.version for node in nodes)
    ), [read_in_force(context, node) for node in nodes]


NEW_TOKEN = "replaced-token-of-recipes"
"""Token of the team whose old one is withdrawn."""


def read_status(address, bearer):
    """Return the status of a read of the host's own document, or None if it doesn't respond."""
    try:
        headers = {"Authorization": f"Bearer {bearer}"}
        path = "/v1/document/sections/recipes?local=true"
        return send_request(address, "GET", path, headers=headers).status
    except (OSError, http.client.HTTPException):
        return None


@when(
    'the operators replace the token of team "{team}", and every control host rejects the old one'
)
def step_replace_token(context, team):
    context.old_token = token(team)
    section = read_section(context, "access", "operators")
    content = section["content"]
    content["teams"][team]["token_sha256"] = hashlib.sha256(NEW_TOKEN.encode()).hexdigest()
    body = {"base_version": section["version"], "change_id": "replace", "content": content}
    path = "/v1/document/sections/access"
    addresses = list_operators(context)
    response = send_to_leader(addresses, "PUT", path, body, token=token("operators"))
    assert response.status == 200, response
    assert wait_until(
        lambda: all(read_status(address, context.old_token) == 401 for address in addresses)
    )


@when("every control host is killed and starts again")
def step_restart_controls(context):
    context.fleet.restart_controls()


@then("no control host accepts the old token until each has accepted the new one")
def step_check_withdrawn(context):
    statuses = set()

    def accepts_new(address):
        statuses.add(read_status(address, context.old_token))
        return read_status(address, NEW_TOKEN) == 200

    waiting = set(list_operators(context))
    assert wait_until(lambda: not _drop(waiting, accepts_new)), waiting
    assert statuses <= {None, 401, 503} and 401 in statuses, statuses


def _drop(waiting, is_done):
    """Drop the entries that are done, and return the others."""
    waiting -= {entry for entry in waiting if is_done(entry)}
    return waiting


def run_ctl(addresses, team, command):
    options = [part for address in addresses for part in ("--control", address)]
    return subprocess.run(
        [str(PROGRAM_FOLDER / "samphirectl"), *options, "--timeout-s", "3", *command],
        env={**os.environ, "SAMPHIRE_TOKEN": token(team)},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


@then('"samphirectl" exits with these statuses')
def step_run_ctl(context):
    folder = context.fleet.example.folder
    section = read_section(context, "recipes", "recipes")["content"]
    section["routes"][0]["deadline_ms"] = 1_234
    files = {name: folder / f"{name}.txt" for name in ("recipes", "invalid", "missing")}
    files["recipes"].write_text(json.dumps(section))
    files["invalid"].write_text(json.dumps({**section, "unknown": 1}))
    # The first address is unreachable: every command must try the others.
    addresses = ["127.0.0.1:9", *list_operators(context)]
    for row in context.table:
        command = row["command"].format(**files).split()
        result = run_ctl(addresses, row["team"], command)
        assert result.returncode == int(row["status"]), (row, result)
        assert "Traceback" not in result.stderr, result.stderr


def is_registered(context, target):
    """Return whether the registry has a host that announces a target."""
    hosts = send_to_leader(list_operators(context), "GET", "/v1/hosts", token=token("operators"))
    return any(target in host["targets"] for host in hosts.json)


@then("a drained target rejects requests until the drain ends, also after its node was killed")
def step_check_drain(context):
    node = context.fleet.example.folder / "node-alta-1.json"

    def read_phase():
        dump = read_dump(read_address(node, "local_listen"))
        phases = {t["target"]: t["load"][0] for t in dump["agent"]["targets"]}
        return phases.get("orders-alta-1-1")

    assert read_phase() == "draining"
    context.fleet.kill(node.stem)
    context.fleet.start_node(node)
    context.fleet.wait_until_serving()
    # The target is back once it has announced itself again.
    assert wait_until(read_phase) == "draining"
    # The registry may still have the record of the restarted node without its target.
    assert wait_until(lambda: is_registered(context, "orders-alta-1-1"))
    result = run_ctl(
        list_operators(context), "operators", ["drain-target", "orders-alta-1-1", "--end"]
    )
    assert result.returncode == 0, result
    assert read_phase() == "serving"


@then('"samphirectl" without a reachable control host exits with {status:d}')
def step_check_unreachable(context, status):
    result = run_ctl(["127.0.0.1:9"], "operators", ["status"])
    assert result.returncode == status, result
