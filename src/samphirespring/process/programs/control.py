"""`samphire-control`: runs one control host, with its replicas of the document and the registry."""

from pathlib import Path
from typing import Annotated

import typer

from samphirespring.process.composition.control import ControlHost
from samphirespring.process.document.service import minify
from samphirespring.process.document.state_machine import FIRST_VERSION
from samphirespring.process.logs.logs import configure_logs
from samphirespring.process.runtime import load_settings_or_exit, run_program
from samphirespring.process.settings import (
    ControlSettings,
    SettingsInvalidError,
    exit_on_invalid_settings,
    load_settings,
)
from samphirespring.process.settings_watch import SeedReader, WatchedFile
from samphirespring.version.ids import SectionName
from samphirespring.version.parser import DocumentInvalidError, parse_document, split_document


class _ControlSeedReader(SeedReader):
    """Reads seeds from the project's own settings file."""

    def read_seeds(self, path: Path) -> tuple[str, ...]:
        """Return the seeds, or the link addresses of all peers if the file has no seeds."""
        control_settings = load_settings(path, ControlSettings)
        if control_settings.discovery is not None:
            return control_settings.discovery.seeds
        return tuple(peer.link_address for peer in control_settings.peers)


def _read_initial_sections(settings: ControlSettings) -> dict[SectionName, bytes]:
    if settings.initial_document_file is None:
        return {}
    path = Path(settings.initial_document_file)
    try:
        text = path.read_bytes()
        parse_document(text, version=FIRST_VERSION)
    except OSError as error:
        raise SettingsInvalidError(f"{path}: {error.strerror}") from None
    return {name: minify(part) for name, part in split_document(text).items()}


def run_control(
    settings: Annotated[Path, typer.Option(help="JSON file with the control host's settings.")],
) -> None:
    """Run one control host."""
    control_settings = load_settings_or_exit(settings, ControlSettings)
    configure_logs(control_settings.log.level)
    try:
        file = WatchedFile(path=settings, reader=_ControlSeedReader())
        control = ControlHost(control_settings, _read_initial_sections(control_settings), file=file)
    except (SettingsInvalidError, DocumentInvalidError) as error:
        exit_on_invalid_settings(error)
    run_program(control.run)


def main() -> None:
    """Run the program."""
    typer.run(run_control)
