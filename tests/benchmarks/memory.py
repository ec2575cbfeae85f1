"""Resident memory of one node process with all its tables at full size."""

import json
import os
import subprocess
import sys
import tempfile
import urllib.request
from contextlib import asynccontextmanager
from pathlib import Path

import anyio
import anyio.to_thread
import psutil

from benchmarks.capacity import HOSTS, TARGETS_PER_HOST, fill_state_machine, make_record
from benchmarks.document import ROUTES, SECTIONS, WORKSPACES, make_large_section
from benchmarks.figures import Figure
from document.distribution import make_document_handlers
from samphirespring.connection.link_server import UnaryHandler, serve_link
from samphirespring.connection.registry_link import REPORT_HOSTS
from samphirespring.process.document.store import DocumentStore
from samphirespring.process.metrics.metrics import NullMetrics
from samphirespring.process.registry_service import RegistryService
from samphirespring.process.replication.state_machine import LocalProposer
from samphirespring.process.runtime import run_tasks
from samphirespring.process.timers import MonotonicTimerService
from samphirespring.version.section_set import SectionSet, store_section
from samphirespring.version.stamp import DocumentStamp

PORT = 19_800 + int(os.environ.get("SAMPHIRE_PORT_OFFSET", "0"))
LIMIT_MB = 128
CHANGES = 10
POLL_S = 0.2
TIMEOUT_S = 120.0
MEGABYTE = 1e6


def measure():
    """Return the figures."""
    return anyio.run(_measure)


async def _measure():
    timers = MonotonicTimerService()
    state_machine = fill_state_machine(HOSTS)
    registry = RegistryService(
        state_machine=state_machine,
        proposer=LocalProposer(state_machine),
        lease_s=1_000.0,
        timers=timers,
        metrics=NullMetrics(),
    )
    documents = DocumentStore(timers=timers)
    sections = _make_sections()
    documents.newest.post(sections)
    handlers = [*make_document_handlers(documents), UnaryHandler(REPORT_HOSTS, registry.report)]
    async with (
        run_tasks((registry, documents)),
        serve_link(handlers, address=f"127.0.0.1:{PORT}"),
        _run_node() as process,
    ):
        started_mb = await _read_when_filled(process, version=1)
        for number in range(CHANGES):
            text = make_large_section(number, 1.0, floor=0.8)
            sections = sections.replace_section(f"team-{number}", text)
            documents.newest.post(sections)
            await _wait_for_version(sections.stamp.version)
        changed_mb = _read_resident_mb(process)
    size = f"{HOSTS * TARGETS_PER_HOST} targets, {ROUTES} routes, {WORKSPACES} workspaces"
    return [
        _make_figure(f"node process, {size}, 100,000 buckets", started_mb),
        _make_figure(f"the same after {CHANGES} changes of the document", changed_mb),
    ]


def _make_figure(name, value):
    return Figure(
        name=name, value=value, unit="MB", baseline=LIMIT_MB, baseline_name="a node's limit"
    )


def _make_sections():
    return SectionSet(
        stamp=DocumentStamp(generation=1, version=1),
        sections={
            f"team-{number}": store_section(
                f"team-{number}", make_large_section(number, 1.0), version=1
            )
            for number in range(SECTIONS)
        },
    )


@asynccontextmanager
async def _run_node():
    locality = make_record(0).locality
    settings = {
        "locality": {
            "region": locality.region,
            "failure_domain": locality.failure_domain,
            "host": "own-host",
        },
        "caller_listen": f"127.0.0.1:{PORT + 1}",
        "link_listen": f"127.0.0.1:{PORT + 2}",
        "local_listen": f"127.0.0.1:{PORT + 3}",
        "control_links": [f"127.0.0.1:{PORT}"],
    }
    with tempfile.TemporaryDirectory(prefix="memory-") as folder:
        path = Path(folder) / "node.json"
        path.write_text(json.dumps({**settings, "data_folder": folder}))
        process = subprocess.Popen(
            [sys.executable, "-m", "benchmarks.memory_node", str(path)], stdout=subprocess.PIPE
        )
        try:
            yield process
        finally:
            process.terminate()
            await anyio.to_thread.run_sync(process.wait)


async def _read_when_filled(process, *, version):
    with anyio.fail_after(TIMEOUT_S):
        line = await anyio.to_thread.run_sync(process.stdout.readline, abandon_on_cancel=True)
        assert line == b"filled\n", line
        await _wait_for_version(version)
    return _read_resident_mb(process)


async def _wait_for_version(version):
    with anyio.fail_after(TIMEOUT_S):
        while await anyio.to_thread.run_sync(_read_version) != version:
            await anyio.sleep(POLL_S)


def _read_version():
    with urllib.request.urlopen(f"http://127.0.0.1:{PORT + 3}/v1/ready", timeout=30) as response:
        return json.load(response)["document_version"]


def _read_resident_mb(process):
    return psutil.Process(process.pid).memory_info().rss / MEGABYTE
