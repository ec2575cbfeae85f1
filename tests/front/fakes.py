"""A real front and target table, with a scripted sender and recorded responses."""

import asyncio
import random
from collections import Counter, defaultdict
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio
import msgspec

from front.virtual_time import VirtualTimerService
from samphirespring.connection.link_errors import LinkUnavailableError
from samphirespring.process.action_runner import ActionRunner
from samphirespring.process.front import Front, UseDocument
from samphirespring.process.ledger.action_ledger import ActionLedger
from samphirespring.process.ledger.claim_state_machine import ClaimStateMachine
from samphirespring.process.ledger.fencer import AttemptFencer
from samphirespring.process.local_targets import LocalTargetSource
from samphirespring.process.metrics.metric_names import make_metric_name
from samphirespring.process.metrics.metrics import NullMetrics
from samphirespring.process.replication.state_machine import LocalProposer
from samphirespring.process.states import TargetCondition, TargetPhase
from samphirespring.process.target_table import TargetTable
from samphirespring.process.target_table_messages import ApplyDelta
from samphirespring.process.targets import (
    HostRecord,
    Locality,
    RegistryDelta,
    TargetLoad,
    TargetRecord,
)
from samphirespring.process.traffic_limiter import TrafficLimiter
from samphirespring.request.action_exchange import ActionContext
from samphirespring.request.attempt_sender import AttemptSender
from samphirespring.request.body import EMPTY_BODY
from samphirespring.request.caller import CallerRequest, ResponseWriter
from samphirespring.request.context import ExchangeContext
from samphirespring.request.errors import RequestError
from samphirespring.request.messages import (
    AttemptFailed,
    AttemptRefused,
    AttemptRequest,
    ResponseChunk,
    ResponseEnd,
    ResponseHead,
)
from samphirespring.request.selection import NearestOfTwoSelector
from samphirespring.request.states import FailureKind, Outcome, RefusalCode
from samphirespring.version.compilation import compile_document
from samphirespring.version.document import Document, TeamSection

HERE = Locality(region="r1", failure_domain="r1-a", host="h0")
LOAD = TargetLoad(
    phase=TargetPhase.SERVING, condition=TargetCondition.HEALTHY, free_slots=5, slots=5
)
REPLAY_BYTES = 100
ANSWER = b"x" * 40


class CountingMetrics(NullMetrics):
    """Records counters and durations."""

    def __init__(self):
        self.counts = Counter()
        self.durations = defaultdict(list)

    def count(self, name, *label_values, amount=1):
        self.counts[make_metric_name(name, label_values)] += amount

    def set_gauge(self, name, *label_values, value):
        pass

    def record_duration(self, name, duration_s):
        self.durations[name.value].append(duration_s)


@dataclass(frozen=True, kw_only=True)
class AttemptScript:
    """What the sender does with one attempt; `kind` selects the frames that it returns."""

    kind: str = "answer"
    delay_s: float = 0.002
    code: RefusalCode = RefusalCode.NO_SLOT
    retry_after_ms: int | None = None
    by_target: bool = False
    long: bool = False


class ScriptedSender(AttemptSender):
    """Treats each attempt by its script, and counts the attempts that were executed."""

    def __init__(self, choose_script):
        self.choose_script = choose_script
        self.runs = Counter()
        self.attempts = Counter()
        self.cancelled = 0
        self.open = 0

    @asynccontextmanager
    async def send(self, request, *, body, link_address):
        script = self.choose_script(request)
        self.attempts[request.request] += 1
        self.open += 1
        try:
            if script.kind == "no_link":
                raise LinkUnavailableError("no link", sent=False)
            yield self._iterate(request, script)
        except (asyncio.CancelledError, GeneratorExit):
            self.cancelled += 1
            raise
        finally:
            self.open -= 1

    async def _iterate(self, request, script):
        if script.kind not in ("refuse", "not_started"):
            self.runs[request.request] += 1
        await anyio.sleep(script.delay_s)
        for frame in _make_frames(request, script):
            yield frame
        if script.kind == "lost":
            raise LinkUnavailableError("link broke", sent=True)
        if script.kind == "stall":
            await anyio.sleep(1e6)


