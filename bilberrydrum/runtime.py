"""Prepare the eventlet runtime before any module that uses sockets is imported.

`prepare` must be the first call of a process. It patches the standard library, so
that blocking calls yield to the hub, and silences the one warning eventlet prints
when it is imported.
"""

import os
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
