"""Random histories of the replicated document: replicas, snapshots, nodes and lossy deltas."""

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from document.samples import TEAMS, make_change, make_initialize_command, make_team_section
from samphirespring.process.document.commands import (
    ChangeAccepted,
    ChangeConflict,
    ChangeForbidden,
    ChangeIdReused,
    ChangeInvalid,
    DocumentSnapshot,
)
from samphirespring.process.document.state_machine import DocumentStateMachine
from samphirespring.process.ids import LogIndex
from samphirespring.version.section_set import (
    DeltaInvalidError,
    DocumentDelta,
    SectionSet,
    compute_digest,
)

REPLICAS = 3
NODES = 4
SECTIONS = (*TEAMS, "common")
RECORDED_RESULTS = (ChangeAccepted, ChangeConflict, ChangeInvalid)

replica_numbers = st.integers(0, REPLICAS - 1)
node_numbers = st.integers(0, NODES - 1)
teams = st.sampled_from(TEAMS)


class ReplicatedDocument(RuleBasedStateMachine):
    """Replicas apply one log of commands at different speeds, and nodes receive deltas of it."""

    def __init__(self):
        super().__init__()
        self.log = []
        self.results = []
        self.replicas = [DocumentStateMachine() for _ in range(REPLICAS)]
        self.applied = [0] * REPLICAS
        self.first_results = {}
        self.winners = {}
        self.digests = {}
        self.nodes = [SectionSet() for _ in range(NODES)]
        self.in_flight = []
        self.change_count = 0

    @initialize()
    def initialize_document(self):
        self.append(make_initialize_command())

    def append(self, command):
        """Commit a command, apply it at the first replica, and return the result."""
        self.log.append(command)
        self.catch_up(0, len(self.log))
        return self.results[-1]

    def catch_up(self, number, end):
        replica = self.replicas[number]
        while self.applied[number] < end:
            index = self.applied[number]
            result = replica.apply(index=LogIndex(index + 1), command=self.log[index])
            if index < len(self.results):
                assert result == self.results[index], "replicas return different results"
            else:
                self.results.append(result)
            self.applied[number] += 1
            sections = replica.sections
            digest = self.digests.setdefault(sections.stamp, compute_digest(sections.sections))
            assert digest == compute_digest(sections.sections), "two contents have the same version"

    def propose(self, command):
        before = self.replicas[0].sections.stamp
        result = self.append(command)
        after = self.replicas[0].sections.stamp
        key = (command.team, command.change_id)
        if key in self.first_results:
            first_command, first = self.first_results[key]
            same = msgspec.structs.replace(command, at_ns=first_command.at_ns) == first_command
            if same:
                assert result == first, "a resend returned a different result"
            else:
                assert isinstance(result, ChangeIdReused | ChangeForbidden), result
            assert after == before, "a reused change id changed the document"
            return result
        if isinstance(result, RECORDED_RESULTS):
            self.first_results[key] = (command, result)
        if isinstance(result, ChangeAccepted):
            assert after.version == before.version + 1 == result.version
            if command.base_version:
                winner = self.winners.setdefault((command.section, command.base_version), key)
                assert winner == key, "two changes of one base version were accepted"
        else:
            assert after == before, "a rejected change changed the document"
        return result

    def read_version(self, section):
        stored = self.replicas[0].sections.sections.get(section)
        return 0 if stored is None else stored.version

    def make_id(self):
        self.change_count += 1
        return f"change-{self.change_count}"

    @rule(
        section=st.sampled_from(SECTIONS), team=teams, lag=st.integers(0, 2), size=st.integers(0, 3)
    )
    def change(self, section, team, lag, size):
        base = max(0, self.read_version(section) - lag)
        content = make_team_section(section, routes=size, floor=0.5 + size / 10)
        self.propose(
            make_change(section, base=base, change_id=self.make_id(), content=content, team=team)
        )

    @rule(size=st.integers(0, 3))
    def race(self, size):
        """Both teams change one version: one is accepted, the other gets the winning change."""
        base = self.read_version("common")
        first, second = (
            self.propose(
                make_change(
                    "common",
                    base=base,
                    change_id=self.make_id(),
                    content=make_team_section("common", routes=size),
                    team=team,
                )
            )
            for team in TEAMS
        )
        assert isinstance(first, ChangeAccepted)
        assert isinstance(second, ChangeConflict)
        assert second.version == first.version
        assert second.winner.team == TEAMS[0]

    @rule(section=st.sampled_from(SECTIONS), team=teams)
    def delete(self, section, team):
        base = self.read_version(section)
        self.propose(
            make_change(section, base=base, change_id=self.make_id(), content=None, team=team)
        )

    @rule(section=st.sampled_from(SECTIONS), team=teams)
    def change_invalid(self, section, team):
        content = make_team_section(section)
        content["routes"][0]["service"] = "nowhere"
        base = self.read_version(section)
        result = self.propose(
            make_change(section, base=base, change_id=self.make_id(), content=content, team=team)
        )
        assert not isinstance(result, ChangeAccepted)

    @rule(data=st.data(), at_ns=st.integers(1, 9))
    def resend(self, data, at_ns):
        if self.first_results:
            command, _ = data.draw(st.sampled_from(list(self.first_results.values())))
            self.propose(msgspec.structs.replace(command, at_ns=at_ns))

    @rule(data=st.data())
    def reuse_id(self, data):
        if self.first_results:
            command, _ = data.draw(st.sampled_from(list(self.first_results.values())))
            self.propose(msgspec.structs.replace(command, text=b'{"routes":[]}'))

    @rule(number=st.integers(1, REPLICAS - 1), share=st.floats(0, 1))
    def replicate(self, number, share):
        behind = len(self.log) - self.applied[number]
        self.catch_up(number, self.applied[number] + round(behind * share))

    @rule(source=replica_numbers, restarted=replica_numbers)
    def install_snapshot(self, source, restarted):
        """Restart a replica from a snapshot of its own or of another replica."""
        if self.applied[source] < self.applied[restarted] or restarted == 0 != source:
            return
        data = msgspec.msgpack.encode(self.replicas[source].capture_snapshot())
        self.replicas[restarted] = DocumentStateMachine()
        self.replicas[restarted].restore_snapshot(
            msgspec.msgpack.decode(data, type=DocumentSnapshot)
        )
        self.applied[restarted] = self.applied[source]

    @rule(source=replica_numbers, node=node_numbers)
    def send_delta(self, source, node):
        self.put_in_flight(self.replicas[source].sections, node)

    @rule(source=node_numbers, node=node_numbers)
    def send_peer_delta(self, source, node):
        self.put_in_flight(self.nodes[source], node)

    def put_in_flight(self, sections, node):
        delta = sections.make_delta(self.nodes[node].stamp)
        self.in_flight.append((node, msgspec.msgpack.encode(delta)))

    @rule(data=st.data(), keep=st.booleans(), damage=st.booleans())
    def deliver_delta(self, data, keep, damage):
        """Deliver deltas late, twice, in any order, damaged, or never."""
        if not self.in_flight:
            return
        position = data.draw(st.integers(0, len(self.in_flight) - 1))
        node, text = self.in_flight[position] if keep else self.in_flight.pop(position)
        delta = msgspec.msgpack.decode(text, type=DocumentDelta)
        if damage and delta.sections:
            damaged = msgspec.structs.replace(delta.sections[0], data=delta.sections[0].data[:-3])
            delta = msgspec.structs.replace(delta, sections=(damaged, *delta.sections[1:]))
        before = self.nodes[node].stamp
        try:
            self.nodes[node] = self.nodes[node].apply_delta(delta)
        except DeltaInvalidError:
            return
        assert self.nodes[node].stamp >= before, "a node went back to a lower version"

    @invariant()
    def nodes_have_committed_versions(self):
        for node in self.nodes:
            if node.sections:
                assert self.digests[node.stamp] == compute_digest(node.sections)

    @invariant()
    def versions_follow_the_log(self):
        stamps = [replica.sections.stamp for replica in self.replicas]
        assert max(stamps) == stamps[0]
