"""Prepare the eventlet runtime before any module that uses sockets is imported.

`prepare` must be the first call of a process. It patches the standard library, so
that blocking calls yield to the hub, and silences the one warning eventlet prints
when it is imported. It also lets the hub run on the clock that counts suspended time.
"""

import contextlib
import ctypes
import gc
import os
import sys
import time
import types
import warnings
from collections.abc import Iterator
from typing import Final

# `mallopt`'s number for the size from which a block is mapped by itself (malloc.h).
_M_MMAP_THRESHOLD: Final = -3
# Above the requests and answers of a busy process, below a snapshot's buffers.
_MMAP_THRESHOLD_BYTES: Final = 256 * 1024
# Writes of the log, of a snapshot, and the reading of one; and one to spare.
_N_THREADS: Final = 4


def prepare() -> None:
    """Patch the standard library for eventlet; later calls do nothing."""
    # eventlet's own DNS resolver reads the host's configuration at import; addresses
    # here are IP numbers, so the resolver is left out.
    os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
    with warnings.catch_warnings(), _without_asyncio():
        warnings.filterwarnings("ignore", message=r"(?s).*Eventlet is deprecated.*")
        import eventlet
    eventlet.monkey_patch()
    from eventlet import hubs

    hubs.get_hub().clock = boot_time


@contextlib.contextmanager
def _without_asyncio() -> Iterator[None]:
    """Have eventlet import an empty module in place of asyncio.

    It needs asyncio for a hub of that name only. After its imports a gateway holds 27.4
    MB of private memory in place of 28.5 MB, and they take 0.144 s of processor time in
    place of 0.150 s (the least of 20 runs).
    """
    if "asyncio" in sys.modules:
        yield
        return
    sys.modules["asyncio"] = types.ModuleType("asyncio")
    try:
        yield
    finally:
        del sys.modules["asyncio"]


def bound_memory() -> None:
    """Have freed memory given back; called before `prepare`.

    The C library raises the size from which it maps a block by itself to that of the
    largest block freed so far. After the first snapshot the buffers of all others come
    from the heap, which they leave full of holes: 124 MB resident after four snapshots
    of up to 11 MB, beside 63 MB with the size held (one run each of the same commands,
    with the library's arenas bounded to two). Few threads, for each may have a heap of
    its own.
    """
    os.environ.setdefault("EVENTLET_THREADPOOL_SIZE", str(_N_THREADS))
    library = ctypes.CDLL(None)
    if hasattr(library, "mallopt"):
        library.mallopt(_M_MMAP_THRESHOLD, _MMAP_THRESHOLD_BYTES)


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
