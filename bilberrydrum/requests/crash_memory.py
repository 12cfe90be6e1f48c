"""Quarantine of crash-causing calls at a gateway of the daemon.

The decisions are made in `quarantine`, and `relay.crash_watch` detects and reports
crashes, as for relayed requests. A suspected call is tried at one upstream, where this
gateway tries no other one, but the gateway does not check what others try elsewhere.
"""

import collections
import contextlib
from collections.abc import Iterator
from typing import Final

import attrs

from bilberrydrum import clock, quarantine, reasons
from bilberrydrum.relay import crash_watch
from bilberrydrum.requests import attempts, calls, crash_probe, crash_record
from bilberrydrum.upstreams import model as upstream_model

# A process needs at least this time to crash, restart, announce itself and crash again,
# in seconds.
_RESTART_SECONDS: Final = 1.0


@attrs.frozen
class _Incarnation:
    """An upstream incarnation, estimated from the time.

    Upstreams of the daemon keep their ids over restarts, so the id alone would make
    several crashes look like one.
    """

    upstream_id: str
    address: str

    @classmethod
    def of(cls, upstream: upstream_model.Upstream, now: float) -> "_Incarnation":
        number = int(now / _RESTART_SECONDS)
        return cls(f"{upstream.upstream_id}/{number}", upstream.address)


class CrashMemory:
    """Crash detection and quarantine of one gateway."""

    def __init__(self, record: crash_record.CrashRecord) -> None:
        self._record = record
        self._watch = crash_watch.CrashWatch(record, record)
        # Samples and their scoring are never held back, and repeated with a backoff.
        self._owed = crash_watch.CrashWatch(record, record, is_owed=True)
        # Where calls run that must run apart from one another.
        self._occupied_ids: collections.Counter[str] = collections.Counter()

    def start(self) -> None:
        """Start to follow the record and to report crashes."""
        self._record.start()
        self._watch.start()

    def stop(self) -> None:
        """Stop both."""
        self._watch.stop()
        self._record.stop()

    def find_refusal(self, call: calls.Call, has_run: bool) -> reasons.Reason | None:
        """Return why a call must not be sent to another upstream, or None if it may be.

        `has_run` says whether an upstream may have run the call already.
        """
        if call.is_owed:
            return None
        standing = self._watch.standing(lambda: calls.fingerprint_of(call))
        if standing is quarantine.Standing.QUARANTINED:
            return reasons.Reason.REQUEST_QUARANTINED
        if has_run and self._must_run_apart(call):
            # A suspected call may run at one upstream only.
            return reasons.Reason.REQUEST_DOUBTFUL
        return None

    def occupied_ids(self, call: calls.Call) -> frozenset[str]:
        """Return the upstreams where a call must not run now."""
        if not self._must_run_apart(call):
            return frozenset()
        return frozenset(self._occupied_ids)

    @contextlib.contextmanager
    def occupying(self, call: calls.Call, upstream_id: str) -> Iterator[None]:
        """Keep other suspected calls from an upstream while the block runs."""
        if not self._must_run_apart(call):
            yield
            return
        self._occupied_ids[upstream_id] += 1
        try:
            yield
        finally:
            self._occupied_ids[upstream_id] -= 1
            self._occupied_ids += collections.Counter()

    def _must_run_apart(self, call: calls.Call) -> bool:
        if call.is_owed:
            return False
        return self._watch.must_run_apart(lambda: calls.fingerprint_of(call))

    def record_broken_run(
        self,
        call: calls.Call,
        upstream: upstream_model.Upstream,
        error: attempts.AttemptError,
        seconds: float,
    ) -> None:
        """Record an attempt that gave no complete answer after `seconds`."""
        if not error.may_have_run or error.reason not in crash_probe.BROKEN_REASONS:
            return
        self._watch_of(call).record_broken_run(
            crash_watch.BrokenRun(
                call.request_id,
                calls.fingerprint_of(call),
                crash_watch.shortened(calls.subject_of(call)),
                _Incarnation.of(upstream, clock.now()),
                seconds,
            )
        )

    def record_answer(self, call: calls.Call) -> None:
        """Record that a call was answered, or that its run was healthy."""
        self._watch_of(call).record_answer(lambda: calls.fingerprint_of(call))

    def _watch_of(self, call: calls.Call) -> crash_watch.CrashWatch:
        return self._owed if call.is_owed else self._watch

    def history(self) -> quarantine.CrashHistory:
        """Return the crash history of all calls, for operators."""
        return self._record.crashes

    def lift(self, fingerprint: str) -> None:
        """Drop the crash history of a call on behalf of an operator."""
        self._record.lift(fingerprint)
