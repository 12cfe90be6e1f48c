"""Identify the sender of a request, and check that it may still be served.

A key is checked against a policy that the control leader has confirmed recently (see
`fleet.policy_lease`), and again immediately before each send: a request may wait in
between, and its key may be revoked meanwhile. A key that is missing in the local policy
may be new. It is refused as unknown only after the leader has confirmed, later than the
request arrived, that there is no newer policy. Without that check, a gateway whose copy
is slightly out of date would refuse a valid key with an error that tells its holder not
to retry.
"""

import random
from collections.abc import Callable
from typing import Final

import attrs
import eliot

from bilberrydrum import clock, counters, reasons
from bilberrydrum.fleet import accounts, policy, subscriber
from bilberrydrum.relay import model

# Longest wait for the leader's confirmation when a key is unknown here, in seconds: a
# few round trips between zones, and one pause between two renewals.
CONFIRM_SECONDS: Final = 0.3
# Time after which a caller whose key cannot be checked may retry, in seconds. The retry
# most likely reaches another gateway, which can check the key. The time is drawn at
# random, since all callers that this gateway refuses would otherwise retry at once.
UNCONFIRMED_RETRY_RANGE: Final = (0.05, 0.3)


@attrs.frozen
class Caller:
    """The identified sender of a request."""

    # Name of the account. None: the policy has no accounts; empty: the route is public.
    account: str | None = None
    # Called immediately before each send; returns why the request must not be sent, or
    # None.
    find_refusal: Callable[[], reasons.Reason | None] = model.never_refused


ANONYMOUS: Final = Caller(account="")


class Callers:
    """Identifies the senders of the requests at one gateway."""

    def __init__(self, view: subscriber.Subscriber, rng: random.Random) -> None:
        self._view = view
        self._rng = rng

    def of_request(
        self, request_id: str, route: policy.Route, key: str
    ) -> Caller | model.Refused:
        """Return the sender of a request on `route`, or the refusal of its key."""
        if self._view.routes.accounts is not None and route.is_public:
            return ANONYMOUS
        return self._identify(request_id, key)

    def of_batch_call(
        self, request_id: str, host: str, key: str
    ) -> Caller | model.Refused:
        """Return the sender of a call about batches, which has no route of its own."""
        routes = self._view.routes
        if routes.accounts is not None and not key and routes.has_public_batches(host):
            return ANONYMOUS
        return self._identify(request_id, key)

    def _identify(self, request_id: str, key: str) -> Caller | model.Refused:
        digest = accounts.digest_of(key)
        refusal = self._find_refusal(digest, None)
        if refusal is reasons.Reason.UNAUTHORIZED and key:
            is_confirmed = self._view.confirm(CONFIRM_SECONDS)
            refusal = self._find_refusal(digest, None)
            if refusal is reasons.Reason.UNAUTHORIZED and not is_confirmed:
                refusal = reasons.Reason.BUNDLE_LEASE_EXPIRED
        if refusal is not None:
            return self._refused(request_id, refusal)
        table = self._view.routes.accounts
        account = table.find(digest) if table is not None else None
        if account is None:
            return Caller()
        name = account.name
        return Caller(name, lambda: self._find_refusal(digest, name))

    def _find_refusal(self, digest: bytes, name: str | None) -> reasons.Reason | None:
        """Return why a key is not served now, or None.

        `name` is the account that the key belonged to when the request was accepted,
        or None if that is not known yet.
        """
        table = self._view.routes.accounts
        if table is None:
            return None
        if not self._view.is_policy_confirmed():
            return reasons.Reason.BUNDLE_LEASE_EXPIRED
        account = table.find(digest)
        if account is None or name not in (None, account.name):
            return reasons.Reason.UNAUTHORIZED
        return None

    def _refused(self, request_id: str, reason: reasons.Reason) -> model.Refused:
        counters.refused(reason)
        eliot.log_message(
            message_type="relay:refused",
            request_id=request_id,
            reason=reason.value,
            policy_version=self._view.routes.policy.version,
            policy_age=round(clock.now() - self._view.policy_lease.confirmed_at, 3),
        )
        may_retry = reason is not reasons.Reason.UNAUTHORIZED
        retry_after = self._rng.uniform(*UNCONFIRMED_RETRY_RANGE)
        return model.Refused(reason, False, retry_after if may_retry else 0.0)
