"""`samphire-node` with the platform's settings and protocols."""

from samphirespring.process.early_signals import ignore_reload_requests
from samphirespring.process.garbage_collection import defer_collections

ignore_reload_requests()  # Loading the rest takes a while.
defer_collections()

from samphirespring.platform.node_adapter import PlatformNodeAdapter  # noqa: E402
from samphirespring.platform.settings import (  # noqa: E402
    PlatformNodeSettings,
    find_settings_file,
    watch_settings_file,
)
from samphirespring.process.composition.node import Node  # noqa: E402
from samphirespring.process.logs.logs import configure_logs  # noqa: E402
from samphirespring.process.runtime import load_settings_or_exit, run_program  # noqa: E402


def main() -> None:
    """Run the program."""
    settings = load_settings_or_exit(find_settings_file(), PlatformNodeSettings)
    node_settings = settings.make_node_settings()
    configure_logs(node_settings.log.level)
    node = Node(node_settings, PlatformNodeAdapter(settings), file=watch_settings_file())
    run_program(node.run)


if __name__ == "__main__":
    main()