def _make_frames(request, script):
    attempt = request.attempt
    body = request.request.encode() + ANSWER * (5 if script.long else 1)
    head = ResponseHead(attempt=attempt, status=200, headers=(), body_length=len(body))
    end = ResponseEnd(attempt=attempt, body_length=len(body), load=LOAD)
    chunks = [ResponseChunk(data=body[i : i + 30]) for i in range(0, len(body), 30)]
    other_attempt = "another-attempt"
    match script.kind:
        case "answer":
            return [head, *chunks, end]
        case "duplicate":
            return [head, *chunks, end, head, *chunks, end]
        case "cut":
            return [head, *chunks[:-1]]
        case "short":
            return [head, *chunks[:-1], end]
        case "foreign_head":
            wrong_chunk = ResponseChunk(data=b"other" + ANSWER)
            wrong_head = msgspec.structs.replace(head, attempt=other_attempt, body_length=45)
            return [
                wrong_head,
                wrong_chunk,
                ResponseEnd(attempt=other_attempt, body_length=45, load=LOAD),
            ]
        case "foreign_end":
            return [head, *chunks, msgspec.structs.replace(end, attempt=other_attempt)]
        case "foreign_refusal":
            return [AttemptRefused(attempt=other_attempt, code=RefusalCode.NO_SLOT)]
        case "late_refusal":
            return [head, chunks[0], AttemptRefused(attempt=attempt, code=RefusalCode.NO_SLOT)]
        case "refuse":
            hint = script.retry_after_ms
            return [
                AttemptRefused(
                    attempt=attempt,
                    code=script.code,
                    retry_after_ms=hint,
                    by_target=script.by_target,
                )
            ]
        case "not_started":
            return [AttemptFailed(attempt=attempt, kind=FailureKind.CONNECT, started=False)]
        case "fail":
            return [AttemptFailed(attempt=attempt, kind=FailureKind.RESET, started=True)]
        case _:
            return []


def make_attempt_message(**members):
    """Return an attempt as an agent receives it."""
    values = {
        "request": "r",
        "target": "t",
        "service": "s",
        "document_version": 1,
        "method": b"POST",
        "path": b"/",
        "headers": (),
        "body": b"",
        "remaining_ms": 1,
        "priority": "action",
        "idempotent": False,
        "answer": {},
        **members,
    }
    fields = msgspec.structs.fields(AttemptRequest)
    return msgspec.convert([values.get(f.name, f.default) for f in fields], AttemptRequest)


@dataclass
class RecordingWriter(ResponseWriter):
    """Records the response that the caller receives."""

    heads: list = field(default_factory=list)
    body: bytes = b""
    finish_count: int = 0

    @property
    def finished(self):
        return self.finish_count > 0

    async def write_head(self, status, headers, metadata):
        self.heads.append(metadata)

    async def write_chunk(self, data):
        self.body += data

    async def finish(self):
        self.finish_count += 1

    async def abort(self):
        pass


@dataclass
class Call:
    """One caller's request with its response or error."""

    request: CallerRequest
    writer: RecordingWriter
    error: RequestError | None = None
    ended_s: float | None = None

    @property
    def outcome(self):
        if self.writer.finished:
            return Outcome.RAN
        return None if self.error is None else self.error.outcome


class LocalLedger(ActionLedger):
    """A ledger with a single replica in this process."""

    def __init__(self):
        self.state_machine = ClaimStateMachine()
        self.proposer = LocalProposer(self.state_machine)

    async def propose(self, command):
        return await self.proposer.propose(command)

    async def read(self, key, *, wait_s, any_replica):
        return self.state_machine.read(key)


class UnreachableFencer(AttemptFencer):
    """Fencer that can't reach any agent."""

    async def fence(self, assignment):
        return None


