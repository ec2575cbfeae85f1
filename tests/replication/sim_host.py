"""One simulated control host: a member of one group on a fake disk."""

from collections import deque

import msgspec

from replication.fake_disk import FakeDisk
from replication.line_list import AddLine, LineList
from samphirespring.process.ids import GroupId, ReplicaId
from samphirespring.process.replication.applier import Applier
from samphirespring.process.replication.context import GroupLimits
from samphirespring.process.replication.effects import (
    Apply,
    FormGroup,
    InstallSnapshot,
    Persist,
    Post,
    SendSnapshotChunk,
    WriteIdentity,
)
from samphirespring.process.replication.entries import Member
from samphirespring.process.replication.errors import DiskFailedError
from samphirespring.process.replication.group_member import GroupMember
from samphirespring.process.replication.messages import SnapshotChunk
from samphirespring.process.replication.replica_files import open_files
from samphirespring.process.replication.state_machine_adapter import StateMachineAdapter
from samphirespring.process.replication.storage import GroupStorage
from samphirespring.process.replication.write_jobs import (
    FirstMembershipWritten,
    SnapshotWritten,
    WritesSynced,
    perform_batch,
    split_jobs,
)

GROUP = GroupId("lines")
LIMITS = GroupLimits(snapshot_entries=12, retained_entries=4)
CHUNK_BYTES = 256
MEMBER_FOLDER = "replication/lines"


