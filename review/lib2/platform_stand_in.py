"""Stand-in of the platform: keeps processes within their memory, and starts them again when they end."""

import threading
import time

RESTART_DELAY_S = 0.5


def read_memory_mb(machine):
    """Return the resident memory of a machine's process, in MB; 0 without a process."""
    try:
        with open(f"/proc/{machine.process.pid}/status") as status:
            for line in status:
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) * 1024 / 1e6
    except OSError:
        pass
    return 0


class Platform(threading.Thread):
    """Watches the machines' processes until `stop` is called."""

    def __init__(self, machines, *, memory_mb, record):
        super().__init__(daemon=True)
        self._machines, self._memory_mb, self._record = machines, memory_mb, record
        self._stopped = threading.Event()
        self.ends = {machine.name: 0 for machine in machines}
        self.peaks = {machine.name: 0 for machine in machines}

    def run(self):
        while not self._stopped.wait(0.02):
            for machine in self._machines:
                self._watch(machine)

    def stop(self):
        self._stopped.set()
        self.join()

    def _watch(self, machine):
        if machine.exit_status is not None:
            self._restart(machine, f"ended by itself with status {machine.exit_status}")
            return
        used = read_memory_mb(machine)
        self.peaks[machine.name] = max(self.peaks[machine.name], used)
        if used > self._memory_mb:
            machine.kill()
            self._restart(machine, f"used {used:.0f} MB of {self._memory_mb} and was killed")

    def _restart(self, machine, reason):
        self.ends[machine.name] += 1
        self._record("PLATFORM", machine.name, reason, "- end number", self.ends[machine.name])
        time.sleep(RESTART_DELAY_S)
        machine.start()
