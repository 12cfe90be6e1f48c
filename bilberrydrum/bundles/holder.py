"""A gateway's side of the bundle lease: events in, effects out, no I/O.

The gateway acts on one bundle while its lease for that bundle is valid. It counts the
lease from when it sent the renewal, and shortens it by the drift margin; the leader
counts it from when it received the renewal. So the lease always expires at the gateway
first. The version only rises.
"""

import functools
from collections.abc import Mapping
from typing import Any, Final

import attrs
import result

from bilberrydrum import counters, interfaces, reasons
from bilberrydrum.bundles import check, messages, model

# Number of latest renewals for which a grant is still accepted.
_MAX_OUTSTANDING: Final = 64


@attrs.frozen
class RenewalDue:
    """The next renewal is due."""


@attrs.frozen
class GrantReceived:
    """A grant was received from `address`."""

    address: str
    grant: messages.Grant
    # The bundle in the grant; None: it has no content, or this release can't read it.
    bundle: model.Bundle | None = None


@attrs.frozen
class PushReceived:
    """A rolling bundle was received from `address`."""

    address: str
    push: messages.Push
    # The pushed bundle; None: this release can't read it.
    bundle: model.Bundle | None = None


@attrs.frozen
class Registered:
    """The process was registered and has this incarnation from now on."""

    incarnation: int


@attrs.frozen
class Released:
    """The gateway releases its lease and requests no more."""


@attrs.frozen
class SendRenewal:
    """Send `renewal` to `address`; to all known state processes if it is None."""

    address: str | None
    renewal: messages.Renewal


@attrs.frozen
class Adopted:
    """The gateway has switched to another bundle."""

    version: int
    is_valid: bool


@attrs.define
class LeaseHolder:
    """The bundle and directory of a gateway, and the lease under which it acts."""

    # Share by which each lease is shortened, as clocks run at different rates.
    drift_margin: float
    incarnation: int = 0
    version: int = 0
    # None: no bundle yet, or one that this release can't read.
    bundle: model.Bundle | None = None
    expires_at: float = float("-inf")
    directory: messages.Directory = attrs.field(factory=messages.Directory)
    gateways_by_id: Mapping[str, interfaces.Gateway] = attrs.field(factory=dict)
    weight_versions_by_trainer: Mapping[str, int] = attrs.field(factory=dict)
    crashes_index: int = 0
    leader_address: str | None = None
    is_released: bool = False
    # Version of the grant that set `expires_at`.
    _granted_version: int = 0
    _last_sequence: int = 0
    _answered_sequence: int = 0
    _sent_at_by_sequence: dict[int, float] = attrs.field(factory=dict)

    def step(self, now: float, event: object) -> list[Any]:
        """Apply `event` at time `now` and return the effects."""
        return _step(event, self, now)

    def current(self, now: float) -> result.Result[model.Bundle, reasons.Reason]:
        """Return the bundle to act on at time `now`, or why there is none."""
        if now >= self.expires_at or self.is_released:
            return result.Err(reasons.Reason.BUNDLE_LEASE_EXPIRED)
        if self.bundle is None:
            invalid = reasons.Reason.BUNDLE_INVALID
            return result.Err(invalid if self.version else reasons.Reason.NO_BUNDLE)
        return result.Ok(self.bundle)

    def renew(self, now: float) -> list[Any]:
        """Return the effect that sends the next renewal."""
        if self.is_released or not self.incarnation:
            return []
        # A leader that did not answer the last renewal may have been replaced.
        is_answered = self._answered_sequence == self._last_sequence
        address = self.leader_address if is_answered else None
        self._last_sequence += 1
        self._sent_at_by_sequence[self._last_sequence] = now
        if len(self._sent_at_by_sequence) > _MAX_OUTSTANDING:
            del self._sent_at_by_sequence[min(self._sent_at_by_sequence)]
        renewal = messages.Renewal(
            self._last_sequence, self.version, self.directory.change
        )
        return [SendRenewal(address, renewal)]

    def apply_grant(self, now: float, event: GrantReceived) -> list[Any]:
        """Adopt the bundle of the grant, if it has one, and extend the lease."""
        grant = event.grant
        sent_at = self._sent_at_by_sequence.pop(grant.sequence, None)
        if grant.incarnation != self.incarnation or sent_at is None:
            # The grant is for an earlier incarnation, or a duplicate. It is not known
            # when its renewal was sent, and a lease must not count from any later time.
            counters.dropped(reasons.Reason.MESSAGE_STALE_SENDER)
            return []
        if grant.sequence > self._answered_sequence:
            self._answered_sequence = grant.sequence
            self.leader_address = event.address
            self.weight_versions_by_trainer = grant.weight_versions_by_trainer
            self.crashes_index = grant.crashes_index
        self._apply_directory(grant.directory)
        effects: list[Any] = []
        if grant.content is not None:
            effects = self._adopt(grant.version, event.bundle)
        # If a lease for another version counted, the gateway could continue with an
        # older bundle after the newer one was reported in force.
        if grant.version != self.version:
            counters.dropped(reasons.Reason.BUNDLE_STALE)
            return effects
        ends_at = sent_at + grant.lease_seconds * (1 - self.drift_margin)
        if grant.version == self._granted_version:
            ends_at = max(ends_at, self.expires_at)
        # The first grant for a version also replaces a longer lease for the previous
        # version.
        self.expires_at = ends_at
        self._granted_version = grant.version
        return effects

    def apply_push(self, now: float, event: PushReceived) -> list[Any]:
        """Adopt a rolling bundle and confirm it at once; the lease is not extended."""
        effects = self._adopt(event.push.version, event.bundle)
        if not effects:
            return []
        self.leader_address = event.address
        self._answered_sequence = self._last_sequence
        return [*effects, *self.renew(now)]

    def _adopt(self, version: int, bundle: model.Bundle | None) -> list[Any]:
        # Messages may arrive out of order, and a leader that was suspended may send an
        # old grant when it resumes. An older version must never replace a newer one.
        if version <= self.version:
            return []
        self.version = version
        # Even a bundle that this release can't read replaces the older one. The gateway
        # then refuses work until it gets a bundle that it can read.
        self.bundle = bundle
        return [Adopted(version, bundle is not None)]

    def _apply_directory(self, directory: messages.Directory | None) -> None:
        if directory is None or directory.change <= self.directory.change:
            return
        self.directory = directory
        self.gateways_by_id = {
            gateway.process_id: gateway for gateway in directory.gateways
        }


def read(version: int, content: str | None) -> model.Bundle | None:
    """Return the bundle described by `content`; None: no content, or it is faulty."""
    if content is None:
        return None
    return check.check(content, f"bundle-{version}").ok()


@functools.singledispatch
def _step(event: object, holder: LeaseHolder, now: float) -> list[Any]:
    raise TypeError(
        f"expected an event of the lease holder, got {type(event).__name__}"
    )


@_step.register
def _(event: RenewalDue, holder: LeaseHolder, now: float) -> list[Any]:
    return holder.renew(now)


@_step.register
def _(event: GrantReceived, holder: LeaseHolder, now: float) -> list[Any]:
    return holder.apply_grant(now, event)


@_step.register
def _(event: PushReceived, holder: LeaseHolder, now: float) -> list[Any]:
    return holder.apply_push(now, event)


@_step.register
def _(event: Registered, holder: LeaseHolder, now: float) -> list[Any]:
    holder.incarnation = event.incarnation
    return holder.renew(now)


@_step.register
def _(event: Released, holder: LeaseHolder, now: float) -> list[Any]:
    holder.is_released = True
    return []
