"""Copies an example fleet's settings, with other ports and another data folder."""

import json
import re
from dataclasses import dataclass
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[2]
ADDRESS = re.compile(r"127\.0\.0\.1:(\d+)")


@dataclass(frozen=True, kw_only=True)
class Example:
    """Settings files of one fleet, written into a folder to start from."""

    folder: Path
    controls: tuple[Path, ...]
    nodes: tuple[Path, ...]
    targets: Path
    document: Path


def place_example(name: str, folder: Path, *, port_offset: int = 0, overrides=None) -> Example:
    """Write an example's settings into a folder and return their paths.

    Args:
        name: Name of the folder under `examples`.
        folder: Folder to write into; the data folders go below it.
        port_offset: Number added to each port.
        overrides: Settings to replace, by file name.
    """
    folder.mkdir(parents=True, exist_ok=True)
    source = REPOSITORY / "examples" / name
    for path in sorted(source.glob("*.json")):
        text = ADDRESS.sub(lambda m: f"127.0.0.1:{int(m[1]) + port_offset}", path.read_text())
        value = json.loads(text)
        if "data_folder" in value:
            value["data_folder"] = str(folder / "data" / path.stem)
        if "initial_document_file" in value:
            value["initial_document_file"] = str(folder / "document.json")
        value.update((overrides or {}).get(path.name, {}))
        (folder / path.name).write_text(json.dumps(value, indent=2))
    return Example(
        folder=folder,
        controls=tuple(sorted(folder.glob("control-*.json"))),
        nodes=tuple(sorted(folder.glob("node-*.json"))),
        targets=folder / "targets.json",
        document=folder / "document.json",
    )


def read_address(settings: Path, member: str) -> str:
    """Return an address from a settings file.

    Args:
        settings: The settings file.
        member: Name of the setting that holds the address.
    """
    return json.loads(settings.read_text())[member]
