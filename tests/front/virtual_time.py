"""Event loop whose clock jumps to the next timer, so that waits take no wall time."""

import asyncio
import selectors

from samphirespring.process.timers import MonotonicTimerService


class _VirtualTimeSelector(selectors.SelectSelector):
    def __init__(self):
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("every task is waiting and no timer is set")
        self.now_s += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop with virtual time that starts at 0.0 s."""

    def __init__(self):
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self):
        return self._virtual_selector.now_s


class VirtualTimerService(MonotonicTimerService):
    """Timer service that reads the virtual loop's clock."""

    def read_now_s(self):
        return asyncio.get_running_loop().time()

    def read_boot_s(self):
        return self.read_now_s()

    def read_wall_ns(self):
        return round(self.read_now_s() * 1e9)

    def read_boottime_s(self):
        return self.read_now_s()
