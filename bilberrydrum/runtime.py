"""Prepare the eventlet runtime before any module that uses sockets is imported.

`prepare` must be the first call of a process. It patches the standard library, so
that blocking calls yield to the hub, and silences the one warning eventlet prints
when it is imported. It also lets the hub run on the clock that counts suspended time.
"""

import gc
import os
import time
import warnings


def prepare() -> None:
    """Patch the standard library for eventlet; later calls do nothing."""
    # eventlet's own DNS resolver reads the host's configuration at import; addresses
    # here are IP numbers, so the resolver is left out.
    os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
    with warnings.catch_warnings():
        warnings.filterwarnings("ignore", message=r"(?s).*Eventlet is deprecated.*")
        import eventlet
    eventlet.monkey_patch()
    from eventlet import hubs

    hubs.get_hub().clock = boot_time


def pause_collection() -> None:
    """Keep the garbage collector from running while a process is being made.

    Most of what imports make stays; walking through it again and again is a tenth of
    the time to start. `process` turns the collector on again.
    """
    gc.disable()


def boot_time() -> float:
    """Return the seconds since the host was started, suspended time included.

    The monotonic clock stands still while a host is suspended: the holder of a lease
    would wake up and go on believing in it, while another holder has been chosen.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