class FakeFleet:
    """A front with targets on several hosts."""

    def __init__(
        self,
        *,
        route,
        service,
        choose_script,
        host_count=4,
        seed=1,
        fleet=None,
        keys=None,
        adapt=None,
    ):
        self.sender = ScriptedSender(choose_script)
        self.timers = VirtualTimerService()
        self.metrics = CountingMetrics()
        generator = random.Random(seed)
        self.traffic = TrafficLimiter(timers=self.timers, generator=generator)
        self.table = TargetTable(
            NearestOfTwoSelector(generator),
            locality=HERE,
            timers=self.timers,
            traffic_limiter=self.traffic.inbox,
        )
        self.exchanges = exchanges = ExchangeContext(
            sender=self.sender,
            table=self.table.inbox,
            targets=LocalTargetSource(self.table.inbox),
            traffic_limiter=self.traffic.inbox,
            timers=self.timers,
            metrics=self.metrics,
            generator=generator,
            replay_buffer_bytes=REPLAY_BYTES,
        )
        if adapt is not None:
            self.exchanges = exchanges = adapt(exchanges)
        self.ledger = LocalLedger()
        self.actions = ActionRunner(ledger=self.ledger, timers=self.timers, metrics=self.metrics)
        self.front = Front(
            exchanges,
            actions=ActionContext(
                exchange=exchanges, ledger=self.ledger, fencer=UnreachableFencer()
            ),
            runner=self.actions,
            keys=keys,
        )
        section = TeamSection(services={route.service: service}, routes=(route,))
        document = Document(
            version=1, teams={"team": section}, **({"fleet": fleet} if fleet else {})
        )
        self.compiled = compile_document(document)
        self.hosts = tuple(_make_host(number, route.service) for number in range(host_count))
        self.calls = []

    async def run(self):
        """Run the front's tasks until cancelled."""
        delta = RegistryDelta(since=0, version=1, complete=True, hosts=self.hosts)
        self.table.inbox.post(ApplyDelta(delta=delta))
        self.front.inbox.post(UseDocument(compiled=self.compiled))
        async with anyio.create_task_group() as group:
            for task in (self.table, self.traffic, self.actions, self.front):
                group.start_soon(task.run)

    async def call(self, *, workspace="w", address="10.0.0.1", key=None, api_key=None, path="/"):
        """Send one request and return it with its response or error."""
        request = CallerRequest(
            request=f"request-{len(self.calls)}-",
            method="GET",
            host="a.example",
            path=path,
            target=path.encode(),
            headers=(),
            body=EMPTY_BODY,
            deadline_ms=None,
            address=address,
            workspace=workspace,
            key=key,
            api_key=api_key,
        )
        call = Call(request=request, writer=RecordingWriter())
        self.calls.append(call)
        try:
            await self.front.serve(request, call.writer, self.compiled)
        except RequestError as error:
            call.error = error
        call.ended_s = self.timers.read_now_s()
        return call

    async def call_burst(self, count, *, spacing_s=0.0):
        """Send requests at a fixed interval, and wait for all of them."""
        async with anyio.create_task_group() as group:
            for _ in range(count):
                group.start_soon(self.call)
                if spacing_s:
                    await anyio.sleep(spacing_s)


def run_virtual(fleet, main):
    """Run a coroutine function beside a fake fleet, in virtual time."""
    from front.virtual_time import VirtualLoop

    async def run_main():
        async with anyio.create_task_group() as group:
            group.start_soon(fleet.run)
            await anyio.sleep(0.001)
            await main()
            group.cancel_scope.cancel()

    anyio.run(run_main, backend_options={"loop_factory": VirtualLoop})


def _make_host(number, service):
    domain = "r1-a" if number < 2 else "r1-b"
    return HostRecord(
        locality=Locality(region="r1", failure_domain=domain, host=f"h{number}"),
        incarnation=1,
        link_address=f"127.0.0.1:{1000 + number}",
        sequence=1,
        targets=(TargetRecord(target=f"t{number}", service=service, load=LOAD),),
    )
