"""`samphire-node`: runs the front and the agent of one host."""

from pathlib import Path
from typing import Annotated

import typer

from samphirespring.process.composition.node import Node
from samphirespring.process.logs.logs import configure_logs
from samphirespring.process.runtime import load_settings_or_exit, run_program
from samphirespring.process.settings import (
    NodeSettings,
    SettingsInvalidError,
    exit_on_invalid_settings,
    load_settings,
)
from samphirespring.process.settings_watch import SeedReader, WatchedFile


class _NodeSeedReader(SeedReader):
    """Reads seeds from the project's own settings file."""

    def read_seeds(self, path: Path) -> tuple[str, ...]:
        """Return the link addresses of the control hosts."""
        return load_settings(path, NodeSettings).control_links


def run_node(
    settings: Annotated[Path, typer.Option(help="JSON file with the node's settings.")],
) -> None:
    """Run the front and the agent of one host."""
    node_settings = load_settings_or_exit(settings, NodeSettings)
    configure_logs(node_settings.log.level)
    try:
        node = Node(node_settings, file=WatchedFile(path=settings, reader=_NodeSeedReader()))
    except SettingsInvalidError as error:
        exit_on_invalid_settings(error)
    run_program(node.run)


def main() -> None:
    """Run the program."""
    typer.run(run_node)
