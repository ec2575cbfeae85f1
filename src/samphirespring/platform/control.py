"""`samphire-control` with the platform's settings and protocols."""

from samphirespring.platform.control_adapter import PlatformControlAdapter
from samphirespring.platform.settings import (
    PlatformControlSettings,
    find_settings_file,
    watch_settings_file,
)
from samphirespring.process.composition.control import ControlHost
from samphirespring.process.logs.logs import configure_logs
from samphirespring.process.runtime import load_settings_or_exit, run_program


def main() -> None:
    """Run the program."""
    settings = load_settings_or_exit(find_settings_file(), PlatformControlSettings)
    control_settings = settings.make_control_settings()
    configure_logs(control_settings.log.level)
    adapter = PlatformControlAdapter(settings)
    control = ControlHost(control_settings, {}, adapter, file=watch_settings_file())
    run_program(control.run)


if __name__ == "__main__":
    main()
