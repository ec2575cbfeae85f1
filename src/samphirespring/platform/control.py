"""`samphire-control` with the platform's settings and protocols."""

from samphirespring.process.early_signals import ignore_reload_requests
from samphirespring.process.garbage_collection import defer_collections

ignore_reload_requests()  # Loading the rest takes a while.
defer_collections()

from samphirespring.platform.control_adapter import PlatformControlAdapter  # noqa: E402
from samphirespring.platform.settings import (  # noqa: E402
    PlatformControlSettings,
    find_settings_file,
    watch_settings_file,
)
from samphirespring.process.composition.control import ControlHost  # noqa: E402
from samphirespring.process.logs.logs import configure_logs  # noqa: E402
from samphirespring.process.runtime import load_settings_or_exit, run_program  # noqa: E402


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
