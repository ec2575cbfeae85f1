"""`samphire-control` on the platform."""

from samphirespring.platform.edge import PlatformControlEdge
from samphirespring.platform.settings import CoreSettings, find_settings_file, watch_settings_file
from samphirespring.process.logs import configure_logs
from samphirespring.process.programs.control import Control
from samphirespring.process.runtime import load_settings_or_exit, run_program


def main() -> None:
    """Run the program."""
    settings = load_settings_or_exit(find_settings_file(), CoreSettings)
    control_settings = settings.make_control_settings()
    configure_logs(control_settings.log.level)
    edge = PlatformControlEdge(settings)
    control = Control(control_settings, {}, edge, file=watch_settings_file())
    run_program(control.run)


if __name__ == "__main__":
    main()
