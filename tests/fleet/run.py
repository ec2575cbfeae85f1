"""Runs the Wheatsheaf example on loopback; --check tests what callers are promised, and stops."""

import argparse
import json
import signal
import sys
import tempfile
import uuid
from pathlib import Path

from fleet.client import Response, send_json, send_request, send_to_leader
from fleet.example import place_example, read_address
from fleet.processes import Fleet

RECIPES_TOKEN = "example-token-recipes"
RECIPES = "recipes.wheatsheaf.example"
ORDERS = "orders.wheatsheaf.example"


def main() -> int:
    """Start the example and print where it serves, or check it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--check", action="store_true", help="check the promises to callers, then stop"
    )
    parser.add_argument("--port-offset", type=int, default=0, help="number added to each port")
    options = parser.parse_args()
    signal.signal(signal.SIGTERM, _raise_interrupt)
    with tempfile.TemporaryDirectory(prefix="wheatsheaf-") as folder:
        example = place_example("wheatsheaf", Path(folder), port_offset=options.port_offset)
        fleet = Fleet(example)
        status = 0
        try:
            fleet.start_all()
            if options.check:
                status = check_promises(fleet)
            else:
                _print_addresses(fleet)
                signal.pause()
        except KeyboardInterrupt:
            print("stopping")
        finally:
            signal.signal(signal.SIGINT, signal.SIG_IGN)
            signal.signal(signal.SIGTERM, signal.SIG_IGN)
            statuses = fleet.stop_all()
        failed = {name: code for name, code in statuses.items() if code != 0}
        if failed:
            print(f"did not stop cleanly: {failed}")
            return 1
        return status


def check_promises(fleet: Fleet) -> int:
    """Check each promise to callers, print one line for it, and return 0 if all were kept."""
    caller_addresses = [read_address(path, "caller_listen") for path in fleet.example.nodes]
    operator_addresses = [read_address(path, "operator_listen") for path in fleet.example.controls]
    key = f"check-{uuid.uuid4()}"
    results = [
        _check_read(caller_addresses[0]),
        _check_order(caller_addresses[0], key, expected_runs=1, fleet=fleet, label="kit order"),
        _check_order(
            caller_addresses[1], key, expected_runs=1, fleet=fleet, label="same order again"
        ),
        _check_document_change(operator_addresses),
    ]
    return 0 if all(results) else 1


def count_runs(fleet: Fleet, key: str) -> int:
    """Return how often the stand-in backend servers ran the action with a key."""
    targets = json.loads(fleet.example.targets.read_text())["targets"]
    counts = [send_request(target["address"], "GET", "/_counts").json for target in targets]
    return sum(count["runs"].get(key, 0) for count in counts)


def _check_read(address: str) -> bool:
    response = send_request(address, "GET", "/recipes/7", headers={"Host": RECIPES})
    kept = response.status == 200 and response.json["path"] == "/recipes/7"
    return _print_result("read", kept, response)


def _check_order(address: str, key: str, *, expected_runs: int, fleet: Fleet, label: str) -> bool:
    headers = {
        "Host": ORDERS,
        "Idempotency-Key": key,
        "X-Workspace": "bakers",
        "Content-Type": "application/json",
    }
    response = send_json(address, "POST", "/kit-orders", {"kit": "supper"}, headers=headers)
    runs = count_runs(fleet, key)
    outcome = response.headers.get("samphire-outcome")
    kept = response.status == 200 and outcome == "ran" and runs == expected_runs
    return _print_result(label, kept, response, note=f", runs at the backend servers: {runs}")


def _check_document_change(addresses: list[str]) -> bool:
    path = "/v1/document/sections/recipes"
    current = send_to_leader(addresses, "GET", path, token=RECIPES_TOKEN)
    if current.status != 200:
        return _print_result("document change", False, current)
    content = current.json["content"]
    content["routes"][0]["deadline_ms"] = 2_500
    change = {
        "base_version": current.json["version"],
        "change_id": str(uuid.uuid4()),
        "content": content,
    }
    response = send_to_leader(addresses, "PUT", path, change, token=RECIPES_TOKEN)
    return _print_result("document change", response.status == 200, response)


def _print_result(label: str, kept: bool, response: Response, *, note: str = "") -> bool:
    outcome = response.headers.get("samphire-outcome")
    outcome_text = f", outcome {outcome}" if outcome else ""
    verdict = "ok" if kept else "FAILED"
    body = "" if kept else f" {response.body[:300]!r}"
    print(f"{label}: {verdict}: status {response.status}{outcome_text}{note}{body}")
    return kept


def _print_addresses(fleet: Fleet) -> None:
    for path in fleet.example.nodes:
        print(f"callers:   http://{read_address(path, 'caller_listen')}  ({path.stem})")
    for path in fleet.example.controls:
        print(f"operators: http://{read_address(path, 'operator_listen')}  ({path.stem})")
    address = read_address(fleet.example.nodes[0], "caller_listen")
    print(f"try: curl -i -H 'Host: {RECIPES}' http://{address}/recipes/7", flush=True)


def _raise_interrupt(number, frame):
    raise KeyboardInterrupt


if __name__ == "__main__":
    sys.exit(main())
