"""Prepare the eventlet runtime before any module that uses sockets is imported.

`prepare` must be called first in a process. It patches the standard library, so that
blocking calls yield to the hub, and suppresses the deprecation warning that eventlet
prints at its import. It also makes the hub use the clock that includes the time for
which the host was suspended.
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

# Parameter of `mallopt` for the block size from which `mmap` is used (malloc.h).
_M_MMAP_THRESHOLD: Final = -3
# Larger than the requests and answers of a busy process, smaller than the buffers of a
# snapshot, which should be mapped.
_MMAP_THRESHOLD_BYTES: Final = 256 * 1024
# One thread each for writing the log, writing a snapshot and reading one, and a spare.
_N_THREADS: Final = 4


def prepare() -> None:
    """Patch the standard library for eventlet; later calls do nothing."""
    # eventlet's DNS resolver reads the host's configuration at import. All addresses
    # are IP numbers, so the resolver is disabled.
    os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
    with warnings.catch_warnings(), _without_asyncio():
        warnings.filterwarnings("ignore", message=r"(?s).*Eventlet is deprecated.*")
        import eventlet
    eventlet.monkey_patch()
    from eventlet import hubs

    hubs.get_hub().clock = boot_time


@contextlib.contextmanager
def _without_asyncio() -> Iterator[None]:
    """Replace asyncio by an empty module while eventlet is imported.

    eventlet needs asyncio only for its asyncio hub, which is not used. Without asyncio,
    a gateway has 27.4 MB of private memory after its imports instead of 28.5 MB, and
    the imports take 0.144 s of processor time instead of 0.150 s.
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
    """Make the C library return freed memory to the system; call before `prepare`.

    By default the C library raises the size from which it uses `mmap` to that of the
    largest block freed so far. After the first snapshot, the buffers of all later ones
    would then come from the heap and fragment it: after four snapshots of up to 11 MB,
    124 MB were resident instead of 63 MB with a fixed size. The number of threads is
    limited too, as each thread may have a heap of its own.
    """
    os.environ.setdefault("EVENTLET_THREADPOOL_SIZE", str(_N_THREADS))
    library = ctypes.CDLL(None)
    if hasattr(library, "mallopt"):
        library.mallopt(_M_MMAP_THRESHOLD, _MMAP_THRESHOLD_BYTES)


def release_memory() -> None:
    """Return the free pages of the C library's heap to the system."""
    library = ctypes.CDLL(None)
    if hasattr(library, "malloc_trim"):
        library.malloc_trim(0)


def pause_collection() -> None:
    """Disable the garbage collector while a process starts.

    Most objects that imports create are never freed. Traversing them repeatedly takes a
    tenth of the start time. `nodes.process` enables the collector again.
    """
    gc.disable()


def boot_time() -> float:
    """Return the seconds since the host booted, including time while suspended.

    The monotonic clock stops while a host is suspended. With it, the holder of a lease
    would still consider the lease valid after a resume, although it has expired and
    another holder has been chosen.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
