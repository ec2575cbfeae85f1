"""`samphire-node` with the platform's settings and protocols."""

from samphirespring.platform.node_adapter import PlatformNodeAdapter
from samphirespring.platform.settings import (
    PlatformNodeSettings,
    find_settings_file,
    watch_settings_file,
)
from samphirespring.process.composition.node import Node
from samphirespring.process.logs.logs import configure_logs
from samphirespring.process.runtime import load_settings_or_exit, run_program


def main() -> None:
    """Run the program."""
    settings = load_settings_or_exit(find_settings_file(), PlatformNodeSettings)
    node_settings = settings.make_node_settings()
    configure_logs(node_settings.log.level)
    node = Node(node_settings, PlatformNodeAdapter(settings), file=watch_settings_file())
    run_program(node.run)


if __name__ == "__main__":
    main()