class SimHost:
    """Replaces the tasks that run one member, in virtual time."""

    def __init__(self, name, *, peers, random, network, checks, timing):
        self.name = name
        self.address = f"addr-{name}"
        self.peers = peers
        self.random = random
        self.network = network
        self.checks = checks
        self.timing = timing
        self.disk = FakeDisk()
        self.member = None
        self.storage = None
        self.line_list = None
        self.applier = None
        self.jobs = deque()
        self.jobs_due_at_s = None
        self.last_identity = None
        self.placed = None
        """Hosts on which the settings place the group; read at each start."""
        self.discovery = None
        """How members are found if the settings name only some hosts; read at each start."""
        self.quarantined_count = 0
        self.failure_domain = None
        self.suspended_at_s = None
        self.was_suspended = False
        self.clock_rate = random.uniform(0.97, 1.03)
        self.clock_offset_s = random.uniform(0.0, 1000.0)

    @property
    def is_up(self):
        return self.member is not None

    def read_clock(self, now_s):
        """Return the host's monotonic clock, which stops while the host is suspended."""
        time_s = now_s if self.suspended_at_s is None else self.suspended_at_s
        return self.clock_offset_s + time_s * self.clock_rate

    def suspend(self, now_s, *, duration_s):
        self.suspended_at_s = now_s
        self.was_suspended = True
        # Just after the test resumes the host.
        self.resumes_at_s = now_s + duration_s + 0.001

    def resume(self, now_s):
        self.clock_offset_s -= (now_s - self.suspended_at_s) * self.clock_rate
        self.suspended_at_s = None

    def start(self, now_s):
        self.storage = GroupStorage(disk=self.disk, folder=MEMBER_FOLDER)
        self.line_list = LineList()
        adapter = StateMachineAdapter(self.line_list)
        try:
            opened = open_files(
                self.storage,
                replica=ReplicaId(self.name),
                random=self.random,
                may_form=self.discovery is None or self.discovery.may_form,
            )
        except DiskFailedError:
            return
        self.quarantined_count += opened.quarantined is not None
        snapshot = opened.stored.log.snapshot
        adapter.restore(
            opened.stored.snapshot_data, index=0 if snapshot is None else snapshot.index
        )
        self.applier = Applier(adapter=adapter, limits=LIMITS)
        self.last_identity = opened.identity.member
        self.jobs.clear()
        self.jobs_due_at_s = None
        self.member = GroupMember(
            group=GROUP,
            own=Member(
                member=opened.identity.member,
                replica=ReplicaId(self.name),
                link_address=self.address,
                failure_domain=self.failure_domain,
            ),
            identity=opened.identity,
            stored=opened.stored,
            peers=self.peers,
            placed=self.placed,
            discovery=self.discovery,
            timing=self.timing,
            random=self.random,
            now_s=self.read_clock(now_s),
        )

    def crash(self):
        """Stop at once; pending writes may be performed without a sync."""
        if self.jobs and self.random.random() < 0.5:
            self.disk.ignores_sync = True
            batch = split_jobs(list(self.jobs), limit=8)[0]
            if isinstance(batch[0], Persist):
                perform_batch(self.storage, batch)
            self.disk.ignores_sync = False
        self.member = None
        self.disk.crash(self.random)

    def lose_disk(self):
        self.member = None
        self.disk = FakeDisk()
        self.last_identity = None

    def tick(self, now_s):
        self.member.tick(self.read_clock(now_s))
        self.checks.check_step_down(self, now_s)
        self.perform(now_s)

    def receive(self, envelope, address, now_s):
        self.member.receive(envelope, address=address, now_s=self.read_clock(now_s))
        self.perform(now_s)

    def propose(self, text, now_s):
        if self.is_up and self.member.replica.may_propose(self.read_clock(now_s)):
            payload = msgspec.msgpack.encode(AddLine(text=text))
            self.member.replica.propose(payload)
            self.perform(now_s)

    def write(self, now_s):
        """Perform the pending disk jobs."""
        batches = split_jobs(list(self.jobs), limit=8)
        self.jobs.clear()
        self.jobs_due_at_s = None
        try:
            for batch in batches:
                self.handle_write_outcome(perform_batch(self.storage, batch), now_s)
                if not self.is_up:
                    return
        except DiskFailedError:
            self.member = None
            return
        self.perform(now_s)

    def handle_write_outcome(self, outcome, now_s):
        match outcome:
            case WritesSynced():
                clock_s = self.read_clock(now_s)
                self.member.replica.mark_persisted(outcome.token, now_s=clock_s)
            case SnapshotWritten():
                self.member.replica.compact_log(
                    outcome.mark, retained_entries=LIMITS.retained_entries
                )
                self.applier.record_snapshot_written()
            case FirstMembershipWritten():
                self.start(now_s)

    def perform(self, now_s):
        try:
            for effect in self.member.pop_effects(self.read_clock(now_s)):
                self.perform_one(effect, now_s)
        except DiskFailedError:
            self.member = None
            return
        job = self.applier.start_snapshot_if_due(self.member.replica.log)
        if job is not None:
            self.add_job(job, now_s)
        self.checks.check_host(self, now_s)

    def perform_one(self, effect, now_s):
        match effect:
            case Post():
                self.network.send(self, effect.address, effect.envelope, now_s)
            case Persist():
                self.checks.check_entries(effect.entries, self.member.replica.log)
                self.add_job(effect, now_s)
            case WriteIdentity() | FormGroup():
                self.add_job(effect, now_s)
            case InstallSnapshot():
                for _ in self.applier.restore_steps(effect.data, index=effect.mark.index):
                    pass
                self.checks.check_snapshot(self, effect)
                self.add_job(effect, now_s)
            case Apply():
                self.checks.check_committed(effect.entries)
                self.applier.apply(effect.entries)
                self.checks.check_line_list(self)
            case SendSnapshotChunk():
                self.send_chunk(effect, now_s)

    def send_chunk(self, effect, now_s):
        data = self.storage.read_snapshot_part(effect.mark, effect.offset, CHUNK_BYTES)
        if data is not None:
            chunk = SnapshotChunk(
                term=self.member.replica.term,
                mark=effect.mark,
                offset=effect.offset,
                data=data,
                sent_at_s=effect.sent_at_s,
            )
            self.member.send(effect.to, chunk)
            for post in self.member.pop_effects(self.read_clock(now_s)):
                self.perform_one(post, now_s)

    def add_job(self, job, now_s):
        self.jobs.append(job)
        if self.jobs_due_at_s is None:
            slow = self.random.random() < 0.1
            self.jobs_due_at_s = now_s + (self.random.uniform(0.1, 0.6) if slow else 0.005)
