"""Run one process of a deployment for the soak.

The process runs the platform's own code. It binds to a private address, so that others
reach it only through the soak's links, and its wall clock is shifted by an offset that
is read from a file.
"""

import os
import pathlib
import sys
import time
from typing import Final

ROOT: Final = pathlib.Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / "platform")]

from bilberrydrum import runtime

runtime.bound_memory()
runtime.prepare()

import attrs
import eventlet
from bilberrydrum_platform import main, settings

from bilberrydrum import logs

# How often the offset of the wall clock is read, in seconds.
_OFFSET_SECONDS: Final = 0.2
_METRICS_PORT: Final = 9464


class WallClock:
    """The wall clock plus an offset in seconds that is read from a file."""

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._real = time.time
        self._offset = 0.0

    def install(self) -> None:
        """Replace `time.time`."""
        time.time = self.now
        eventlet.spawn(self._follow)

    def now(self) -> float:
        """Return the seconds since the epoch plus the offset."""
        return self._real() + self._offset

    def _follow(self) -> None:
        while True:
            if self._path.exists():
                text = self._path.read_text()
                self._offset = float(text) if text else 0.0
            eventlet.sleep(_OFFSET_SECONDS)


def start(settings_path: str, own_ip: str, clock_path: str) -> None:
    """Run the process until it is stopped by a signal."""
    os.environ[settings.PATH_VARIABLE] = settings_path
    WallClock(pathlib.Path(clock_path)).install()
    log = logs.open_output()
    node_options = attrs.evolve(
        settings.read(), bind_host=own_ip, metrics_address=f"{own_ip}:{_METRICS_PORT}"
    )
    main.run(node_options, settings.stamp(), log.flush)


if __name__ == "__main__":
    start(*sys.argv[1:])
