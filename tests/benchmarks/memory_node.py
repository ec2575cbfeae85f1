"""A node process with full tables and rate limit buckets; started by the benchmark `memory`.

It imports only the node's own code, so that its memory use is that of a node.
"""

import sys
from pathlib import Path

import anyio

from samphirespring.process.composition.node import Node
from samphirespring.process.garbage_collection import freeze_loaded_objects
from samphirespring.process.logs.logs import configure_logs
from samphirespring.process.mailbox import ReplySlot
from samphirespring.process.runtime import load_settings_or_exit
from samphirespring.process.settings import NodeSettings
from samphirespring.process.target_table import TargetTable
from samphirespring.process.traffic_limiter import BUCKET_CAPACITY, AdmitRequest, TrafficLimiter
from samphirespring.version.document import RateLimit

CHUNK = 5_000
POLL_S = 0.2
SLOW_LIMIT = RateLimit(requests_per_s=0.001, burst=1)


async def main(path: Path) -> None:
    """Run the node, fill its buckets once it has the target table, and print "filled".

    Args:
        path: The node's settings.
    """
    node = Node(load_settings_or_exit(path, NodeSettings))
    freeze_loaded_objects()
    async with anyio.create_task_group() as group:
        group.start_soon(node.run)
        await _wait_for_table(_find_task(node, TargetTable))
        await _fill_buckets(_find_task(node, TrafficLimiter))
        print("filled", flush=True)


def _find_task(node, kind):
    return next(task for task in node._tasks if isinstance(task, kind))


async def _wait_for_table(table: TargetTable) -> None:
    while not (await table.dump()).hosts:
        await anyio.sleep(POLL_S)


async def _fill_buckets(limiter: TrafficLimiter) -> None:
    for first in range(0, BUCKET_CAPACITY, CHUNK):
        for number in range(first, first + CHUNK):
            limiter.inbox.post(_make_request(number))
        # Messages are handled in order, so the reply shows that the requests have been processed.
        await limiter.dump()


def _make_request(number: int) -> AdmitRequest:
    return AdmitRequest(
        service="team-1-1",
        bucket=f"workspace-{number % 40:03d}-{number // 40:06d}",
        workspace_limit=SLOW_LIMIT,
        route_name="",
        route_limit=None,
        reply=ReplySlot(),
    )


if __name__ == "__main__":
    configure_logs("error")
    anyio.run(main, Path(sys.argv[1]))
