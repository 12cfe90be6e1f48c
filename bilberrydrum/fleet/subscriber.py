"""A process's copy of the policy and the registry, updated by the control leader.

The leader pushes changes. The renewal, twice a second, fetches what was lost on the way
and finds a new leader. A copy never goes back to an older state: data with a lower
index is discarded. A process that reaches no leader continues with the copy that it
has, as refusing requests would not help their callers. Only API keys are checked no
longer than the policy's lease lasts (see `policy_lease`).
"""

from collections.abc import Callable
from typing import Any, Final

import attrs
import eliot
import eventlet
import eventlet.event
import result

from bilberrydrum import clock, codec, quarantine, tasks, transport
from bilberrydrum.fleet import changes, messages, model, policy, policy_lease
from bilberrydrum.state import leader_calls

RENEW_SECONDS: Final = 0.5
# Minimum time between two renewals, in seconds. Without it, callers with wrong keys
# would make each gateway send renewals as fast as the leader answers them.
_MIN_RENEW_SECONDS: Final = 0.1
# Timeout of one renewal in seconds, including retries at other control processes.
_CALL_SECONDS: Final = 2.0


class Subscriber:
    """Keeps the copy up to date in a task of its own."""

    def __init__(
        self,
        carrier: transport.Transport,
        calls: leader_calls.LeaderCalls,
        make_request: Callable[[], messages.Subscribe] = messages.Subscribe,
        revocation_seconds: float = 0.0,
        on_answer: Callable[[messages.Feed, float], None] = lambda feed, sent_at: None,
    ) -> None:
        """Make the task; nothing runs before `start`.

        Parameters
        ----------
        make_request : callable
            Returns a renewal with the data that this process sends about itself.
        revocation_seconds : float
            Time within which a revoked key must be refused; 0 if unbounded.
        on_answer : callable
            Called with the answer to each renewal, and when the renewal was sent, in
            seconds of `clock.now`; it must not block.
        """
        self._carrier = carrier
        self._calls = calls
        self._make_request = make_request
        self._on_answer = on_answer
        self.routes = policy.RouteTable(policy.Policy(0))
        self.registry = model.Registry()
        self.policy_lease = policy_lease.PolicyLease(revocation_seconds)
        # The record of requests that crash upstreams.
        self.crashes = quarantine.CrashHistory()
        self.crashes_index = 0
        self._policy_index = 0
        self._is_connected = False
        self._watchers: list[Callable[[], None]] = []
        self._task: Any = None
        # Sent when a renewal is requested before it is due.
        self._renewal_requested = eventlet.event.Event()
        # Sent after each renewal that was answered.
        self._confirmed = eventlet.event.Event()

    @property
    def has_policy(self) -> bool:
        """Whether this process has received a policy."""
        return self._policy_index > 0

    def is_policy_confirmed(self) -> bool:
        """Return whether keys may be checked by the policy here."""
        return self.policy_lease.is_valid(clock.now())

    def confirm(self, timeout: float) -> bool:
        """Wait until the leader has confirmed the policy as of this call.

        Returns
        -------
        bool
            False if it has not confirmed it within `timeout` seconds.
        """
        called_at = clock.now()
        with eventlet.Timeout(timeout, False):
            while self.policy_lease.confirmed_at < called_at:
                if not self._renewal_requested.ready():
                    self._renewal_requested.send(None)
                self._confirmed.wait()
        return self.policy_lease.confirmed_at >= called_at

    def watch(self, callback: Callable[[], None]) -> None:
        """Call `callback()` after each change; it must not block."""
        self._watchers.append(callback)

    def unwatch(self, callback: Callable[[], None]) -> None:
        """Stop calling `callback`."""
        self._watchers.remove(callback)

    def start(self) -> None:
        """Start renewing."""
        self._carrier.on(messages.Feed, self._on_feed)
        self._task = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Stop renewing."""
        if self._task is not None:
            self._task.kill()
            self._task = None

    def _run(self) -> None:
        while True:
            sent_at = clock.now()
            # If this task ended, this process would refuse all requests as soon as the
            # lease of its policy expires.
            with tasks.errors_recorded("control-renewals"):
                self.renew()
            self._wait_for_renewal(sent_at)

    def renew(self, timeout: float = _CALL_SECONDS) -> None:
        """Fetch changes from the leader and apply them."""
        sent_at = clock.now()
        request = attrs.evolve(
            self._make_request(),
            policy_index=self._policy_index,
            registry_index=self.registry.index,
            crashes_index=self.crashes_index,
            unix_time=clock.unix_now(),
        )
        answer = self._calls.call(request, timeout)
        self._record_connection(answer.is_ok())
        if isinstance(answer, result.Ok):
            self._apply(answer.ok_value)
            self.policy_lease.confirm(sent_at)
            self._confirmed.send(None)
            self._confirmed = eventlet.event.Event()
            # Last, so that an error there does not let the policy's lease expire.
            self._on_answer(answer.ok_value, sent_at)

    def _wait_for_renewal(self, sent_at: float) -> None:
        with eventlet.Timeout(RENEW_SECONDS, False):
            self._renewal_requested.wait()
        self._renewal_requested = eventlet.event.Event()
        clock.sleep(max(sent_at + _MIN_RENEW_SECONDS - clock.now(), 0.0))

    def _record_connection(self, is_connected: bool) -> None:
        if is_connected == self._is_connected:
            return
        self._is_connected = is_connected
        version = self.routes.policy.version
        index = self.registry.index
        if is_connected:
            eliot.log_message(
                message_type="control:regained",
                policy_version=version,
                registry_index=index,
            )
        else:
            eliot.log_message(
                message_type="control:lost",
                policy_version=version,
                registry_index=index,
            )

    def _on_feed(self, sender: transport.Sender, feed: messages.Feed) -> None:
        self._apply(feed)

    def _apply(self, feed: messages.Feed) -> None:
        self._calls.learn(feed.control_addresses)
        is_changed = False
        try:
            for apply_part in (
                self._apply_policy,
                self._apply_registry,
                self._apply_crashes,
            ):
                is_changed |= apply_part(feed)
        finally:
            if is_changed:
                for callback in self._watchers:
                    callback()

    def _apply_policy(self, feed: messages.Feed) -> bool:
        """Apply a newer policy; return whether there was one."""
        if not feed.policy or feed.policy_index <= self._policy_index:
            return False
        # Decoded before the index is advanced. Otherwise a policy that can't be decoded
        # would not be sent again, and the next renewal would confirm the old policy.
        self.routes = policy.RouteTable(codec.decode(feed.policy))
        self._policy_index = feed.policy_index
        eliot.log_message(
            message_type="policy:in-force", version=self.routes.policy.version
        )
        return True

    def _apply_registry(self, feed: messages.Feed) -> bool:
        """Apply a newer registry; return whether there was one."""
        registry = self._newer_registry(feed)
        if registry is None:
            return False
        before, self.registry = self.registry, registry
        _log_registry(before, registry)
        return True

    def _apply_crashes(self, feed: messages.Feed) -> bool:
        """Apply a newer record of crashes; return whether there was one."""
        if not feed.crashes or feed.crashes_index <= self.crashes_index:
            return False
        self.crashes = codec.decode(feed.crashes)
        self.crashes_index = feed.crashes_index
        _log_crashes(self.crashes_index, self.crashes)
        return True

    def _newer_registry(self, feed: messages.Feed) -> model.Registry | None:
        """Return the newer registry in `feed`, or None if there is none.

        A change that does not apply to the registry here follows one that was lost. The
        next renewal sends the index of the registry here and fetches the missing part.
        """
        if feed.registry_index <= self.registry.index:
            return None
        if feed.registry:
            full: model.Registry = codec.decode(feed.registry)
            return full
        if feed.registry_change:
            return changes.apply_change(
                self.registry, codec.decode(feed.registry_change)
            )
        return None


def _log_crashes(index: int, history: quarantine.CrashHistory) -> None:
    standings = {
        fingerprint: each.standing()
        for fingerprint, each in history.evidence_by_fingerprint.items()
    }
    eliot.log_message(
        message_type="crashes:updated",
        index=index,
        n_requests=len(standings),
        quarantined=sorted(
            fingerprint
            for fingerprint, standing in standings.items()
            if standing is quarantine.Standing.QUARANTINED
        ),
    )


def _log_registry(before: model.Registry, after: model.Registry) -> None:
    known = before.upstreams_by_id.keys()
    present = after.upstreams_by_id.keys()
    eliot.log_message(
        message_type="registry:updated",
        index=after.index,
        index_before=before.index,
        n_upstreams=len(present),
        new_ids=sorted(present - known),
        gone_ids=sorted(known - present),
        leaving_ids=[e.upstream_id for e in after.upstreams if e.is_leaving],
        silent_ids=[e.upstream_id for e in after.upstreams if e.is_silent],
        versions_by_model=after.versions_by_model,
    )
