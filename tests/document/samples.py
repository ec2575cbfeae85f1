"""Small valid documents and commands for tests."""

import hashlib

import msgspec

from samphirespring.process.document.commands import (
    ChangeSection,
    InitializeDocument,
    InitialSection,
)
from samphirespring.process.document.state_machine import DocumentStateMachine
from samphirespring.process.ids import LogIndex
from samphirespring.version.ids import ChangeId, Generation, SectionName, SectionVersion, TeamName

TEAMS = ("bread", "soup")
OPERATORS = "operators"


def make_token(team):
    return f"token-{team}"


def make_access(teams=TEAMS, *, shared=("common",)):
    entries = {
        team: {
            "token_sha256": hashlib.sha256(make_token(team).encode()).hexdigest(),
            "sections": [team, *shared],
        }
        for team in teams
    }
    entries[OPERATORS] = {
        "token_sha256": hashlib.sha256(make_token(OPERATORS).encode()).hexdigest(),
        "sections": ["access", "fleet"],
        "operate": True,
    }
    return {"teams": entries}


def make_team_section(name, *, floor=0.7, routes=1, workspaces=0):
    return {
        "services": {name: {"floor": floor}},
        "routes": [
            {"host": f"{name}.example", "path_prefix": f"/{i}", "service": name}
            for i in range(routes)
        ],
        "workspaces": {
            f"{name}-{i}": {"limit": {"requests_per_s": 1 + i % 3, "burst": 5}}
            for i in range(workspaces)
        },
    }


def make_document(teams=TEAMS):
    return {
        "access": make_access(teams),
        "fleet": {},
        **{team: make_team_section(team) for team in teams},
    }


def make_initialize_command(document=None, *, generation=1):
    document = make_document() if document is None else document
    return InitializeDocument(
        generation=Generation(generation),
        sections=tuple(
            InitialSection(name=SectionName(name), text=msgspec.json.encode(content))
            for name, content in document.items()
        ),
    )


def make_change(section, *, base, change_id, content, team, at_ns=0):
    return ChangeSection(
        section=SectionName(section),
        base_version=SectionVersion(base),
        change_id=ChangeId(change_id),
        text=None if content is None else msgspec.json.encode(content),
        team=TeamName(team),
        at_ns=at_ns,
    )


def make_state_machine(**options):
    state_machine = DocumentStateMachine(**options)
    state_machine.apply(index=LogIndex(1), command=make_initialize_command())
    return state_machine
